"""The transport of one process over in-memory connections, with a model of its peers and of the allowed responses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from oakvale.base.limits import Limits
from oakvale.base.loop import Loop
from oakvale.transport.frames import decode, encode
from oakvale.transport.links import Connection, Transport
from tests.memory_connections import UNLIMITED_BYTES, MemoryConnection, MemoryNet

MS, SECOND = 1_000, 1_000_000
PEER_ADDRESSES = [("10.0.0.2", 7), ("10.0.0.3", 7)]


class Peer:
    """The other end of a connection, with the requests received on it in order."""

    def __init__(self, world: World, line: MemoryConnection) -> None:
        self.world, self.line, self._read_bytes = world, line, 0
        self._receive_buffer = bytearray()
        self.requests: list[tuple[int, Any]] = []
        self.unsent_rest = b""
        self.sent_requests = 0  # the peer numbers its own requests from 1, too

    def read(self) -> None:
        data = self.line.read()
        self._receive_buffer += data[self._read_bytes :]
        self._read_bytes = len(data)
        for kind, number, body in decode(self._receive_buffer):
            if kind == "q" and number:
                self.requests.append((number, body))
            elif not kind:
                self.world.check(
                    number in range(1, self.sent_requests + 1) and body == [number], f"{number} got {body}"
                )

    def write(self, data: bytes, half: bool) -> None:
        """Sends the data; with `half`, the second half follows with the next write."""
        data = self.unsent_rest + data
        count = len(data) // 2 if half else len(data)
        self.line.deliver(data[:count])
        self.unsent_rest = data[count:]


class World:
    """A process and its peers in simulated time. `play` raises AssertionError with the log of its steps."""

    def __init__(self) -> None:
        self.now, self.log = 1_000 * SECOND, list[str]()
        self.net = MemoryNet()
        self.loop = Loop(lambda: self.now, Limits(timer_slack=0, wake_slack=0), cast(Any, self.net))
        self.transport = Transport(self.loop, ("10.0.0.1", 7))
        self.transport.handlers["x"] = self._handle_request
        self.listener = self.net.listen(("10.0.0.1", 7), 9)
        self.net.listen = lambda address, backlog: self.listener  # type: ignore[method-assign]
        self.transport.listen()
        self.connect_mode, self.room, self.incarnation = 0, UNLIMITED_BYTES, 0
        self.peers: list[Peer] = []
        self.responses: list[list[Any]] = []  # by request
        self.violations: list[str] = []
        self.delayed_responses: list[Callable[[], None]] = []
        self.conns: list[Connection] = []
        for address in PEER_ADDRESSES:
            self.net.connect_handlers[address] = self._on_connect

    def check(self, condition: bool, what: str) -> None:
        if not condition:
            self.violations.append(what)

    def _on_connect(self, line: MemoryConnection) -> None:
        line.connected, line.refused, line.capacity_bytes = self.connect_mode == 0, self.connect_mode == 1, self.room
        self.peers.append(Peer(self, line))

    def _handle_request(self, conn: Connection, body: Any, answer: Callable[[Any], None]) -> None:
        self.conns.append(conn)
        if body[0] % 3:
            answer(body)
        else:
            self.delayed_responses += [lambda: answer(body)] * (1 + body[0] % 2)

    def response_callback(self, number: int) -> Callable[[Any], None]:
        self.responses.append([])

        def on_response(answer: Any) -> None:
            self.responses[number].append(answer)
            self.check(answer is None or answer == ["re", number], f"request {number} got the response {answer}")
            if number % 7 == 3:
                raise ValueError("unusable response")

        return on_response

    def step(self, what: int, choice: int) -> str:
        open_peers = [p for p in self.peers if p.line.connected and not p.line.closed and not p.line.broken]
        peer = open_peers[choice % len(open_peers)] if open_peers else None
        number = len(self.responses)
        kind = what % 16
        if kind < 5:
            self.transport.ask(
                PEER_ADDRESSES[choice % 2],
                "q",
                number,
                (20, 300, 900, 5_000)[choice >> 1 & 3] * MS,
                self.response_callback(number),
            )
            return f"request {number}"
        if kind == 5 and self.conns:
            self.transport.ask_on(
                self.conns[choice % len(self.conns)], "q", number, 300 * MS, self.response_callback(number)
            )
            return f"request {number} on an existing connection"
        if kind in (6, 7, 8) and peer is not None and peer.requests:
            request_number, request_body = peer.requests[choice % len(peer.requests)]
            peer.write(encode("", request_number, ["re", request_body]) * (2 if choice & 64 else 1), bool(choice & 32))
            return f"response to {request_body}"
        if kind == 9:
            sender = None if peer is None else peer
            if sender is None or choice & 8:
                accepted = self.net.connection()
                accepted.connected = True
                self.listener.queue.append(accepted)
                sender = Peer(self, accepted)
                self.peers.append(sender)
            sender.sent_requests += 1
            sender.write(encode("x", sender.sent_requests, [sender.sent_requests]), bool(choice & 32))
            return "request by a peer"
        if kind == 10:
            delayed_responses, self.delayed_responses = self.delayed_responses, []
            for call in delayed_responses:
                call()
            return "delayed responses of the process"
        if kind == 11:
            duration = (MS, 30 * MS, 350 * MS, 1_000 * MS)[choice % 4]
            self.pass_time(duration)
            return f"{duration // MS} ms"
        if kind == 12 and peer is not None:
            (peer.line.reset, peer.line.close_peer, lambda: peer.write(b"\0\0\0\1\xff", False))[choice % 3]()
            return "a connection closes"
        if kind == 13:
            self.connect_mode, self.room = choice % 3, UNLIMITED_BYTES if choice & 4 else 60
            return f"connect mode {self.connect_mode}"
        if kind == 14 and choice & 1:
            for each in self.peers:
                each.line.reset()
            return "all peers restart"
        if kind == 14:
            self.transport.retry_connect(PEER_ADDRESSES[choice >> 1 & 1])
            return "connection attempt abandoned"
        for each in self.peers:
            each.line.capacity_bytes = UNLIMITED_BYTES
        self.transport.close_idle_links()
        return "idle links closed"

    def turn(self) -> None:
        for _ in range(3):
            self.loop.turn(0)
        for peer in self.peers:
            peer.read()

    def pass_time(self, duration: int) -> None:
        for _ in range(2):
            self.now += duration // 2
            self.turn()

    def play(self, schedule: bytes) -> World:
        for at in range(0, len(schedule) - 1, 2):
            self.log.append(self.step(schedule[at], schedule[at + 1]))
            self.turn()
        self.pass_time(12 * SECOND)
        unanswered = [n for n, responses in enumerate(self.responses) if len(responses) != 1]
        self.check(not unanswered, f"requests {unanswered} got {[self.responses[n] for n in unanswered]}")
        open_connections = [*self.transport._outgoing.values(), *self.transport._incoming]
        self.check(not any(conn.pending_requests for conn in open_connections), "requests are still pending")
        self.loop.close()
        assert not self.violations, "\n".join([self.violations[0], *self.log])
        return self
