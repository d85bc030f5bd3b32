"""Links of one process to its peers in memory, and a plain model of the peers and of what each question may hear."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from oakvale.base.limits import Limits
from oakvale.base.loop import Loop
from oakvale.transport.frames import decode, encode
from oakvale.transport.links import Connection, Transport
from tests.memory_connections import UNLIMITED_BYTES, MemoryConnection, MemoryNet

MS, SECOND = 1_000, 1_000_000
PEERS = [("10.0.0.2", 7), ("10.0.0.3", 7)]


class Peer:
    """The other end of a connection: the questions that came on it, in order."""

    def __init__(self, world: World, line: MemoryConnection) -> None:
        self.world, self.line, self._read = world, line, 0
        self._came = bytearray()
        self.asked: list[tuple[int, Any]] = []
        self.rest = b""
        self.own = 0  # questions of the peer's: its numbers begin at 1, too

    def read(self) -> None:
        data = self.line.read()
        self._came += data[self._read :]
        self._read = len(data)
        for kind, number, body in decode(self._came):
            if kind == "q" and number:
                self.asked.append((number, body))
            elif not kind:
                self.world.holds(number in range(1, self.own + 1) and body == [number], f"{number} got {body}")

    def say(self, data: bytes, cut: bool) -> None:
        """`cut`: only half of it now."""
        data = self.rest + data
        count = len(data) // 2 if cut else len(data)
        self.line.deliver(data[:count])
        self.rest = data[count:]


class World:
    """Raises AssertionError from `play`, with what went on."""

    def __init__(self) -> None:
        self.now, self.log = 1_000 * SECOND, list[str]()
        self.net = MemoryNet()
        self.loop = Loop(lambda: self.now, Limits(timer_slack=0, wake_slack=0), cast(Any, self.net))
        self.transport = Transport(self.loop, ("10.0.0.1", 7))
        self.transport.handlers["x"] = self._asked
        self.listener = self.net.listen(("10.0.0.1", 7), 9)
        self.net.listen = lambda address, backlog: self.listener  # type: ignore[method-assign]
        self.transport.listen()
        self.mode, self.room, self.life = 0, UNLIMITED_BYTES, 0
        self.peers: list[Peer] = []
        self.heard: list[list[Any]] = []  # by question
        self.faults: list[str] = []
        self.later: list[Callable[[], None]] = []
        self.conns: list[Connection] = []
        for address in PEERS:
            self.net.connect_handlers[address] = self._connects

    def holds(self, so: bool, what: str) -> None:
        if not so:
            self.faults.append(what)

    def _connects(self, line: MemoryConnection) -> None:
        line.connected, line.refused, line.capacity_bytes = self.mode == 0, self.mode == 1, self.room
        self.peers.append(Peer(self, line))

    def _asked(self, conn: Connection, body: Any, answer: Callable[[Any], None]) -> None:
        self.conns.append(conn)
        if body[0] % 3:
            answer(body)
        else:
            self.later += [lambda: answer(body)] * (1 + body[0] % 2)

    def then(self, number: int) -> Callable[[Any], None]:
        self.heard.append([])

        def hears(answer: Any) -> None:
            self.heard[number].append(answer)
            self.holds(answer is None or answer == ["re", number], f"question {number} heard {answer}")
            if number % 7 == 3:
                raise ValueError("an odd answer")

        return hears

    def step(self, what: int, which: int) -> str:
        up = [p for p in self.peers if p.line.connected and not p.line.closed and not p.line.broken]
        peer = up[which % len(up)] if up else None
        number = len(self.heard)
        kind = what % 16
        if kind < 5:
            self.transport.ask(
                PEERS[which % 2], "q", number, (20, 300, 900, 5_000)[which >> 1 & 3] * MS, self.then(number)
            )
            return f"question {number}"
        if kind == 5 and self.conns:
            self.transport.ask_on(self.conns[which % len(self.conns)], "q", number, 300 * MS, self.then(number))
            return f"question {number}, back"
        if kind in (6, 7, 8) and peer is not None and peer.asked:
            ticket, about = peer.asked[which % len(peer.asked)]
            peer.say(encode("", ticket, ["re", about]) * (2 if which & 64 else 1), bool(which & 32))
            return f"answer to {about}"
        if kind == 9:
            line = None if peer is None else peer
            if line is None or which & 8:
                made = self.net.connection()
                made.connected = True
                self.listener.queue.append(made)
                line = Peer(self, made)
                self.peers.append(line)
            line.own += 1
            line.say(encode("x", line.own, [line.own]), bool(which & 32))
            return "a peer asks"
        if kind == 10:
            later, self.later = self.later, []
            for call in later:
                call()
            return "late answers of its own"
        if kind == 11:
            span = (MS, 30 * MS, 350 * MS, 1_000 * MS)[which % 4]
            self.pass_time(span)
            return f"{span // MS} ms"
        if kind == 12 and peer is not None:
            (peer.line.reset, peer.line.close_peer, lambda: peer.say(b"\0\0\0\1\xff", False))[which % 3]()
            return "a connection ends"
        if kind == 13:
            self.mode, self.room = which % 3, UNLIMITED_BYTES if which & 4 else 60
            return f"connections {self.mode}"
        if kind == 14 and which & 1:
            for each in self.peers:
                each.line.reset()
            return "the peers start again"
        if kind == 14:
            self.transport.afresh(PEERS[which >> 1 & 1])
            return "it is up"
        for each in self.peers:
            each.line.capacity_bytes = UNLIMITED_BYTES
        self.transport.sweep()
        return "links are swept"

    def turn(self) -> None:
        for _ in range(3):
            self.loop.turn(0)
        for peer in self.peers:
            peer.read()

    def pass_time(self, span: int) -> None:
        for _ in range(2):
            self.now += span // 2
            self.turn()

    def play(self, schedule: bytes) -> World:
        for at in range(0, len(schedule) - 1, 2):
            self.log.append(self.step(schedule[at], schedule[at + 1]))
            self.turn()
        self.pass_time(12 * SECOND)
        silent = [n for n, heard in enumerate(self.heard) if len(heard) != 1]
        self.holds(not silent, f"questions {silent} heard {[self.heard[n] for n in silent]}")
        left = [*self.transport._out.values(), *self.transport._in]
        self.holds(not any(conn.waiting for conn in left), "answers are waited for")
        self.loop.close()
        assert not self.faults, "\n".join([self.faults[0], *self.log])
        return self
