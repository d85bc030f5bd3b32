"""The `ctl` HTTP server of a core machine: routes requests of backends, operators and applications to handlers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from oakvale.config.settings import Settings
from oakvale.controlplane.core import Core
from oakvale.controlplane.replies import JSON, ReplyCallback
from oakvale.controlplane.resources import BackendsHandler, ConfigHandler, primary_url
from oakvale.coordination.calls import CallHandler, ControlCall
from oakvale.memory.requests import Answer, ClientRequest
from oakvale.shared import ConnectionOwner, SharedResources
from oakvale.wire.clients import IncomingRequest, plain_answer

if TYPE_CHECKING:
    from oakvale.controlplane.drains import DrainManager

PATH_PREFIX = "/oakvale/"
READINESS_PATH = b"/oakvale/readyz"

MethodAndVerb = tuple[bytes, str]
ResourceHandler = Callable[[str, bytes, ReplyCallback], None]


@dataclass(slots=True, frozen=True)
class ResourceCall:
    """A request of a backend or operator: its handler, and the path behind the verb."""

    handler: ResourceHandler
    name: str


@dataclass(slots=True, frozen=True)
class CoordinationCall:
    """A request of an application, and its handler."""

    handler: CallHandler
    call: ControlCall


class ControlServer(ConnectionOwner):
    """Owns the `ctl` connections and dispatches each request by method and verb."""

    def __init__(self, shared: SharedResources, core: Core, settings: Settings) -> None:
        super().__init__(shared)
        self.core = core
        self._port = settings.bind["ctl"][1]
        config, self.backends = ConfigHandler(core), BackendsHandler(core, shared.loop, settings)
        self._coordination: dict[MethodAndVerb, CallHandler] = {}
        self._handlers: dict[MethodAndVerb, ResourceHandler] = {
            (b"POST", "Config.Replace"): config.replace,
            (b"GET", "Config.Read"): config.read,
            (b"POST", "Backends.Heartbeat"): self.backends.heartbeat,
            (b"POST", "Backends.Leave"): self.backends.leave,
        }

    def enable_drains(self, drains: DrainManager) -> None:
        """Adds the drain verbs; called once a file of contracts is present."""
        from oakvale.controlplane.drain_resource import DrainsHandler

        self.backends.departure_changes = drains.departure_changes
        handler = DrainsHandler(self.core, drains)
        self._handlers |= {
            (b"POST", "Drains.Order"): handler.order,
            (b"POST", "Drains.Plan"): handler.plan,
            (b"POST", "Drains.Cancel"): handler.cancel,
            (b"GET", "Drains.Show"): handler.show,
        }

    def enable_coordination(self, handlers: Mapping[MethodAndVerb, CallHandler]) -> None:
        """Adds the verbs that applications call."""
        self._coordination |= handlers

    def open(self, client: Any, incoming: IncomingRequest, received_at: int) -> Answer | ClientRequest:
        path, _, query = incoming.target.partition(b"?")
        if path == READINESS_PATH:
            return plain_answer(200, "ok") if self.core.view() is not None else plain_answer(503, "not ready")
        text = path.decode("latin-1")
        verb, _, name = text.removeprefix(PATH_PREFIX).partition("/")
        call = None
        if text.startswith(PATH_PREFIX):
            call = self._find_call((incoming.method, verb), name, query.decode("latin-1"), incoming.body)
        if call is None:
            known = any(verb == handled_verb for _, handled_verb in [*self._handlers, *self._coordination])
            return plain_answer(405 if known else 404, "no such call")
        if not self.core.serving():
            return self._redirect(incoming.target)
        return ClientRequest("", client, incoming.method, incoming.target, [], incoming.body, 0, call)

    def _find_call(
        self, method_and_verb: MethodAndVerb, name: str, query: str, body: bytes
    ) -> ResourceCall | CoordinationCall | None:
        if (resource_handler := self._handlers.get(method_and_verb)) is not None:
            return ResourceCall(resource_handler, name)
        if (call_handler := self._coordination.get(method_and_verb)) is not None:
            return CoordinationCall(call_handler, ControlCall(name, query, body))
        return None

    def _redirect(self, target: bytes) -> Answer:
        """A replica that is not the primary never answers from its own state."""
        primary = self.core.primary()
        primary_host = primary_url(self.core.view(), self._port)
        if primary is not None and primary != self.core.self_id and primary_host is not None:
            return Answer(307, [(b"location", f"http://{primary_host}{target.decode('latin-1')}".encode())])
        return Answer(503, [(b"retry-after", b"0.3"), JSON], b'{"error":"no primary is known"}')

    def begin(self, request: ClientRequest) -> None:
        def send_answer(answer: Answer) -> None:
            if not request.finished:
                self.final(request, answer)

        match request.event:
            case CoordinationCall(handler, call):
                handler(call, send_answer)
            case ResourceCall(handler, name):
                handler(
                    name,
                    request.body,
                    lambda reply: send_answer(Answer(reply.status, [JSON, *reply.headers], reply.body)),
                )

    def client_gone(self, request: ClientRequest) -> None:
        request.finished = True
        if isinstance(request.event, CoordinationCall):
            for on_abandoned in request.event.call.on_abandoned:
                on_abandoned()
