"""Applications that write, read and watch keys."""

from __future__ import annotations

from oakvale.lab.applications.client import MS, SECOND, Client
from oakvale.lab.history.calls import Call, PutValue, ReadValue, WatchGroup

PUT_PATIENCE_US = 5 * SECOND  # a put without a clear answer is sent again for so long
READ_PATIENCE_US = 3 * SECOND
WATCH_WAIT_US = 2 * SECOND
WATCH_PATIENCE_US = 6 * SECOND
WATCH_PAUSES_US = (1 * MS, 1 * MS, 1 * MS, 1 * MS, 4 * SECOND, 10 * SECOND)


class Writer:
    """Reads a key and writes it, most often over the revision that was read."""

    def __init__(self, client: Client, keys: list[str], padding: str = "") -> None:
        """`padding` ends each value."""
        self._client, self._keys, self._padding = client, keys, padding
        self._known: dict[str, int] = {}  # revisions last seen
        self._values_written = 0
        self.stopped = False

    def start(self) -> None:
        """Writes the next key after a while."""
        self._client.later(20 * MS, 300 * MS, self._next)

    def _next(self) -> None:
        if self.stopped:
            return
        name = self._client.rng.choice(self._keys)
        if self._client.rng.random() < 0.3 and name in self._known:
            return self._put(name)
        give_up_at = self._client.surroundings.now + READ_PATIENCE_US
        self._client.call(name, ReadValue(), give_up_at, lambda call: self._read(name, call))

    def _read(self, name: str, call: Call | None) -> None:
        if call is None or call.result is None:
            return self.start()
        self._known[name] = call.result.rev
        self._put(name)

    def _put(self, name: str) -> None:
        self._values_written += 1
        value = f"{self._client.name}-{self._values_written}{self._padding}"

        def answered(call: Call | None) -> None:
            if call is not None and call.result is not None and call.result.status in (200, 412):
                self._known[name] = call.result.rev
            self.start()

        request = PutValue(value, self._known[name])
        give_up_at = self._client.surroundings.now + PUT_PATIENCE_US
        self._client.call(name, request, give_up_at, answered, accepts_refusal=self._client.rng.random() < 0.5)


class Reader:
    """Reads one key after another."""

    def __init__(self, client: Client, keys: list[str]) -> None:
        self._client, self._keys = client, keys
        self.stopped = False

    def start(self) -> None:
        """Reads the next key after a while."""
        self._client.later(10 * MS, 150 * MS, self._read)

    def _read(self) -> None:
        if not self.stopped:
            name = self._client.rng.choice(self._keys)
            give_up_at = self._client.surroundings.now + READ_PATIENCE_US
            self._client.call(name, ReadValue(), give_up_at, lambda _: self.start())


class Watcher:
    """Watches one group and resumes from the revision that it was given last."""

    def __init__(self, client: Client, group: str) -> None:
        self._client, self.group = client, group
        self.rev = 0
        self.stopped = False

    def start(self) -> None:
        """Sends the next watch; sometimes only after a pause."""
        pause = self._client.rng.choice(WATCH_PAUSES_US)
        self._client.later(pause, 2 * pause, self._watch)

    def _watch(self) -> None:
        if not self.stopped:
            request = WatchGroup(self.rev, WATCH_WAIT_US if self.rev else 0)
            self._client.call(self.group, request, self._client.surroundings.now + WATCH_PATIENCE_US, self._shown)

    def _shown(self, call: Call | None) -> None:
        if call is not None and call.result is not None:
            self.rev = call.result.rev  # 0 after a 410: begins anew
        self.start()
