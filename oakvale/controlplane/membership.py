"""The list of gateways, which the primary keeps: they join, and their watchers tell when one falls silent."""

from __future__ import annotations

from typing import Any

from oakvale.base.address import parse_address
from oakvale.base.loop import Loop
from oakvale.controlplane.core import Core
from oakvale.controlplane.voter import VoterService
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.links import Answer, Connection, Transport

AGREE = 2  # watchers that must miss a gateway before it is taken from the list
CALLED = 64  # gateways that a new primary calls; a tree is soon grown from these
TELLS = 2_000_000  # microseconds for a gateway to say which life it is: one that has just started may be slow
TOGETHER = 3_000_000  # microseconds within which they must say so

log_event = EventLogger(__name__)


class GatewayRegistry:
    def __init__(self, core: Core, voter_service: VoterService, loop: Loop, transport: Transport) -> None:
        self._voter_service = voter_service
        self._core, self._loop, self._transport = core, loop, transport
        self._missed: dict[str, dict[str, int]] = {}  # gateway's node and life -> watcher -> when
        core.on_serving_change.append(self._turned)
        transport.handlers["join"] = self._join
        transport.handlers["missing"] = self._missing

    def _turned(self, serves: bool) -> None:
        """A view is in force: the gateways are told whom it names. Those without news search, and may just wait for a
        machine that was dark until now; a call to each spares them that."""
        view = self._core.view()
        addresses = [parse_address(str(gate["addr"])) for _, gate in self._core.replicated_state.table.items("gate/")]
        for address in addresses[:CALLED] if serves else ():
            if address is not None:
                self._transport.tell(address, "serves", self._core.self_id[0])
        if serves and view is not None:
            told = {"copies": [seat[0] for seat in view.copies], "witnesses": [seat[0] for seat in view.witnesses]}
            if self._core.replicated_state.latest("core") != told:
                self._core.change({"core": told}, lambda done: None)

    def _join(self, conn: Connection, body: Any, answer: Answer) -> None:
        core = self._core
        if not core.serving():
            primary = core.primary()
            return answer({"primary": primary[0] if primary and primary != core.self_id else None})
        entry = {"addr": str(body["addr"]), "az": str(body["az"]), "life": str(body["life"])}
        key = f"gate/{body['node']}"
        if core.replicated_state.latest(key) == entry:
            return answer({"joined": True})
        if core.replicated_state.latest(key) is None:
            return self._enter(key, entry, answer)

        def lives(life: Any) -> None:
            if life != entry["life"] or not core.serving():
                answer({"joined": False})
            elif core.replicated_state.latest(key) == entry:  # asked in meanwhile, once more
                answer({"joined": True})
            else:
                self._enter(key, entry, answer)

        # the word of a life that has ended may have lain here, behind a pause, and be read after the next life's
        self._transport.ask_on(conn, "life", None, TELLS, lives)

    def _enter(self, key: str, entry: dict[str, str], answer: Answer) -> None:
        core = self._core
        before = core.replicated_state.latest(key)
        if before is not None and before["life"] != entry["life"]:
            self._voter_service.incarnation_ended(before["life"])
        log_event("gateway joins", gateway=key.partition("/")[2], addr=entry["addr"])
        core.change({key: entry}, lambda done: answer({"joined": done}))

    def _missing(self, conn: Connection, body: Any, _: Answer) -> None:
        """One watcher's word may be its own trouble."""
        core, now = self._core, self._loop.now
        node, life, watcher = str(body["node"]), str(body["life"]), str(body["watcher"])
        entry = core.replicated_state.latest(f"gate/{node}")
        if not core.serving() or entry is None or entry["life"] != life:
            return
        self._missed = {who: said for who, said in self._missed.items() if now - max(said.values()) < TOGETHER}
        said = self._missed.setdefault(f"{node} {life}", {})
        said[watcher] = now
        recent = [w for w, at in said.items() if now - at < TOGETHER]
        others = len(core.replicated_state.table.items("gate/")) - 1
        if len(recent) >= min(AGREE, max(1, others)):
            log_event("gateway is gone", "warning", gateway=node, said=",".join(sorted(recent)))
            self._missed.pop(f"{node} {life}", None)
            core.change({f"gate/{node}": None}, lambda done: None)
