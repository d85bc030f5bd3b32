"""The simulator protocol: decoding and encoding, determinism across processes and hash seeds, and failures."""

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


def start_events(*instance_ids: str) -> list[list[Any]]:
    events: list[list[Any]] = [["directory", 0, [[number, 0, 0, 0, 1, 1, None] for number in range(1, 9)]]]
    for n, name in enumerate(instance_ids):
        events += [["init", name, 7 + n, PROFILE], ["backendsChanged", name, 2, 1, 0]]
    return events


def record_batches(instance_ids: tuple[str, ...]) -> list[dict[str, Any]]:
    """Batches of a normal run: requests arrive, the counter responds, attempts end, timers fire."""
    host, now, batches = Host(), 1_000_000, []
    events, counts, timers = start_events(*instance_ids), {}, []  # type: ignore[var-annotated]
    for frame in range(120):
        now += 20_000
        batch = {"timeUs": now, "frame": frame, "news": events}
        batches.append(batch)
        events = []
        for action in host.batch(json.loads(json.dumps(batch)))["do"]:
            if action[0] == "chargeCounter":
                counts[action[2]] = counts.get(action[2], 0) + action[3]
                events.append(["countResult", action[1], action[2], "served", counts[action[2]], 900])
            elif action[0] == "attempt":
                events.append(
                    [
                        "ended",
                        action[1],
                        action[2],
                        action[3],
                        frame % 7 != 0,
                        20_000,
                        0,
                        0,
                        0,
                        "served" if frame % 7 else "connection_lost",
                        None,
                    ]
                )
            elif action[0] == "wakeMe":
                timers.append((now + action[3], action[1], action[2]))
        events += [["deadlineHit", instance_id, token] for due, instance_id, token in timers if due <= now + 20_000]
        timers = [timer for timer in timers if timer[0] > now + 20_000]
        for instance_id in instance_ids:
            events.append(
                [
                    "request",
                    instance_id,
                    f"c:{instance_id}-{frame}",
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
    return batches


def run_adapter(batches: list[Any], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    lines = "".join((batch if isinstance(batch, str) else json.dumps(batch)) + "\n" for batch in batches)
    return subprocess.run(
        [sys.executable, "-m", "oakvale.adapter"],
        input=lines,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
    )


def test_actions_do_not_depend_on_the_hash_seed_or_on_other_instances_in_the_process() -> None:
    batches = record_batches(("gateway/0", "gateway/1"))
    first, second = run_adapter(batches, "1"), run_adapter(batches, "2")
    assert first.returncode == 0 and first.stdout == second.stdout and "attempt" in first.stdout
    shared_process = [
        [action for action in json.loads(line)["do"] if action[1] == "gateway/1"] for line in first.stdout.splitlines()
    ]
    own_batches = [
        {**batch, "news": [event for event in batch["news"] if event[0] == "directory" or event[1] == "gateway/1"]}
        for batch in batches
    ]
    assert [json.loads(line)["do"] for line in run_adapter(own_batches).stdout.splitlines()] == shared_process


def test_every_action_is_encoded() -> None:
    instance_id = "gateway/0"
    assert wire.encode(instance_id, i.Attempt("r", 3, 5)) == ["attempt", instance_id, "r", 3, 5]
    assert wire.encode(instance_id, i.Cancel("r", 1)) == ["withdraw", instance_id, "r", 1]
    assert wire.encode(instance_id, i.Refuse("r", 9)) == ["overloadReply", instance_id, "r", 9]
    assert wire.encode(instance_id, i.Fail("r")) == ["reportFailure", instance_id, "r"]
    assert wire.encode(instance_id, i.Wake(4, 8)) == ["wakeMe", instance_id, 4, 8]
    assert wire.encode(instance_id, i.Charge("n", 2.0, 6))[3:] == [2.0, 6]
    assert wire.encode(instance_id, i.Watch(True)) == ["observe", instance_id, True]
    assert wire.encode(instance_id, i.Fetch()) == ["resolve", instance_id]
    assert wire.encode(instance_id, i.Log("x")) == ["record", instance_id, "x"]


def test_counter_numbers_are_stable_and_fit_in_63_bits() -> None:
    assert wire.counter_number("q:a:1") == wire.counter_number("q:a:1") != wire.counter_number("q:a:2")
    assert all(0 <= wire.counter_number(str(k)) < 2**63 for k in range(1000))


def test_event_fields_are_decoded_by_position() -> None:
    decoded = wire.DECODERS["request"](["g", "c:x", "u:k", 0, 3, 2, 1, 1, 2, 8_652_250])
    assert decoded == i.Request("c:x", "u:k", 0, 1, 2.0, 3, 1, 8_652_250, 2)
    decoded = wire.DECODERS["ended"](["g", "c:x", 5, True, 18500, 86, 1, 3, "served", [7, 0.62]])
    assert decoded == i.Ended("c:x", 5, 1, True, i.Ending.SERVED, 18500, 86, 3.0, (7.0, 0.62))


def test_unknown_events_and_instances_are_ignored_and_an_instance_can_restart() -> None:
    host = Host()
    instance_id = "gateway/0"
    request = ["request", instance_id, "c:1", "u:1", 0, 2, 1, 0, 0, 0, 9_000_000]
    batch = {
        "timeUs": 1_000_000,
        "frame": 1,
        "news": [*start_events(instance_id), ["weather", instance_id, "rain"], ["deadlineHit", "x", 1]],
    }
    assert host.batch(batch)["frame"] == 1
    assert host.batch({"timeUs": 1_000_100, "frame": 2, "news": [request]})["do"]
    events = [["teardown", instance_id], request, *start_events(instance_id)]
    assert all(action[0] == "wakeMe" for action in host.batch({"timeUs": 1_000_200, "frame": 3, "news": events})["do"])


def test_the_end_of_input_ends_the_process_with_status_0() -> None:
    result = run_adapter([{"timeUs": 1, "frame": 1, "news": []}])
    assert (result.returncode, result.stdout) == (0, '{"frame":1,"do":[]}\n')


@pytest.mark.parametrize("bad", ["not json", '{"timeUs":1}', "[]"])
def test_a_malformed_line_ends_the_process_with_an_error_and_no_reply(bad: str) -> None:
    result = run_adapter([bad])
    assert result.returncode != 0 and result.stdout == "" and "oakvale" in result.stderr


def test_a_failure_while_handling_an_event_of_an_instance_sends_a_panic() -> None:
    batches = [
        {"timeUs": 1, "frame": 1, "news": start_events("gateway/0")},
        {"timeUs": 2, "frame": 2, "news": [["ended", "gateway/0", "c:1", 1, True, 5, 0, 0, 0, "odd", None]]},
    ]
    result = run_adapter(batches)
    last = json.loads(result.stdout.splitlines()[-1])
    assert result.returncode != 0 and last["do"][0][:2] == ["panic", "gateway/0"] and "odd" in result.stderr
