"""Connections of clients on the loop's sockets: each carries one try at a time and tells the record what became of it.

What a client does after a try has ended is decided in `asks`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import h11

from oakvale.base.loop import READ, TIMED_OUT, Coroutine, Loop, Priority, Step, Task
from oakvale.lab.models.client_requests import CONNECT_TIMEOUT_US, ClientRequest, TryEnd
from oakvale.lab.models.exchanges import (
    ConnectionEnded,
    TimedOut,
    connect,
    header_value,
    read,
    reset,
    send,
    unread_bytes,
)
from oakvale.lab.models.platform import Edge
from oakvale.lab.record import Closed, Got, Record, Sent, Wrote, digest

MS, SECOND = 1_000, 1_000_000
KEPT = 8 * SECOND  # a connection that waits for its client's next request, where the gateway says no less
LOOKS = 100 * MS  # between two looks at whether the gateway has read a request
CHUNKED = 0.5  # of the bodies


@dataclass(eq=False, slots=True)
class Line:
    """A client's connection to a gateway."""

    sock: Any
    edge: Edge
    client: str
    number: int
    ask: ClientRequest | None
    keep: bool  # by the client's habit
    task: Task | None = None
    peer: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    closing: bool = False
    closes_in_order: bool = False  # its client leaves with a close, not with a reset


