"""A way through the states, one line a step."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Any

import cbor2

from oakvale.controlplane import chunks
from oakvale.lab.modelcheck.machine import SILENCE, Event, Sent
from oakvale.lab.modelcheck.model import PASSES, TIMED, Broken, Model, State, Step, seat_text, view_text

MOST = 60  # steps of healing that are shown


def lines(model: Model, state: State, steps: Iterable[Step], healing: int | None = None) -> list[str]:
    """As it goes from a state; the last step may break a rule. From step `healing` on everything heals."""
    found = []
    for number, step in enumerate(steps, 1):
        if healing is not None and number > healing + MOST:
            found.append("     and so on")
            break
        if number - 1 == healing:
            found.append("     from here on everything heals")
        place, event = step
        time = state.spent[PASSES]
        _, sent = model.local(place, state.seats[place], ("at", time, event) if time and event[0] in TIMED else event)
        what = _event(model, state, place, event)
        found.append(f"{number:3}  {_name(model, place)} {what}" + "".join(f"; {_sent(model, item)}" for item in sent))
        try:
            state = model.after(state, step)
        except Broken as broken:
            found.append(f"     BROKEN {broken}")
            break
    return found


def _name(model: Model, place: int) -> str:
    return model.addresses[place].partition(":")[0].upper()


def _event(model: Model, state: State, place: int, event: Event) -> str:
    kind = event[0]
    if kind == "mail":
        _, kind, body, _ = model.mails[event[1]]
        return f"hears {_words(kind, body)}"
    if kind == "start":
        return "starts"
    if kind == "wipe":
        return "loses power and disk"
    if kind == "kill":
        queue = model.machine(state.seats[place]).queue
        kept = f", {event[1]} of {len(queue)} writes on disk" if queue else ""
        return f"is killed{kept}"
    if kind == "sync":
        return f"has on disk: {_written(*model.machine(state.seats[place]).queue[0][1])}"
    if kind == "answer":
        return f"waits no longer for an answer to its question {event[1]}"
    if kind == "again":
        return "sends the state once more"
    if kind == "beat":
        return "asks for its lease"
    if kind == "pass":
        return "and all others: the silence passes"
    if kind == "change":
        return f"is given w{event[1]}"
    if kind == "learn":
        return f"learns {view_text(event[1])}"
    if kind in ("leave", "go"):
        return "is told to end" if kind == "leave" else "goes for good"
    if kind == "releases":
        return f"hears that {seat_text(event[1])} leaves"
    up = ", ".join(map(seat_text, event[1])) or "nobody"
    if event[3:]:
        up += f" (told to end: {', '.join(map(seat_text, event[3]))})"
    return f"hears {up} and {'says it again' if event[2] else 'looks for a successor'}"


def _written(kind: str, data: Any) -> str:
    if kind == "fact":
        if data[0] != "state":
            return f"its {data[0]}"
        view, promised, accepted, complete, void = cbor2.loads(data[1])
        words = [view_text(view) if view else "no view", f"complete in {complete}"]
        if promised[0]:
            words.append(f"promised {promised[0]}.{seat_text(promised[1])}")
        if accepted:
            words.append(f"accepted {view_text(accepted[1])}")
        if void:
            words.append(f"void {void}")
        return ", ".join(words)
    if kind in ("stage", "unstage"):
        return f"{kind}d {_names([name for name, _ in data] if kind == 'stage' else data)}"
    rows = [] if kind == "gone" else [f"{key} {'/'.join(map(str, cbor2.loads(value)[0]))}" for key, value in data]
    return f"{'the whole state:' if kind == 'whole' else 'entries'} {' '.join(rows) or 'nothing'}"


def _sent(model: Model, item: Sent) -> str:
    if item[0] == "told":
        return f"author of w{item[1]} hears {'yes' if item[2] else 'not known'}"
    if item[0] == "turned":
        return "BEGINS TO SERVE" if item[1] else "serves no longer"
    if item[0] == "reply":
        return f"answers {item[1][0].partition(':')[0].upper()}: {_yes(item[2])}"
    return f"to {item[1].partition(':')[0].upper()}: {_words(item[2], item[3])}"


def _yes(answer: Any) -> str:
    if isinstance(answer, tuple):
        return f"lacks {_names(answer)}"
    return {True: "yes", False: "no", None: "nothing"}.get(answer, str(answer))


def _names(names: Any) -> str:
    """Pieces, each by the first letters of its name."""
    return " ".join(name.hex()[:4] for name in names) or "nothing"


def _words(kind: str, body: Any) -> str:
    if kind == "answer":
        return f"the answer to its question {body[2]}: {_yes(body[3])}"
    if kind in ("append", "sync", "offer", "piece"):
        what = behind = ""
        if kind == "append":
            what = " ".join(f"{key} {view}/{place}" for key, view, place, _ in (*body[4], *body[5])) or "nothing"
            behind = f" behind {'/'.join(map(str, body[3]))}"
        elif kind == "piece":
            what = _names([chunks.chunk_digest(zlib.decompress(body[3]))])
        else:
            whole = {chunks.chunk_digest(piece): piece for piece in body[4]} if kind == "sync" else {}
            needs = chunks.chunk_digests(body[3])
            what = f"pieces {_names(needs)}, with {_names(whole)}"
            if whole.keys() >= set(needs):
                what = " ".join(f"{key} {view}/{place}" for key, (view, place), _ in chunks.join_chunks(body[3], whole))
        order = ".".join(map(str, body[2]))
        return f"{kind} {order} of {seat_text(body[1])} in view {body[0][0]}: {what or 'nothing'}{behind}"
    sender, inner = body
    words = [f"{kind} from {seat_text(sender)}"]
    if kind in ("beat", "lease"):
        number, sent = inner[0][0] if kind == "beat" else inner[0], inner[1]
        words.append(f"of view {number}, {'sent' if kind == 'beat' else 'to what was sent'} at {sent // SILENCE}")
    if kind in ("prepare", "accept"):
        words.append(f"{inner[1][0]}.{seat_text(inner[1][1])} behind view {inner[0][0]}")
        if kind == "accept":
            words.append(view_text(inner[2]))
    elif kind in ("promise", "accepted"):
        words.append(f"{inner[1][0]}.{seat_text(inner[1][1])} behind view {inner[0]}")
        if kind == "promise" and inner[2]:
            words.append(f"has accepted {view_text(inner[2][1])}")
    elif kind in ("void", "decided"):
        words.append(view_text(inner[0]))
    return " ".join(words)
