"""Limits: every size, count and duration that bounds the gateway, in one type that is filled at startup.

These protect the process. Decisions about requests are made in `oakvale.policy` alone.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000  # in microseconds, as is SECOND
SECOND = 1_000_000
MB = 1024 * 1024


@dataclass(frozen=True)
class Limits:
    """The limits of one process. Sizes are in bytes and times in microseconds; PROTOCOL is the wire specification."""

    # sizes
    buffer: int = 16 * 1024
    header: int = 16 * 1024  # header section of a message
    body: int = 64 * 1024  # body of a request, the maximum in PROTOCOL
    answer: int = 1024 * 1024  # body of a response; some valid ones exceed the maximum in PROTOCOL
    bodies: int = 32 * 1024 * 1024  # all request bodies together
    answers: int = 48 * 1024 * 1024  # all response bodies together
    answer_part: int = 256 * 1024  # of a response body, written and released at once
    line: int = 1024 * 1024  # one line of the discovery stream
    counter_name: int = 64  # the maximum in PROTOCOL
    # counts
    interims: int = 8  # 1xx responses before the final one
    log_same: int = 5  # log lines per second of the same event
    buffers: int = 64  # free buffers kept for reuse
    backlog: int = 1024
    linger_reads: int = 16  # reads per turn from a client that keeps sending after its last response
    accepts: int = 64  # accepted connections per turn, so that a burst does not starve existing ones
    clients: int = 512  # client connections
    clients_idle: int = 128  # client connections between requests
    backends: int = 384  # backend connections
    counters: int = 4  # counter connections
    counter_owed: int = 4096  # outstanding calls per counter connection
    requests: int = 20_000  # pending requests
    cached_size: int = 512  # bytes of a text that may be cached
    cached: int = 256  # cached results of parsing or validating recurring texts
    counter_amount: float = 1e9  # largest amount of a charge in PROTOCOL
    # times
    timer_slack: int = 4 * MS  # allowed delay of a timer
    wake_slack: int = 20 * MS  # allowed delay of a timer set by the decision module
    late: int = 50 * MS  # a turn delayed by more than this polls the sockets again before it runs timers
    clock_step: int = 75 * SECOND  # an arrival timestamp older than this means that the system clock was stepped
    client_grace: int = 500 * MS  # minimum time before a new connection without a request may be closed to make room
    client_first: int = 2_500 * MS  # from the connection to the last byte of its first request
    client_send: int = 2_500 * MS  # from the first to the last byte of a later request
    client_head: int = 0  # from the first byte of a request to the end of its header; 0: same as the whole request
    client_idle: int = 2 * SECOND  # between requests
    patient: bool = False  # data received behind a pending request may wait until that request is answered
    client_wait: int = 3600 * SECOND  # longest wait for a response, whatever the client requests
    client_take: int = 10 * SECOND  # for a client to read its response
    linger: int = 3 * SECOND  # for a client to close after the last response
    accept_pause: int = 20 * MS  # before accepting again after a failure
    memory_pause: int = 20 * MS  # before looking again whether there is memory for a response
    unready: int = 400 * MS  # longest time that new connections wait for a starting process
    fault_pause: int = 250 * MS  # before a timer is delivered again after its handler failed
    connect: int = 250 * MS  # connecting to a backend
    answer_rest: int = 250 * MS  # between two reads of a response
    backend_settle: int = 2 * MS  # without further data after a response before its connection is reused
    backend_idle: int = 20 * SECOND
    counter_timeout: int = 50 * MS
    counter_life: int = 60 * SECOND  # longest lifetime of a counter name in PROTOCOL
    counter_retry: int = 50 * MS
    counter_late: int = 2 * SECOND  # for outstanding responses on an abandoned connection
    counter_idle: int = 1 * SECOND  # a connection idle for longer is checked before use
    discovery_retry: int = 250 * MS
    discovery_silence: int = 4 * SECOND  # keep-alive lines come every 2 s, and updates must apply within 6 s
    sweep: int = 1 * SECOND  # between two sweeps of idle backend connections
    status: int = 10 * SECOND  # between two status log lines
    stop_accepting: int = 500 * MS  # after SIGTERM; new connections still arrive for 0.2 to 0.4 s
    stop_taking: int = 700 * MS  # after SIGTERM; later requests are rejected
    stop_longest: int = 8 * SECOND  # from SIGTERM to the forced end

    @classmethod
    def fill(
        cls, sockets: int, memory: int, connect: int, backend_idle: int, counter_timeout: int, requests: int
    ) -> Limits:
        """Divides the file descriptors and the memory of the process among connections and bodies.

        One eighth of the descriptors plus 16 stays free for other uses. Of the memory beyond the 24 MB of the program
        itself, bodies of requests get a quarter, and those of responses three eighths.
        """
        available = max(16, sockets - sockets // 8 - 16 - cls.counters)
        return cls(
            clients=available * 2 // 3,
            clients_idle=sockets // 8,
            backends=available // 3,
            connect=connect,
            # well before the backend closes: a request written to a closing connection may still have been executed
            backend_idle=backend_idle * 2 // 3,
            counter_timeout=counter_timeout,
            requests=requests,
            bodies=max(MB, (memory - 24 * MB) // 4),
            answers=max(MB, (memory - 24 * MB) * 3 // 8),
        )