class Senders:
    """Sends asks and tells the record what became of them."""

    def __init__(
        self, loop: Loop, record: Record, rng: Random, lead: Callable[[ClientRequest], Edge], name: str
    ) -> None:
        """`name` makes the numbers of its connections its own."""
        self.loop, self.record, self.rng, self._lead, self._name = loop, record, rng, lead, name
        self._numbers = 0
        self._idle: dict[str, list[Line]] = {}
        self.out = 0  # asks that are not over

    def send(self, ask: ClientRequest, keep: bool = False, edge: Edge | None = None) -> None:
        """One more try of an ask, on a kept connection only if it is the first."""
        lines = self._idle.get(ask.client, [])
        if keep and not ask.tries and edge is None and lines:
            line = lines.pop()
            assert line.task is not None
            self._note(ask, line.edge, line.number)
            line.ask = ask
            self.loop.wake(line.task)
            return
        edge = edge or self._lead(ask)
        self._numbers += 1
        number = self._numbers * 1_000 + sum(self._name.encode()) % 1_000
        self._note(ask, edge, number)
        try:
            sock = self.loop.net.stream()
        except OSError:
            self._over(ask, TryEnd.UNREACHED, number)
            return
        line = Line(sock, edge, ask.client, number, ask, keep)
        line.task = self.loop.start(self._live(line), sock.fileno(), Priority.CLIENT)

    def _note(self, ask: ClientRequest, edge: Edge, number: int) -> None:
        name = f"{self.rng.getrandbits(64):016x}"
        ask.tries.append(name)
        ask.gateways.append(edge.machine)
        self.out += len(ask.tries) == 1
        self.record.add(
            Sent(
                self.loop.now,
                name,
                ask.client,
                ask.host,
                ask.path,
                ask.method,
                digest(ask.body),
                ask.key,
                ask.tenant,
                ask.route,
                ask.deadline,
                edge.machine,
                number,
                ask.tries[0],
                ask.zone,
            )
        )

    def _over(
        self, ask: ClientRequest, end: TryEnd | int, number: int, retry_after: float | None = None, read: bool = False
    ) -> None:
        now = self.loop.now
        if isinstance(end, TryEnd):
            by_client = end in (TryEnd.OVER, TryEnd.GIVEN_UP, TryEnd.LEFT)
            self.record.add(Closed(now, ask.tries[-1], number, read, by_client))
        due = ask.next_try_at(now, end, retry_after) if ask.route else None
        if due is None:
            self.out -= 1
        else:
            self.loop.at(due, self.send, ask)

    # ---- a connection

    def _live(self, line: Line) -> Coroutine:
        rst = False
        try:
            ask = line.ask
            assert ask is not None
            try:
                yield from connect(
                    line.sock, line.edge.http, min(self.loop.now + CONNECT_TIMEOUT_US, ask.waits_until())
                )
            except (ConnectionEnded, TimedOut):
                line.ask = None
                late = self.loop.now >= ask.waits_until()
                self._over(ask, ask.end_when_given_up(self.loop.now) if late else TryEnd.UNREACHED, line.number)
                return
            while line.ask is not None:
                ask, line.ask = line.ask, None
                rst = not (yield from self._exchange(line, ask))
                if rst or line.closing or not line.keep:
                    return
                line.peer.start_next_cycle()
                yield from self._wait(line)
        except h11.ProtocolError:
            pass
        finally:
            if line in self._idle.get(line.client, ()):
                self._idle[line.client].remove(line)
            if line.ask is not None:  # given to it while it ended
                self._over(line.ask, TryEnd.UNREACHED, line.number)
            if rst and not line.closes_in_order:
                reset(line.sock)
            else:
                line.sock.close()

    def _exchange(self, line: Line, ask: ClientRequest) -> Step[bool]:
        """One try on it; False where the connection is no more use."""
        name, now = ask.tries[-1], self.loop.now
        try:
            yield from send(line.sock, self._request(line.peer, ask, name), ask.waits_until())
            self.record.add(Wrote(self.loop.now, name))
            response, body, whole = yield from self._answer(line, ask, ask.give_up_unread(now))
        except ConnectionEnded as error:
            # with unread bytes a closing is a reset: the kernel tells so much of whether it was read
            left = unread_bytes(line.sock)
            taken = not error.reset if left is None else left == 0
            self._over(ask, TryEnd.BROKEN if taken else TryEnd.UNREACHED, line.number, read=taken)
            return False
        except TimedOut:
            left, end = unread_bytes(line.sock), ask.end_when_given_up(self.loop.now)
            line.closes_in_order = end is TryEnd.LEFT and line.number % 2 == 0
            self._over(ask, end, line.number, read=left == 0)
            return False
        except h11.RemoteProtocolError:
            self.record.add(Got(self.loop.now, name, 0, None, "", False, None, line.number))
            self._over(ask, 0, line.number)
            return False
        headers = [(bytes(n), bytes(v)) for n, v in response.headers]
        told = header_value(headers, b"retry-after")
        try:
            wait = float(told) if told else None
        except ValueError:
            wait = None
        self.record.add(
            Got(
                self.loop.now,
                name,
                response.status_code,
                header_value(headers, b"seal"),
                digest(body),
                whole,
                wait,
                line.number,
                header_value(headers, b"attempt-id"),
                header_value(headers, b"content-encoding") is not None,
            )
        )
        self._over(ask, response.status_code if whole else 0, line.number, wait)
        return whole

    def _request(self, peer: h11.Connection, ask: ClientRequest, name: str) -> bytes:
        headers = [
            ("Host", ask.host),
            ("Attempt-Id", name),
            ("Time-Left", str(max(0, ask.deadline - self.loop.now) // MS)),
        ]
        if ask.key is not None:
            headers.append(("Authorization", f"Bearer {ask.key}"))
        if ask.body:
            chunked = self.rng.random() < CHUNKED
            headers.append(("Transfer-Encoding", "chunked") if chunked else ("Content-Length", str(len(ask.body))))
        data = peer.send(h11.Request(method=ask.method, target=ask.path, headers=headers)) or b""
        for at in range(0, len(ask.body), 1000):
            data += peer.send(h11.Data(data=ask.body[at : at + 1000])) or b""
        return data + (peer.send(h11.EndOfMessage()) or b"")

    def _answer(self, line: Line, ask: ClientRequest, give_up: int) -> Step[tuple[h11.Response, bytes, bool]]:
        """The answer and whether it ended as its head promised. Raises ConnectionEnded, TimedOut, RemoteProtocolError
        before its head is there."""
        response, body, peer = None, b"", line.peer
        try:
            while True:
                event = peer.next_event()
                if event is h11.NEED_DATA:
                    yield from self._more(line, ask, give_up if response is None else 0)
                elif isinstance(event, h11.Response):
                    response = event
                    line.closing |= (
                        header_value([(bytes(n), bytes(v)) for n, v in event.headers], b"connection") or ""
                    ).lower() == "close"
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    assert response is not None
                    line.closing |= peer.our_state is h11.MUST_CLOSE
                    return response, body, True
                elif isinstance(event, h11.ConnectionClosed):
                    raise ConnectionEnded(False)
        except (ConnectionEnded, TimedOut, h11.RemoteProtocolError):
            if response is None:
                raise
            return response, body, False

    def _more(self, line: Line, ask: ClientRequest, give_up: int) -> Step[None]:
        """Hands the next bytes to `h11`."""
        while True:
            data = read(line.sock)
            if data is not None:
                if not data and line.peer.their_state is h11.SEND_RESPONSE:
                    raise ConnectionEnded(False)  # nothing of an answer came, or a part of its head: it is none
                line.peer.receive_data(data)
                return
            now = self.loop.now
            looks = bool(give_up) and bool(unread_bytes(line.sock))
            if now >= ask.waits_until() or looks and now >= give_up:
                raise TimedOut
            yield READ, min(ask.waits_until(), give_up, now + LOOKS) if looks else ask.waits_until()

    def _wait(self, line: Line) -> Step[None]:
        """Until its client has another request for it, or it is of no more use."""
        self._idle.setdefault(line.client, []).append(line)
        due = self.loop.now + KEPT
        while line.ask is None:
            flags = yield READ, due
            if line.ask is not None:
                return
            if flags == TIMED_OUT:
                break
            try:
                data = read(line.sock)
            except ConnectionEnded:
                break
            if data is None:
                continue
            if data:
                self._surplus(line, data)
            break
        if line in self._idle[line.client]:
            self._idle[line.client].remove(line)

    def _surplus(self, line: Line, data: bytes) -> None:
        """Bytes where no request waits."""
        status, seal, shown = 0, None, None
        peer = h11.Connection(h11.CLIENT)
        try:
            peer.send(h11.Request(method="GET", target="/", headers=[("Host", "none")]))
            peer.send(h11.EndOfMessage())
            peer.receive_data(data)
            event = peer.next_event()
            if isinstance(event, h11.Response):
                headers = [(bytes(n), bytes(v)) for n, v in event.headers]
                status, seal, shown = (
                    event.status_code,
                    header_value(headers, b"seal"),
                    header_value(headers, b"attempt-id"),
                )
        except h11.RemoteProtocolError:
            pass
        self.record.add(Got(self.loop.now, None, status, seal, digest(data), False, None, line.number, shown))
