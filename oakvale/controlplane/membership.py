"""The list of gateways kept by the primary: gateways join, and watchers report those that stop responding."""

from __future__ import annotations

from typing import Any

from oakvale.base.address import parse_address
from oakvale.base.loop import Loop
from oakvale.controlplane.core import Core
from oakvale.controlplane.voter import VoterService
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.links import Answer, Connection, Transport

MIN_REPORTING_WATCHERS = 2  # that must miss a gateway before it is removed
MAX_NOTIFIED_GATEWAYS = 64  # by a new primary; the others reconnect through the relays that these become
INCARNATION_QUERY_TIMEOUT_US = 2_000_000  # a gateway that has just started may be slow to answer
REPORT_WINDOW_US = 3_000_000  # within which the reports must arrive

log_event = EventLogger(__name__)


class GatewayRegistry:
    """Handles `join` requests of gateways and `missing` reports of their watchers."""

    def __init__(self, core: Core, voter_service: VoterService, loop: Loop, transport: Transport) -> None:
        self._voter_service = voter_service
        self._core, self._loop, self._transport = core, loop, transport
        self._missing_reports: dict[str, dict[str, int]] = {}  # gateway's node and incarnation -> watcher -> time
        core.on_serving_change.append(self._serving_changed)
        transport.handlers["join"] = self._on_join
        transport.handlers["missing"] = self._on_missing

    def _serving_changed(self, serves: bool) -> None:
        """A new primary announces itself to gateways, so that those without state updates need not search for it, and
        publishes the copies and voters of its view."""
        view = self._core.view()
        addresses = [parse_address(str(gate["addr"])) for _, gate in self._core.replicated_state.table.items("gate/")]
        for address in addresses[:MAX_NOTIFIED_GATEWAYS] if serves else ():
            if address is not None:
                self._transport.tell(address, "serves", self._core.self_id[0])
        if serves and view is not None:
            members = {
                "copies": [replica[0] for replica in view.copies],
                "witnesses": [replica[0] for replica in view.witnesses],
            }
            if self._core.replicated_state.latest("core") != members:
                self._core.change({"core": members}, lambda done: None)

    def _on_join(self, conn: Connection, body: Any, answer: Answer) -> None:
        core = self._core
        if not core.serving():
            primary = core.primary()
            return answer({"primary": primary[0] if primary and primary != core.self_id else None})
        entry = {"addr": str(body["addr"]), "az": str(body["az"]), "life": str(body["life"])}
        key = f"gate/{body['node']}"
        if core.replicated_state.latest(key) == entry:
            return answer({"joined": True})
        if core.replicated_state.latest(key) is None:
            return self._add(key, entry, answer)

        def current_incarnation(incarnation: Any) -> None:
            if incarnation != entry["life"] or not core.serving():
                answer({"joined": False})
            elif core.replicated_state.latest(key) == entry:  # a concurrent request has added it
                answer({"joined": True})
            else:
                self._add(key, entry, answer)

        # after a pause, the request of an ended incarnation may be read after that of the next one
        self._transport.ask_on(conn, "life", None, INCARNATION_QUERY_TIMEOUT_US, current_incarnation)

    def _add(self, key: str, entry: dict[str, str], answer: Answer) -> None:
        core = self._core
        previous = core.replicated_state.latest(key)
        if previous is not None and previous["life"] != entry["life"]:
            self._voter_service.incarnation_ended(previous["life"])
        log_event("gateway joins", gateway=key.partition("/")[2], addr=entry["addr"])
        core.change({key: entry}, lambda done: answer({"joined": done}))

    def _on_missing(self, conn: Connection, body: Any, _: Answer) -> None:
        """Removes a gateway once enough watchers miss it: a single report may be due to a fault of that watcher."""
        core, now = self._core, self._loop.now
        node, incarnation, watcher = str(body["node"]), str(body["life"]), str(body["watcher"])
        entry = core.replicated_state.latest(f"gate/{node}")
        if not core.serving() or entry is None or entry["life"] != incarnation:
            return
        self._missing_reports = {
            gateway: times
            for gateway, times in self._missing_reports.items()
            if now - max(times.values()) < REPORT_WINDOW_US
        }
        reports = self._missing_reports.setdefault(f"{node} {incarnation}", {})
        reports[watcher] = now
        recent = [reporter for reporter, at in reports.items() if now - at < REPORT_WINDOW_US]
        others = len(core.replicated_state.table.items("gate/")) - 1
        if len(recent) >= min(MIN_REPORTING_WATCHERS, max(1, others)):
            log_event("gateway is gone", "warning", gateway=node, said=",".join(sorted(recent)))
            self._missing_reports.pop(f"{node} {incarnation}", None)
            core.change({f"gate/{node}": None}, lambda done: None)
