"""The `ctl` side of a core machine: HTTP connections of backends and the operator, led to the resources."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from oakvale.config.settings import Settings
from oakvale.controlplane.core import Core
from oakvale.controlplane.resources import JSON, BackendsHandler, ConfigHandler, Reply, primary_url
from oakvale.memory.requests import Answer, InHand
from oakvale.shared import Owner, Shared
from oakvale.wire.clients import Incoming, plain

if TYPE_CHECKING:
    from oakvale.controlplane.drains import DrainManager

PREFIX = "/oakvale/"
READYZ = b"/oakvale/readyz"


class ControlServer(Owner):
    """The owner of `ctl` connections."""

    def __init__(self, shared: Shared, core: Core, settings: Settings) -> None:
        super().__init__(shared)
        self.core = core
        self._port = settings.bind["ctl"][1]
        config, self.backends = ConfigHandler(core), BackendsHandler(core, shared.loop, settings)
        self._calls = {
            (b"POST", "Config.Replace"): config.replace,
            (b"GET", "Config.Read"): config.read,
            (b"POST", "Backends.Heartbeat"): self.backends.heartbeat,
            (b"POST", "Backends.Leave"): self.backends.leave,
        }

    def enable_drains(self, drains: DrainManager) -> None:
        """Drains can be ordered: there are contracts."""
        from oakvale.controlplane import resources

        self.backends.departure_changes = drains.departure_changes
        handler = resources.DrainsHandler(self.core, drains)
        self._calls |= {
            (b"POST", "Drains.Order"): handler.order,
            (b"POST", "Drains.Plan"): handler.plan,
            (b"POST", "Drains.Cancel"): handler.cancel,
            (b"GET", "Drains.Show"): handler.show,
        }

    def open(self, client: Any, incoming: Incoming, came: int) -> Answer | InHand:
        path = incoming.target.partition(b"?")[0]
        if path == READYZ:
            return plain(200, "ok") if self.core.view() is not None else plain(503, "not ready")
        text = path.decode("latin-1")
        verb, _, rest = text.removeprefix(PREFIX).partition("/")
        call = self._calls.get((incoming.method, verb)) if text.startswith(PREFIX) else None
        if call is None:
            known = any(verb == name for _, name in self._calls)
            return plain(405 if known else 404, "no such call")
        if not self.core.serving():
            primary = self.core.primary()
            to = primary_url(self.core.view(), self._port)
            if primary is not None and primary != self.core.self_id and to is not None:
                return Answer(307, [(b"location", f"http://{to}{incoming.target.decode('latin-1')}".encode())])
            return Answer(503, [(b"retry-after", b"0.3"), JSON], b'{"error":"no primary is known"}')
        request = InHand("", client, incoming.method, incoming.target, [], incoming.body, 0, (call, rest))
        return request

    def begin(self, request: InHand) -> None:
        call, rest = request.event

        def give(reply: Reply) -> None:
            if not request.over:
                self.final(request, Answer(reply.status, [JSON, *reply.headers], reply.body))

        call(rest, request.body, give)

    def client_gone(self, request: InHand) -> None:
        request.over = True
