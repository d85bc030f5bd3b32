"""The policy's records of attempts, counter calls and requests match those of the sockets, whatever ends how."""

from collections import Counter

from oakvale.wire.clients import ClientConnection
from oakvale.wire.counter import CounterCall, CounterConnection
from tests.node import MS, Node, StubConnection, answer, row


class CheckedNode(Node):
    """A gateway with the real policy and a counter that answers; the records are compared after each step."""

    def __init__(self) -> None:
        super().__init__(script=False)
        self.sides: list[StubConnection] = []
        self.backends: list[StubConnection] = []
        self.totals: Counter[str] = Counter()

    def step(self, turns: int = 4) -> None:
        for _ in range(turns):
            self.turns(2)
            while (side := self.counter.take()) is not None:
                self.sides.append(self._kept(side))
            for side in self.sides:
                lines, side.came = side.read().split(b"\r\n"), b""
                for line in lines[:-1]:
                    _, name, amount, _ = line.decode().split()
                    self.totals[name] += float(amount)  # type: ignore[assignment]
                    side.send(b"ok %.6f\r\n" % self.totals[name])
            self.compare()

    def compare(self) -> None:
        host, policy = self.host, self.host.gateway
        in_hand = list(host.requests._by_id.values())
        out = Counter(a.backend for r in in_hand for a in r.attempts.values())
        assert out == Counter(
            {number: len(backend.in_flight) for number, backend in policy.context.backends.items() if backend.in_flight}
        )
        assert sum(out.values()) == host.backend_connections - host.idle.count
        assert sum(c.in_flight for c in policy.context.customers.values()) == sum(out.values())
        assert host.counter is not None
        owed = {name: len(calls) for name, calls in host.counter._by_name.items()}
        assert owed == {name: len(calls) for name, calls in policy.counter.calls.items()}
        written = [c for connection in host.counter.connections for c in held(connection) if c.ending is None]
        assert len(written) == sum(owed.values())
        assert {r.id for r in in_hand if not r.finished} == {
            request_id for request_id, pending in policy.context.pending.items() if not pending.finished
        }
        asked = {c.request for c in host.clients.all if isinstance(c, ClientConnection)}
        waiting = {request.id for request in asked if request is not None}
        assert waiting == {r.id for r in in_hand if not r.finished}

    def sent(self, request_id: str) -> tuple[StubConnection, StubConnection]:
        client = self.client()
        self.ask(client, request_id, X_Call_Terms="units=1,spread=1,first=0")
        self.step()
        return client, self.until(lambda: self.backend_with(request_id.encode()))

    def backend_with(self, request_id: bytes) -> StubConnection | None:
        """The connection, new or reused, on which an attempt arrived."""
        while (side := self.backend.take()) is not None:
            self.backends.append(self._kept(side))
        for side in self.backends:
            if request_id in side.read():
                side.came = b""
                return side
        return None


def held(connection: CounterConnection) -> list[CounterCall]:
    return [*connection.unanswered, *([connection._partial] if connection._partial else []), *connection._unsent]


def test_every_ending_leaves_the_same_picture_in_module_and_host() -> None:
    node = CheckedNode()
    endings = [
        answer(),
        answer("500 Oops"),
        answer("503 Full", X_Never_Ran="1"),
        answer("400 Odd"),
        b"nonsense\r\n\r\n",
        answer() + b"more",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
    ]
    for n, reply in enumerate(endings):
        client, backend = node.sent(f"a{n}")
        node.compare()
        backend.send(reply)
        node.step()
        while not client.read():  # retried, and then served
            again = node.until(lambda: node.backend_with(f"a{n}".encode()))  # noqa: B023
            again.send(answer())
            node.step()
        assert client.came.startswith(b"HTTP/1.1 ")
        node.clock.now += 2_500 * MS  # past the ejection of the backend
        node.step()
    client, backend = node.sent("b1")
    client.close(reset=True)
    node.step()
    node.until_ended(backend)  # cancelled, in policy and host
    assert not any(b.in_flight for b in node.host.gateway.context.backends.values()) and not node.host.requests._by_id
    client, backend = node.sent("b2")
    node.host.discovery.apply({"index": 50, "snapshot": True, "endpoints": [row("s-9", node.backend.text)]})
    node.step()
    assert set(node.host.gateway.context.backends) == {1, 2}  # its attempt has not ended yet
    backend.send(answer())
    node.step()
    node.host.discovery.apply({"index": 51, "snapshot": False, "endpoints": []})
    node.host.discovery.apply({"index": 52, "snapshot": False, "endpoints": [row("s-9", node.backend.text)]})
    node.step()
    assert set(node.host.gateway.context.backends) == set(node.host.backend_names._addresses) == {2}
    assert not node.host.requests._by_id and not node.host.gateway.context.pending
    node.close()


def test_calls_lost_with_their_connection_are_lost_in_both() -> None:
    node = CheckedNode()
    client = node.client()
    node.ask(client, "a1", X_Call_Terms="units=1,spread=1,first=0")
    node.until(lambda: node.host.gateway.counter.calls)
    side = node.taken(node.counter)
    node.reads(side, b"\r\n")
    node.compare()
    side.send(b"what\r\n")
    node.until(lambda: node.host.counter is not None and not node.host.counter.connections)
    node.compare()
    node.close()
