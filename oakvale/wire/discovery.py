"""Discovery: a watch that is kept open, its chunked lines, and the whole list asked for once."""

from __future__ import annotations

from typing import Any, Protocol

import h11
import orjson

from oakvale import interface as i
from oakvale.base.address import Address, spelled
from oakvale.base.loop import Coroutine, Rank, Step, Task
from oakvale.base.net import Sock
from oakvale.memory.backend_names import BackendNames
from oakvale.numbers import parse_integer
from oakvale.wire.http import END_OF_MESSAGE, read_more
from oakvale.wire.owner import BaseOwner
from oakvale.wire.tcp import ConnectionLost, connect, new_socket, write_all

PATH = b"/catalog/members"


class InvalidBackendList(Exception):
    """What discovery sent is not a list of backends."""


class Owner(BaseOwner, Protocol):
    """What discovery needs of the gateway that follows it."""

    @property
    def settings(self) -> i.Settings: ...
    @property
    def backend_names(self) -> BackendNames: ...
    @property
    def ended(self) -> bool: ...

    def backends_changed(self, form: i.ListForm, entries: tuple[i.Entry, ...], freed: list[int]) -> None:
        """A list or what changed in it; connections to the backends in `freed` are of no use."""


class Discovery:
    def __init__(self, host: Owner, address: Address) -> None:
        self.host, self.address = host, address
        self.index = 0
        self.wanted = self.watching = self.fetching = False
        self.lost = False  # said in the log once, however many tries follow
        self.address_epoch = 0  # of the address: what is left over from another neither tells its version nor fails
        self._watch_answered = False  # the watch of this era has told something
        self._watch_task: Task | None = None  # the watch of this era, and the one before while this has not spoken
        self._previous_watch_task: Task | None = None

    def set_address(self, address: Address) -> None:
        """Follows another server from now on. The list in hand stays, and the watch in hand goes on, until
        the new one has spoken. Its versions are another's: it is asked from the first on."""
        if address == self.address:
            return
        if self._watch_answered:
            self._end(self._previous_watch_task)
            self._previous_watch_task = self._watch_task
        else:
            self._end(self._watch_task)
        self.address, self.index, self.address_epoch = address, 0, self.address_epoch + 1
        self.lost = self.watching = self._watch_answered = False
        self._watch_task = None
        self._open(None)

    def _end(self, task: Task | None) -> None:
        if task is not None:
            self.host.loop.end(task)

    def apply(self, data: dict[str, Any], cached: bool = False, address_epoch: int = 0, fetched: bool = False) -> None:
        """Gives the module a list or what changed. Nothing of a malformed one is taken."""
        try:
            index, whole = parse_integer(str(data["index"])), bool(data["snapshot"])
            if fetched and self._watch_answered and index < self.index:
                return  # overtaken by the watch
            entries, freed = self.host.backend_names.update(data["endpoints"], whole or cached)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise InvalidBackendList(f"malformed list: {error!r}") from error
        if address_epoch == self.address_epoch:
            self.index = index
        form = i.ListForm.CACHED if cached else i.ListForm.FULL if whole else i.ListForm.DELTA
        if entries or form is not i.ListForm.DELTA:
            self.host.backends_changed(form, entries, freed)
        if address_epoch == self.address_epoch and not cached and not fetched and not self._watch_answered:
            self._watch_answered = True
            self._end(self._previous_watch_task)
            self._previous_watch_task = None
            if address_epoch and not whole:  # changes from the first on: what the former server knew alone would stay
                self.fetch()

    def watch(self, on: bool) -> None:
        self.wanted = on
        if on and not self.watching:
            self._open(None)

    def fetch(self) -> None:
        """Asks for the whole list once; one asked for meanwhile is answered by the same."""
        if not self.fetching:
            self.fetching = True
            self._start(follow=False)

    def _open(self, _: None) -> None:
        if self.wanted and not self.watching:
            self.watching = True
            self._start(follow=True)

    def _start(self, follow: bool) -> None:
        try:
            sock = new_socket(self.host.loop.net)
        except OSError as error:
            self.host.log.warning("no socket for discovery", extra={"why": str(error)})
            return self._ended(follow)
        task = self.host.loop.start(self._run(sock, follow, self.address_epoch), sock.fileno(), Rank.DISCOVERY)
        if follow and task.alive:
            self._watch_task = task

    def _ended(self, follow: bool) -> None:
        """The list in hand stays; a watch is made anew after a pause."""
        if follow:
            self.watching, self._watch_task = False, None
            if self.wanted:
                self.host.loop.at(self.host.loop.now + self.host.limits.discovery_retry, self._open)
        if self.host.settings.on_request or not follow:
            self.host.backends_changed(i.ListForm.FAILED, (), [])

    def _run(self, sock: Sock, follow: bool, address_epoch: int) -> Coroutine:
        fetched = False
        try:
            fetched = yield from self._talk(sock, follow, address_epoch)
        except (ConnectionLost, InvalidBackendList, OSError, h11.ProtocolError) as error:
            if address_epoch != self.address_epoch:
                return
            if not self.lost:
                self.host.log.warning("discovery lost", extra={"why": str(error) or "silent or ended"})
            self.lost = True
        finally:
            sock.close()
            if not follow:
                self.fetching = False
            if address_epoch != self.address_epoch:  # of a server that was left: its end is no failure
                if not follow and not fetched and not self.host.ended:
                    self.fetch()
            elif not self.host.ended and not fetched:
                self._ended(follow)

    def _talk(self, sock: Sock, follow: bool, address_epoch: int) -> Step[bool]:
        host = self.host
        limits, loop = host.limits, host.loop
        if not (yield from connect(sock, self.address, loop.now + limits.discovery_silence)):
            raise OSError("cannot connect")
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.header)
        target = PATH + (b"?follow=1&since=%d" % self.index if follow else b"")
        authority = spelled(self.address).encode()
        data = http.send(h11.Request(method=b"GET", target=target, headers=[(b"host", authority)])) or b""
        data += http.send(END_OF_MESSAGE) or b""
        yield from write_all(sock, data, loop.now + limits.discovery_silence)
        rest = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                yield from read_more(sock, http, host.buffers, loop.now + limits.discovery_silence)
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise InvalidBackendList(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                *lines, rest = (rest + bytes(event.data)).split(b"\n")
                if len(rest) > limits.line:
                    raise InvalidBackendList("line too long")
                for line in lines:
                    self._line(line, follow, address_epoch)
            elif isinstance(event, h11.EndOfMessage):
                if rest:
                    self._line(rest, follow, address_epoch)
                if follow:  # a watch lasts until its connection ends
                    raise ConnectionLost()
                return True
            else:
                raise ConnectionLost()

    def _line(self, line: bytes, follow: bool, address_epoch: int) -> None:
        if line.strip():
            try:
                data = orjson.loads(line)
            except orjson.JSONDecodeError as error:
                raise InvalidBackendList(f"not JSON: {error}") from error
            if not isinstance(data, dict):
                raise InvalidBackendList("not an object")
            self.apply(data, address_epoch=address_epoch, fetched=not follow)
        if self.lost and address_epoch == self.address_epoch:
            self.lost = False
            self.host.log.info("discovery back")
