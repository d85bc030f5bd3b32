"""All applications of one run, and their calls at its end."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from oakvale.lab.applications.client import MS, Client
from oakvale.lab.applications.key_users import Reader, Watcher, Writer
from oakvale.lab.applications.lock_users import LockUser
from oakvale.lab.applications.number_users import NumberUser
from oakvale.lab.applications.wire import Surroundings
from oakvale.lab.history.calls import BeginHold, Call, History, NextNumber, ReadValue, Request, WatchGroup

CLOSING_HOLD_US = 200 * MS
CLOSING_RETRY_US = 100 * MS
CLOSING_WATCH_US = 300 * MS


@dataclass(slots=True, frozen=True)
class CrewSize:
    """How many applications of each kind there are, and how much they share."""

    lock_users: int = 10
    locks: int = 5
    number_users: int = 3
    counters: int = 2
    writers: int = 5
    readers: int = 3
    groups: int = 2
    keys_per_group: int = 3
    watchers: int = 3
    value_padding: int = 0  # characters that end each value


class Crew:
    """The applications; `history` holds all their calls."""

    def __init__(self, surroundings: Surroundings, seed: int, size: CrewSize) -> None:
        self.history = History()
        self._surroundings, self._seed = surroundings, seed
        self.locks = [f"lock{number}" for number in range(size.locks)]
        self.counters = [f"counter{number}" for number in range(size.counters)]
        self.keys = [f"group{group}.{key}" for group in range(size.groups) for key in range(size.keys_per_group)]
        groups = [f"group{number}." for number in range(size.groups)]
        self.watchers = [Watcher(self._client(f"w{n}"), groups[n % len(groups)]) for n in range(size.watchers)]
        padding = "-" * size.value_padding
        self._users: list[LockUser | NumberUser | Writer | Reader | Watcher] = [
            *(LockUser(self._client(f"l{n}"), self.locks) for n in range(size.lock_users)),
            *(NumberUser(self._client(f"n{n}"), self.counters) for n in range(size.number_users)),
            *(Writer(self._client(f"p{n}"), self.keys, padding) for n in range(size.writers)),
            *(Reader(self._client(f"r{n}"), self.keys) for n in range(size.readers)),
            *self.watchers,
        ]

    def _client(self, name: str) -> Client:
        return Client(name, self._surroundings, self.history, Random(f"{self._seed} {name}"))

    def start(self) -> None:
        """All applications begin."""
        for user in self._users:
            user.start()

    def stop(self) -> None:
        """No application begins anything new; what is under way goes on."""
        for user in self._users:
            user.stopped = True

    def close(self, deadline: int) -> None:
        """Asks for everything once more, until it is answered or the deadline has passed. Watches resume from the
        revision that each watcher was given last."""
        for name in self.locks:
            self._ask_until_clear("closing", name, BeginHold("closing", CLOSING_HOLD_US), deadline)
        for name in self.counters:
            self._ask_until_clear("closing", name, NextNumber(), deadline)
        for name in self.keys:
            self._ask_until_clear("closing", name, ReadValue(), deadline)
        for number, watcher in enumerate(self.watchers):
            request = WatchGroup(watcher.rev, CLOSING_WATCH_US)
            self._ask_until_clear(f"w{number}", watcher.group, request, deadline)

    def _ask_until_clear(self, caller: str, name: str, request: Request, deadline: int) -> None:
        """A lock that is held is asked for again; a watch from a forgotten revision is followed by one from 0."""
        client = self._client(caller)
        client.closing = True

        def answered(call: Call | None) -> None:
            if call is not None and call.has_status(409):
                client.later(CLOSING_RETRY_US, 2 * CLOSING_RETRY_US, lambda: ask(request))
            elif call is not None and call.has_status(410):
                ask(WatchGroup(0, 0))

        def ask(wanted: Request) -> None:
            client.call(name, wanted, deadline, answered)

        ask(request)
