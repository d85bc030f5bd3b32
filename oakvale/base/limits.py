"""Every size, count and time that bounds the gateway, in one type that is filled at start and handed down.

These guard the process. What is decided about requests is in `oakvale.policy` alone.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000
SECOND = 1_000_000
MB = 1024 * 1024


@dataclass(frozen=True)
class Limits:
    # sizes, in bytes
    buffer: int = 16 * 1024
    header: int = 16 * 1024  # a message's head
    body: int = 64 * 1024  # a request's: PROTOCOL's most
    answer: int = 1024 * 1024  # an answer's: some good ones are longer than PROTOCOL says
    bodies: int = 32 * 1024 * 1024  # of requests and answers, together
    line: int = 1024 * 1024  # a line of discovery
    counter_name: int = 64  # PROTOCOL: a name has no more
    # counts
    interims: int = 8  # 1xx in front of an answer
    log_same: int = 5  # lines a second of one event
    buffers: int = 64  # kept for reuse
    backlog: int = 1024
    linger_reads: int = 16  # in one turn, of a client that goes on sending after its last answer
    accepts: int = 64  # in one turn: a storm of connections does not starve the others
    clients: int = 512
    clients_idle: int = 128  # of them, between requests
    backends: int = 384
    counters: int = 4
    counter_owed: int = 4096  # calls out on one connection
    requests: int = 20_000  # in hand
    cached_size: int = 512  # bytes of one
    cached: int = 256  # parsed or checked texts that come again and again
    counter_amount: float = 1e9  # PROTOCOL: an amount is at most this
    # times, in microseconds
    timer_slack: int = 4 * MS  # a timer may be late by this
    wake_slack: int = 20 * MS  # one that the module set
    late: int = 50 * MS  # a turn that comes later than this after its time looks at the sockets once more
    clock_step: int = 75 * SECOND  # a stamp of longer ago tells of a step of the system's clock
    client_grace: int = 500 * MS  # from the connection on, before it makes room for want of a word
    client_first: int = 2_500 * MS  # from the connection to the last byte of its first request
    client_send: int = 2_500 * MS  # from a later request's first byte to its last
    client_head: int = 0  # from a request's first byte to the end of its head; 0: as the whole request
    client_idle: int = 2 * SECOND  # between requests
    patient: bool = False  # what stands behind a request in hand waits for as long as that takes
    client_wait: int = 3600 * SECOND  # for an answer, whatever it says
    client_take: int = 10 * SECOND  # for a client to take its answer
    linger: int = 3 * SECOND  # for a client to close after the last answer
    accept_pause: int = 20 * MS
    unready: int = 400 * MS  # new connections wait so long for a process that starts
    fault_pause: int = 250 * MS  # before a timer that failed is given again
    connect: int = 250 * MS
    answer_rest: int = 250 * MS  # between two reads of an answer
    backend_settle: int = 2 * MS  # of quiet behind an answer until its connection is used again
    backend_idle: int = 20 * SECOND
    counter_timeout: int = 50 * MS
    counter_life: int = 60 * SECOND  # PROTOCOL: the longest of a name
    counter_retry: int = 50 * MS
    counter_late: int = 2 * SECOND  # for answers still owed on a connection given up
    counter_idle: int = 1 * SECOND  # older than this, a connection is looked at before it is used
    discovery_retry: int = 250 * MS
    discovery_silence: int = 4 * SECOND  # an empty line comes every 2 s; what is told counts so after 6 s
    sweep: int = 1 * SECOND
    status: int = 10 * SECOND  # between two lines that tell what was done
    stop_accepting: int = 500 * MS  # after SIGTERM; connections go on coming for 0.2 to 0.4 s
    stop_taking: int = 700 * MS  # after SIGTERM; what comes later is turned away
    stop_longest: int = 8 * SECOND

    @classmethod
    def fill(
        cls, sockets: int, memory: int, connect: int, backend_idle: int, counter_timeout: int, requests: int
    ) -> Limits:
        """Shares out the descriptors: an eighth and 16 stay free for the rest of the process. A quarter of
        the memory that the program itself does not need is for bodies."""
        free = max(16, sockets - sockets // 8 - 16 - cls.counters)
        return cls(
            clients=free * 2 // 3,
            clients_idle=sockets // 8,
            backends=free // 3,
            connect=connect,
            # well before the other side closes: what is written to a closed connection may have run
            backend_idle=backend_idle * 2 // 3,
            counter_timeout=counter_timeout,
            requests=requests,
            bodies=max(MB, (memory - 24 * MB) // 4),
        )
