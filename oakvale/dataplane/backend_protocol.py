"""What backends of the system are told, and how their answers are taken."""

from __future__ import annotations

import re

from oakvale.interface import Ending
from oakvale.memory.requests import Answer, Headers, InFlightAttempt
from oakvale.wire.backends import InvalidAnswer
from oakvale.wire.http import end_to_end

OURS = frozenset({b"time-left", b"backend", b"tenant", b"authorization", b"attempt-id"})
FOR_US = frozenset({b"not-run", b"served-by", b"keep-alive"})
TIMEOUT = re.compile(rb"timeout\s*=\s*([0-9]{1,6})", re.IGNORECASE)
PROMISES = (408, 421, 429, 503)  # a client takes these for 'it has not run and never will'


class SystemDialect:
    partial_request_may_run = True

    def headers(self, attempt: InFlightAttempt, left: int) -> Headers:
        request = attempt.request
        order = request.event
        own = [
            (b"attempt-id", request.id.encode("latin-1")),
            (b"time-left", b"%d" % (left // 1000)),
            (b"backend", order.driver.backend_id(attempt.backend).encode("latin-1")),
        ]
        if order.tenant is not None:
            own.append((b"tenant", order.tenant.encode("latin-1")))
        return [*end_to_end(request.headers, OURS), *own]

    def matches_attempt(self, attempt: InFlightAttempt, status: int, headers: Headers) -> bool:
        """A whole answer bears the attempt's id; one that turns away may bear none."""
        ids = [value for name, value in headers if name == b"attempt-id"]
        return all(value == attempt.request.id.encode("latin-1") for value in ids) and bool(ids or status >= 300)

    def identifies_attempt(self, headers: Headers) -> bool:
        return any(name == b"attempt-id" for name, _ in headers)

    def waits_for_rest(self, attempt: InFlightAttempt) -> bool:
        """A backend's silence is no reason to end an answer sooner, but that another may serve. What can't be
        repeated gains nothing by it; and a gateway that goes puts no answer of its own in the place of one that is
        under way."""
        order = attempt.request.event
        return not order.route.safe or order.driver.stopping

    def check_headers(self, headers: Headers) -> None:
        if any(name == b"content-encoding" and value.lower() != b"identity" for name, value in headers):
            raise InvalidAnswer("encoded: not what the backend meant")

    def ending(self, answer: Answer) -> Ending:
        names = {name for name, _ in answer.headers}
        if 200 <= answer.status < 300:
            return Ending.SERVED if b"seal" in names else Ending.RESET
        if b"not-run" in names or answer.status == 421:
            return Ending.FULL
        return Ending.ERROR

    def keep_alive_us(self, headers: Headers) -> int | None:
        """`Keep-Alive: timeout=10`, in whole seconds."""
        for name, value in headers:
            found = TIMEOUT.search(value) if name == b"keep-alive" else None
            if found is not None:
                return int(found[1]) * 1_000_000
        return None

    def parse_load(self, headers: Headers) -> tuple[float, ...]:
        return ()

    def client_answer(self, attempt: InFlightAttempt, ending: Ending, answer: Answer) -> Answer | None:
        """A backend's own answer is final where it served, where it speaks of the request, and where the
        request may not run once more. Its own 429 or 503 that does not say 'not run' would be read as a
        promise that nobody made."""
        if ending is Ending.SERVED:
            return Answer(answer.status, end_to_end(answer.headers, FOR_US), answer.body)
        if ending is not Ending.ERROR:
            return None
        passed = Answer(answer.status, end_to_end(answer.headers, FOR_US), answer.body)
        if answer.status in PROMISES:
            passed = Answer(502, [(b"content-type", b"text/plain")], b"failed\n")
        order = attempt.request.event
        if not order.route.safe or 400 <= answer.status < 500:
            return passed
        order.last = passed
        return None
