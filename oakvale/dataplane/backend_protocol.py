"""HTTP dialect of the system's backends: headers added to requests, and interpretation of answers."""

from __future__ import annotations

import re

from oakvale.interface import Ending
from oakvale.memory.requests import Answer, Headers, InFlightAttempt
from oakvale.wire.backends import InvalidAnswer
from oakvale.wire.http import end_to_end

# Headers that only the gateway may send to a backend; a client's own are dropped.
GATEWAY_REQUEST_HEADERS = frozenset({b"time-left", b"backend", b"tenant", b"authorization", b"attempt-id"})
# Headers that a backend addresses to the gateway; they are not forwarded.
GATEWAY_ANSWER_HEADERS = frozenset({b"not-run", b"served-by", b"keep-alive"})
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*([0-9]{1,6})", re.IGNORECASE)
NEVER_RAN_STATUSES = (408, 421, 429, 503)  # clients take these to mean that the request never ran and never will


class SystemDialect:
    """The `Dialect` of backends that register with the control plane."""

    partial_request_may_run = True  # a partly written request may have run

    def headers(self, attempt: InFlightAttempt, left: int) -> Headers:
        """The client's end-to-end headers and those that identify the attempt; `left` is in microseconds."""
        request = attempt.request
        routed = request.event
        added = [
            (b"attempt-id", request.id.encode("latin-1")),
            (b"time-left", b"%d" % (left // 1000)),
            (b"backend", routed.driver.backend_id(attempt.backend).encode("latin-1")),
        ]
        if routed.tenant is not None:
            added.append((b"tenant", routed.tenant.encode("latin-1")))
        return [*end_to_end(request.headers, GATEWAY_REQUEST_HEADERS), *added]

    def matches_attempt(self, attempt: InFlightAttempt, status: int, headers: Headers) -> bool:
        """A success must carry the attempt's id; an answer with another status may omit it on a new connection."""
        ids = [value for name, value in headers if name == b"attempt-id"]
        return all(value == attempt.request.id.encode("latin-1") for value in ids) and bool(ids or status >= 300)

    def identifies_attempt(self, headers: Headers) -> bool:
        """Whether the answer names its attempt."""
        return any(name == b"attempt-id" for name, _ in headers)

    def waits_for_rest(self, attempt: InFlightAttempt) -> bool:
        """Ending a stalled answer early only helps if another backend may be tried, so an unsafe request waits."""
        routed = attempt.request.event
        return not routed.route.safe

    def check_headers(self, attempt: InFlightAttempt, headers: Headers) -> None:
        """Raises InvalidAnswer if the answer has a content encoding, or no id on a connection that has carried other
        requests: bytes behind an earlier answer may look like one, and belong to no request."""
        if attempt.connection_idle_us and not self.identifies_attempt(headers):
            raise InvalidAnswer("answer without an id on a connection that has carried other requests")
        if any(name == b"content-encoding" and value.lower() != b"identity" for name, value in headers):
            raise InvalidAnswer("answer has a content encoding, which backends never use")

    def ending(self, answer: Answer) -> Ending:
        """A success without a Seal is incomplete; Not-Run and 421 mean that the request never ran."""
        names = {name for name, _ in answer.headers}
        if 200 <= answer.status < 300:
            return Ending.SERVED if b"seal" in names else Ending.RESET
        if b"not-run" in names or answer.status == 421:
            return Ending.FULL
        return Ending.ERROR

    def keep_alive_us(self, headers: Headers) -> int | None:
        """Parses `Keep-Alive: timeout=10`, given in whole seconds."""
        for name, value in headers:
            match = KEEP_ALIVE_TIMEOUT.search(value) if name == b"keep-alive" else None
            if match is not None:
                return int(match[1]) * 1_000_000
        return None

    def parse_load(self, headers: Headers) -> tuple[float, ...]:
        """Empty, as these backends report no load with an answer."""
        return ()

    def client_answer(self, attempt: InFlightAttempt, ending: Ending, answer: Answer) -> Answer | None:
        """A backend's answer is final if it served the request, blames the request (4xx), or the request is unsafe to
        repeat. An answer without Not-Run whose status promises that nothing ran is replaced with 502."""
        if ending is Ending.SERVED:
            return Answer(answer.status, end_to_end(answer.headers, GATEWAY_ANSWER_HEADERS), answer.body)
        if ending is not Ending.ERROR:
            return None
        forwarded = Answer(answer.status, end_to_end(answer.headers, GATEWAY_ANSWER_HEADERS), answer.body)
        if answer.status in NEVER_RAN_STATUSES:
            forwarded = Answer(502, [(b"content-type", b"text/plain")], b"failed\n")
        routed = attempt.request.event
        if not routed.route.safe or 400 <= answer.status < 500:
            return forwarded
        routed.fallback_answer = forwarded
        return None
