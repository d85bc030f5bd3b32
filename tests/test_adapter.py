"""The wire: round trips, determinism over processes and hash seeds, and what ends a run."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from oakvale import interface as i
from oakvale.adapter import wire
from oakvale.adapter.host import Host

ROOT = Path(__file__).parent.parent
PROFILE: dict[str, Any] = {
    "fleetSize": 2,
    "position": 0,
    "zone": 0,
    "discovery": "pushed",
    "unheard": {"of": 1},
    "classes": [{"effect": "safe", "gain": 1.0, "giveUpUs": 4_000_000, "targetUs": 1_000_000, "group": "all"}],
    "limits": {"maxAttempts": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 1_000_000},
    "rules": {"coldFrom": 0.2, "rampTimeUs": 10_000_000, "overloadForUs": 1_000_000, "fallMultiple": 3.0},
    "specifics": {"mayCount": True, "counterTimeoutUs": 50_000, "largest": 4},
    "tiersOfService": [
        {"perSecond": 2.0, "depth": 8.0, "valueFactor": 1.0, "excessCost": 1.0},
        {"perSecond": 9.0, "depth": 18.0, "valueFactor": 1.5, "overWorth": 0.3},
    ],
}


def start(*who: str) -> list[list[Any]]:
    out: list[list[Any]] = [["directory", 0, [[k, 0, 0, 0, 1, 1, None] for k in range(1, 9)]]]
    for n, name in enumerate(who):
        out += [["init", name, 7 + n, PROFILE], ["backendsChanged", name, 2, 1, 0]]
    return out


def script(who: tuple[str, ...]) -> list[dict[str, Any]]:
    """A plain day: requests in, the counter answers, attempts end, timers fire."""
    host, now, frames = Host(), 1_000_000, []
    events, numbers, later = start(*who), {}, []  # type: ignore[var-annotated]
    for frame in range(120):
        now += 20_000
        batch = {"timeUs": now, "frame": frame, "news": events}
        frames.append(batch)
        events = []
        for act in host.batch(json.loads(json.dumps(batch)))["do"]:
            if act[0] == "chargeCounter":
                numbers[act[2]] = numbers.get(act[2], 0) + act[3]
                events.append(["countResult", act[1], act[2], "served", numbers[act[2]], 900])
            elif act[0] == "attempt":
                events.append(
                    [
                        "ended",
                        act[1],
                        act[2],
                        act[3],
                        frame % 7 != 0,
                        20_000,
                        0,
                        0,
                        0,
                        "served" if frame % 7 else "connection_lost",
                        None,
                    ]
                )
            elif act[0] == "wakeMe":
                later.append((now + act[3], act[1], act[2]))
        events += [["deadlineHit", w, token] for at, w, token in later if at <= now + 20_000]
        later = [x for x in later if x[0] > now + 20_000]
        for w in who:
            events.append(
                [
                    "request",
                    w,
                    f"c:{w}-{frame}",
                    f"u:{frame % 9}",
                    0,
                    2,
                    1 + frame % 3,
                    0,
                    frame % 2,
                    0,
                    now + 3_000_000,
                ]
            )
    return frames


def run(frames: list[Any], seed: str = "0") -> subprocess.CompletedProcess[str]:
    lines = "".join((f if isinstance(f, str) else json.dumps(f)) + "\n" for f in frames)
    return subprocess.run(
        [sys.executable, "-m", "oakvale.adapter"],
        input=lines,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": seed},
        timeout=60,
    )


def test_the_same_events_give_the_same_actions_whatever_the_hash_seed_or_spread() -> None:
    frames = script(("gateway/0", "gateway/1"))
    one, other = run(frames, "1"), run(frames, "2")
    assert one.returncode == 0 and one.stdout == other.stdout and "attempt" in one.stdout
    together = [[a for a in json.loads(line)["do"] if a[1] == "gateway/1"] for line in one.stdout.splitlines()]
    own = [{**f, "news": [e for e in f["news"] if e[0] == "directory" or e[1] == "gateway/1"]} for f in frames]
    assert [json.loads(line)["do"] for line in run(own).stdout.splitlines()] == together


def test_every_action_has_its_place_on_the_wire() -> None:
    who = "gateway/0"
    assert wire.encode(who, i.Attempt("r", 3, 5)) == ["attempt", who, "r", 3, 5]
    assert wire.encode(who, i.Cancel("r", 1)) == ["withdraw", who, "r", 1]
    assert wire.encode(who, i.Refuse("r", 9)) == ["overloadReply", who, "r", 9]
    assert wire.encode(who, i.Fail("r")) == ["reportFailure", who, "r"]
    assert wire.encode(who, i.Wake(4, 8)) == ["wakeMe", who, 4, 8]
    assert wire.encode(who, i.Charge("n", 2.0, 6))[3:] == [2.0, 6]
    assert wire.encode(who, i.Watch(True)) == ["observe", who, True]
    assert wire.encode(who, i.Fetch()) == ["resolve", who]
    assert wire.encode(who, i.Log("x")) == ["record", who, "x"]


def test_counter_numbers_are_stable_and_fit() -> None:
    assert wire.counter_number("q:a:1") == wire.counter_number("q:a:1") != wire.counter_number("q:a:2")
    assert all(0 <= wire.counter_number(str(k)) < 2**63 for k in range(1000))


def test_events_are_decoded_by_place() -> None:
    got = wire.DECODERS["request"](["g", "c:x", "u:k", 0, 3, 2, 1, 1, 2, 8_652_250])
    assert got == i.Request("c:x", "u:k", 0, 1, 2.0, 3, 1, 8_652_250, 2)
    got = wire.DECODERS["ended"](["g", "c:x", 5, True, 18500, 86, 1, 3, "served", [7, 0.62]])
    assert got == i.Ended("c:x", 5, 1, True, i.Ending.SERVED, 18500, 86, 3.0, (7.0, 0.62))


def test_unknown_events_strangers_and_a_restart() -> None:
    host = Host()
    who = "gateway/0"
    ask = ["request", who, "c:1", "u:1", 0, 2, 1, 0, 0, 0, 9_000_000]
    batch = {
        "timeUs": 1_000_000,
        "frame": 1,
        "news": [*start(who), ["weather", who, "rain"], ["deadlineHit", "x", 1]],
    }
    assert host.batch(batch)["frame"] == 1
    assert host.batch({"timeUs": 1_000_100, "frame": 2, "news": [ask]})["do"]
    news = [["teardown", who], ask, *start(who)]
    assert all(a[0] == "wakeMe" for a in host.batch({"timeUs": 1_000_200, "frame": 3, "news": news})["do"])


def test_end_of_input_is_a_clean_end() -> None:
    done = run([{"timeUs": 1, "frame": 1, "news": []}])
    assert (done.returncode, done.stdout) == (0, '{"frame":1,"do":[]}\n')


@pytest.mark.parametrize("bad", ["not json", '{"timeUs":1}', "[]"])
def test_a_malformed_line_ends_with_a_message_and_no_made_up_reply(bad: str) -> None:
    done = run([bad])
    assert done.returncode != 0 and done.stdout == "" and "oakvale" in done.stderr


def test_a_failure_for_an_instance_is_a_panic() -> None:
    frames = [
        {"timeUs": 1, "frame": 1, "news": start("gateway/0")},
        {"timeUs": 2, "frame": 2, "news": [["ended", "gateway/0", "c:1", 1, True, 5, 0, 0, 0, "odd", None]]},
    ]
    done = run(frames)
    last = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode != 0 and last["do"][0][:2] == ["panic", "gateway/0"] and "odd" in done.stderr
