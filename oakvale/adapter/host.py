"""Hosts the instances of one process and plays batches to them."""

from __future__ import annotations

import sys
import traceback
from typing import Any, BinaryIO

import orjson

from oakvale import interface as i
from oakvale import settings
from oakvale.adapter import wire
from oakvale.policy.gateway import Gateway


class Instance:
    """One gateway, with the numbers of the counter names it waits on."""

    def __init__(self, who: str, gateway: Gateway) -> None:
        self.who = who
        self.gateway = gateway
        self.waiting: dict[int, list[Any]] = {}  # number -> [name, calls out]

    def decode(self, f: list[Any], kind: str) -> i.Event | None:
        if kind == "countResult":
            slot = self.waiting.get(f[1])
            if slot is None:
                return None
            slot[1] -= 1
            if slot[1] <= 0:
                del self.waiting[f[1]]
            return wire.decode_counter_result(f, slot[0])
        decoder = wire.DECODERS.get(kind)
        return decoder(f) if decoder else None

    def encode(self, action: i.Action) -> list[Any]:
        if isinstance(action, i.Charge):
            self.waiting.setdefault(wire.counter_number(action.name), [action.name, 0])[1] += 1
        return wire.encode(self.who, action)


class Host:
    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.sheets: dict[int, tuple[i.Entry, ...]] = {}
        self.current: str | None = None  # whom a failure is to be named for

    def batch(self, message: dict[str, Any]) -> dict[str, Any]:
        now = int(message["timeUs"])
        out: list[list[Any]] = []
        for event in message.get("news") or []:
            self._event(now, event, out)
        return {"frame": message["frame"], "do": out}

    def _event(self, now: int, event: list[Any], out: list[list[Any]]) -> None:
        kind, f = event[0], event[1:]
        if kind == "directory":
            self.sheets[f[0]] = wire.decode_entries(f[1] or [])
            return
        if not f or not isinstance(f[0], str):
            return
        self.current = who = f[0]
        if kind == "init":
            self.instances[who] = Instance(who, Gateway(settings.decode(f[2] or {}), int(f[1] or 0)))
            return
        if kind == "teardown":
            self.instances.pop(who, None)
            return
        inst = self.instances.get(who)
        if inst is None:
            return
        if kind == "backendsChanged":
            form = i.ListForm(f[1])
            rows = () if form is i.ListForm.FAILED else self.sheets.get(f[3], ())
            parsed: i.Event | None = i.Backends(form, rows)
        else:
            parsed = inst.decode(f, kind)
        if parsed is not None:
            out.extend(inst.encode(a) for a in inst.gateway.handle(now, parsed))


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Play batches until end of input. A failure ends with a message and, where possible, a `panic`."""
    host = Host()
    for line in iter(source.readline, b""):
        if not line.strip():
            continue
        host.current = None
        frame: Any = None
        try:
            message = orjson.loads(line)
            frame = message.get("frame")
            reply = host.batch(message)
        except Exception as error:
            print(f"oakvale: cannot handle batch {frame}: {error!r}", file=sys.stderr)
            traceback.print_exc(file=sys.stderr)
            if host.current is not None and frame is not None:
                fault = {"frame": frame, "do": [["panic", host.current, repr(error)[:200]]]}
                sink.write(orjson.dumps(fault) + b"\n")
                sink.flush()
            return 1
        sink.write(orjson.dumps(reply) + b"\n")
        sink.flush()
    return 0
