"""The policy's records of attempts, counter calls and requests match those of the sockets, whatever ends how."""

from collections import Counter

import pytest

from oakvale.wire.clients import ClientConnection
from oakvale.wire.counter import CounterCall, CounterConnection
from tests.node import MS, Node, StubConnection, answer, row


class CheckedNode(Node):
    """A gateway with the real policy and a counter that answers; the records are compared after each step."""

    def __init__(self) -> None:
        super().__init__(script=False)
        self.counter_connections: list[StubConnection] = []
        self.backends: list[StubConnection] = []
        self.totals: Counter[str] = Counter()

    def step(self, turns: int = 4) -> None:
        for _ in range(turns):
            self.turns(2)
            while (connection := self.counter.take()) is not None:
                self.counter_connections.append(self._kept(connection))
            for connection in self.counter_connections:
                lines, connection.received = connection.read().split(b"\r\n"), b""
                for line in lines[:-1]:
                    _, name, amount, _ = line.decode().split()
                    self.totals[name] += float(amount)  # type: ignore[assignment]
                    connection.send(b"ok %.6f\r\n" % self.totals[name])
            self.compare()

    def compare(self) -> None:
        host, policy = self.host, self.host.gateway
        requests = list(host.requests._by_id.values())
        in_flight = Counter(a.backend for r in requests for a in r.attempts.values())
        assert in_flight == Counter(
            {number: len(backend.in_flight) for number, backend in policy.context.backends.items() if backend.in_flight}
        )
        assert sum(in_flight.values()) == host.backend_connections - host.idle.count
        assert sum(c.in_flight for c in policy.context.customers.values()) == sum(in_flight.values())
        assert host.counter is not None
        outstanding_calls = {name: len(calls) for name, calls in host.counter._by_name.items()}
        assert outstanding_calls == {name: len(calls) for name, calls in policy.counter.calls.items()}
        written = [
            c for connection in host.counter.connections for c in unanswered_calls(connection) if c.ending is None
        ]
        assert len(written) == sum(outstanding_calls.values())
        assert {r.id for r in requests if not r.finished} == {
            request_id for request_id, pending in policy.context.pending.items() if not pending.finished
        }
        client_requests = {c.request for c in host.clients.all if isinstance(c, ClientConnection)}
        waiting = {request.id for request in client_requests if request is not None}
        assert waiting == {r.id for r in requests if not r.finished}

    def send_request(self, request_id: str) -> tuple[StubConnection, StubConnection]:
        client = self.client()
        self.ask(client, request_id, X_Call_Terms="units=1,spread=1,first=0")
        self.step()
        return client, self.until(lambda: self.backend_with(request_id.encode()))

    def backend_with(self, request_id: bytes) -> StubConnection | None:
        """The connection, new or reused, on which an attempt arrived."""
        while (connection := self.backend.take()) is not None:
            self.backends.append(self._kept(connection))
        for connection in self.backends:
            if request_id in connection.read():
                connection.received = b""
                return connection
        return None


def unanswered_calls(connection: CounterConnection) -> list[CounterCall]:
    return [*connection.unanswered, *([connection._partial] if connection._partial else []), *connection._unsent]


def test_policy_and_host_agree_after_every_ending() -> None:
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
        client, backend = node.send_request(f"a{n}")
        node.compare()
        backend.send(reply)
        node.step()
        while not client.read():  # retried, and then served
            retry = node.until(lambda: node.backend_with(f"a{n}".encode()))  # noqa: B023
            retry.send(answer())
            node.step()
        assert client.received.startswith(b"HTTP/1.1 ")
        node.clock.now += 2_500 * MS  # past the ejection of the backend
        node.step()
    client, backend = node.send_request("b1")
    client.close(reset=True)
    node.step()
    node.until_ended(backend)  # cancelled, in policy and host
    assert not any(b.in_flight for b in node.host.gateway.context.backends.values()) and not node.host.requests._by_id
    client, backend = node.send_request("b2")
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


def test_lost_counter_calls_are_dropped_by_policy_and_host() -> None:
    node = CheckedNode()
    client = node.client()
    node.ask(client, "a1", X_Call_Terms="units=1,spread=1,first=0")
    node.until(lambda: node.host.gateway.counter.calls)
    connection = node.accept_from(node.counter)
    node.reads(connection, b"\r\n")
    node.compare()
    connection.send(b"what\r\n")
    node.until(lambda: node.host.counter is not None and not node.host.counter.connections)
    node.compare()
    node.close()


SERVED, ERROR = answer(), answer("500 Oops")


@pytest.mark.parametrize(
    "module, function, reply",
    [  # an error gives no sample, by which limits could be adjusted
        ("limits", "adjust", SERVED),
        ("health", "learn", SERVED),
        ("health", "learn", ERROR),
        ("budget", "record_attempt_end", SERVED),
        ("budget", "record_attempt_end", ERROR),
    ],
)
def test_exception_while_learning_from_an_attempt_leaves_no_count(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, module: str, function: str, reply: bytes
) -> None:
    """Guards against a request that stays pending, and a customer's count of attempts that stays up, for good."""
    node = CheckedNode()

    def fails(*_: object) -> None:
        raise ZeroDivisionError("odd")

    policy = node.host.gateway
    monkeypatch.setattr(getattr(policy.attempts, module), function, fails)
    client, backend = node.send_request("a1")
    node.clock.now += 5 * MS
    backend.send(reply)
    node.until(lambda: client.read())
    node.step()
    assert not policy.context.pending and not node.host.requests._by_id
    assert not any(backend.in_flight for backend in policy.context.backends.values())
    assert [customer.in_flight for customer in policy.context.customers.values()] == [0]
    assert client.received.split()[1] == reply.split()[1] and any(record.exc_info for record in caplog.records)
    node.close()
