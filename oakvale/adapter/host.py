"""Hosts several gateway instances in one process and feeds them batches of events."""

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
    """One gateway and the counters whose results it is waiting for."""

    def __init__(self, instance_id: str, gateway: Gateway) -> None:
        self.instance_id = instance_id
        self.gateway = gateway
        self.pending_counters: dict[int, list[Any]] = {}  # counter number -> [name, outstanding calls]

    def decode(self, fields: list[Any], kind: str) -> i.Event | None:
        """Decodes an event of a given kind; returns None for an unknown kind or an unexpected counter result."""
        if kind == "countResult":
            pending = self.pending_counters.get(fields[1])
            if pending is None:
                return None
            pending[1] -= 1
            if pending[1] <= 0:
                del self.pending_counters[fields[1]]
            return wire.decode_counter_result(fields, pending[0])
        decoder = wire.DECODERS.get(kind)
        return decoder(fields) if decoder else None

    def encode(self, action: i.Action) -> list[Any]:
        """Encodes an action; remembers the counter name of a charge, as the result carries only its number."""
        if isinstance(action, i.Charge):
            self.pending_counters.setdefault(wire.counter_number(action.name), [action.name, 0])[1] += 1
        return wire.encode(self.instance_id, action)


class Host:
    """All instances of the process and the backend lists that they refer to."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.backend_lists: dict[int, tuple[i.Entry, ...]] = {}
        self.current_instance_id: str | None = None  # reported when handling its event fails

    def batch(self, message: dict[str, Any]) -> dict[str, Any]:
        """Handles all events of a message and returns the reply with the resulting actions."""
        now = int(message["timeUs"])
        actions: list[list[Any]] = []
        for event in message.get("news") or []:
            self._handle_event(now, event, actions)
        return {"frame": message["frame"], "do": actions}

    def _handle_event(self, now: int, event: list[Any], actions: list[list[Any]]) -> None:
        kind, fields = event[0], event[1:]
        if kind == "directory":
            self.backend_lists[fields[0]] = wire.decode_entries(fields[1] or [])
            return
        if not fields or not isinstance(fields[0], str):
            return
        self.current_instance_id = instance_id = fields[0]
        if kind == "init":
            self.instances[instance_id] = Instance(
                instance_id, Gateway(settings.decode(fields[2] or {}), int(fields[1] or 0))
            )
            return
        if kind == "teardown":
            self.instances.pop(instance_id, None)
            return
        instance = self.instances.get(instance_id)
        if instance is None:
            return
        if kind == "backendsChanged":
            form = i.ListForm(fields[1])
            entries = () if form is i.ListForm.FAILED else self.backend_lists.get(fields[3], ())
            parsed: i.Event | None = i.Backends(form, entries)
        else:
            parsed = instance.decode(fields, kind)
        if parsed is not None:
            actions.extend(instance.encode(action) for action in instance.gateway.handle(now, parsed))


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Handles one batch per input line until the end of input, and returns the exit status.

    On a failure it logs the error, sends a `panic` for the instance concerned if there is one, and stops.
    """
    host = Host()
    for line in iter(source.readline, b""):
        if not line.strip():
            continue
        host.current_instance_id = None
        frame: Any = None
        try:
            message = orjson.loads(line)
            frame = message.get("frame")
            reply = host.batch(message)
        except Exception as error:
            print(f"oakvale: cannot handle batch {frame}: {error!r}", file=sys.stderr)
            traceback.print_exc(file=sys.stderr)
            if host.current_instance_id is not None and frame is not None:
                panic = {"frame": frame, "do": [["panic", host.current_instance_id, repr(error)[:200]]]}
                sink.write(orjson.dumps(panic) + b"\n")
                sink.flush()
            return 1
        sink.write(orjson.dumps(reply) + b"\n")
        sink.flush()
    return 0
