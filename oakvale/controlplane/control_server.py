"""The `ctl` HTTP server of a core machine: routes requests of backends and operators to the resource handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from oakvale.config.settings import Settings
from oakvale.controlplane.core import Core
from oakvale.controlplane.resources import JSON, BackendsHandler, ConfigHandler, Reply, primary_url
from oakvale.memory.requests import Answer, ClientRequest
from oakvale.shared import ConnectionOwner, SharedResources
from oakvale.wire.clients import IncomingRequest, plain_answer

if TYPE_CHECKING:
    from oakvale.controlplane.drains import DrainManager

PATH_PREFIX = "/oakvale/"
READINESS_PATH = b"/oakvale/readyz"


class ControlServer(ConnectionOwner):
    """Owns the `ctl` connections and dispatches each request by method and verb."""

    def __init__(self, shared: SharedResources, core: Core, settings: Settings) -> None:
        super().__init__(shared)
        self.core = core
        self._port = settings.bind["ctl"][1]
        config, self.backends = ConfigHandler(core), BackendsHandler(core, shared.loop, settings)
        self._handlers = {
            (b"POST", "Config.Replace"): config.replace,
            (b"GET", "Config.Read"): config.read,
            (b"POST", "Backends.Heartbeat"): self.backends.heartbeat,
            (b"POST", "Backends.Leave"): self.backends.leave,
        }

    def enable_drains(self, drains: DrainManager) -> None:
        """Adds the drain verbs; called once a file of contracts is present."""
        from oakvale.controlplane import resources

        self.backends.departure_changes = drains.departure_changes
        handler = resources.DrainsHandler(self.core, drains)
        self._handlers |= {
            (b"POST", "Drains.Order"): handler.order,
            (b"POST", "Drains.Plan"): handler.plan,
            (b"POST", "Drains.Cancel"): handler.cancel,
            (b"GET", "Drains.Show"): handler.show,
        }

    def open(self, client: Any, incoming: IncomingRequest, received_at: int) -> Answer | ClientRequest:
        path = incoming.target.partition(b"?")[0]
        if path == READINESS_PATH:
            return plain_answer(200, "ok") if self.core.view() is not None else plain_answer(503, "not ready")
        text = path.decode("latin-1")
        verb, _, rest = text.removeprefix(PATH_PREFIX).partition("/")
        handler = self._handlers.get((incoming.method, verb)) if text.startswith(PATH_PREFIX) else None
        if handler is None:
            known = any(verb == handled_verb for _, handled_verb in self._handlers)
            return plain_answer(405 if known else 404, "no such call")
        if not self.core.serving():
            primary = self.core.primary()
            primary_host = primary_url(self.core.view(), self._port)
            if primary is not None and primary != self.core.self_id and primary_host is not None:
                return Answer(
                    307, [(b"location", f"http://{primary_host}{incoming.target.decode('latin-1')}".encode())]
                )
            return Answer(503, [(b"retry-after", b"0.3"), JSON], b'{"error":"no primary is known"}')
        request = ClientRequest("", client, incoming.method, incoming.target, [], incoming.body, 0, (handler, rest))
        return request

    def begin(self, request: ClientRequest) -> None:
        handler, rest = request.event

        def send_reply(reply: Reply) -> None:
            if not request.finished:
                self.final(request, Answer(reply.status, [JSON, *reply.headers], reply.body))

        handler(rest, request.body, send_reply)

    def client_gone(self, request: ClientRequest) -> None:
        request.finished = True
