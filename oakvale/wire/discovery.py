"""The client of the discovery service: a watch that is kept open, one JSON object per line, and fetches of the full
list.
"""

from __future__ import annotations

from typing import Any, Protocol

import h11
import orjson

from oakvale import interface as i
from oakvale.base.address import Address, format_address
from oakvale.base.loop import Coroutine, Priority, Step, Task
from oakvale.base.net import Sock
from oakvale.memory.backend_names import BackendNames
from oakvale.numbers import parse_integer
from oakvale.wire.http import END_OF_MESSAGE, read_more
from oakvale.wire.owner import BaseOwner
from oakvale.wire.tcp import ConnectionLost, connect, new_socket, write_all

MEMBERS_PATH = b"/catalog/members"


class InvalidBackendList(Exception):
    """The answer of the discovery service is not a valid list of backends."""


class Owner(BaseOwner, Protocol):
    """What the discovery client needs of its gateway."""

    @property
    def settings(self) -> i.Settings: ...
    @property
    def backend_names(self) -> BackendNames: ...
    @property
    def ended(self) -> bool: ...

    def backends_changed(self, form: i.ListForm, entries: tuple[i.Entry, ...], outdated: list[int]) -> None:
        """Handles a list or its changes; idle connections to the backends in `outdated` must be closed."""


class Discovery:
    """Follows the list of backends of one discovery server, whose address may change."""

    def __init__(self, host: Owner, address: Address) -> None:
        self.host, self.address = host, address
        self.index = 0
        self.wanted = self.watching = self.fetching = False
        self.lost = False  # whether the loss is logged, which happens once until the server responds again
        # counts address changes: replies of a former server neither set the version nor count as failures
        self.address_epoch = 0
        self._watch_answered = False  # whether the watch of the current address has sent a list
        self._watch_task: Task | None = None
        self._previous_watch_task: Task | None = None  # kept until the current watch has sent a list

    def set_address(self, address: Address) -> None:
        """Follows another server from now on. The known list and the current watch are kept until the new server has
        sent a list. Since versions of two servers are not comparable, the new one is watched from the first version."""
        if address == self.address:
            return
        if self._watch_answered:
            self._end_task(self._previous_watch_task)
            self._previous_watch_task = self._watch_task
        else:
            self._end_task(self._watch_task)
        self.address, self.index, self.address_epoch = address, 0, self.address_epoch + 1
        self.lost = self.watching = self._watch_answered = False
        self._watch_task = None
        self._open(None)

    def _end_task(self, task: Task | None) -> None:
        if task is not None:
            self.host.loop.end(task)

    def apply(self, data: dict[str, Any], cached: bool = False, address_epoch: int = 0, fetched: bool = False) -> None:
        """Applies a list or its changes, and reports them; raises InvalidBackendList, with nothing applied."""
        try:
            index, complete = parse_integer(str(data["index"])), bool(data["snapshot"])
            if fetched and self._watch_answered and index < self.index:
                return  # older than what the watch has sent
            entries, outdated = self.host.backend_names.update(data["endpoints"], complete or cached)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise InvalidBackendList(f"malformed backend list: {error!r}") from error
        if address_epoch == self.address_epoch:
            self.index = index
        form = i.ListForm.CACHED if cached else i.ListForm.FULL if complete else i.ListForm.DELTA
        if entries or form is not i.ListForm.DELTA:
            self.host.backends_changed(form, entries, outdated)
        if address_epoch == self.address_epoch and not cached and not fetched and not self._watch_answered:
            self._watch_answered = True
            self._end_task(self._previous_watch_task)
            self._previous_watch_task = None
            if address_epoch and not complete:  # changes do not remove backends that only the former server listed
                self.fetch()

    def watch(self, on: bool) -> None:
        """Starts a watch, or stops reopening it."""
        self.wanted = on
        if on and not self.watching:
            self._open(None)

    def fetch(self) -> None:
        """Fetches the full list; does nothing if a fetch is already running."""
        if not self.fetching:
            self.fetching = True
            self._start(follow=False)

    def _open(self, _: None) -> None:
        if self.wanted and not self.watching:
            self.watching = True
            self._start(follow=True)

    def _start(self, follow: bool) -> None:
        """Starts a watch (`follow`) or a fetch."""
        try:
            sock = new_socket(self.host.loop.net)
        except OSError as error:
            self.host.log.warning("no socket for discovery", extra={"why": str(error)})
            return self._failed(follow)
        task = self.host.loop.start(self._run(sock, follow, self.address_epoch), sock.fileno(), Priority.DISCOVERY)
        if follow and task.alive:
            self._watch_task = task

    def _failed(self, follow: bool) -> None:
        """Handles a lost watch or a failed fetch. The known list is kept; a watch is reopened after a pause."""
        if follow:
            self.watching, self._watch_task = False, None
            if self.wanted:
                self.host.loop.at(self.host.loop.now + self.host.limits.discovery_retry, self._open)
        if self.host.settings.on_request or not follow:
            self.host.backends_changed(i.ListForm.FAILED, (), [])

    def _run(self, sock: Sock, follow: bool, address_epoch: int) -> Coroutine:
        fetched = False
        try:
            fetched = yield from self._receive(sock, follow, address_epoch)
        except (ConnectionLost, InvalidBackendList, OSError, h11.ProtocolError) as error:
            if address_epoch != self.address_epoch:
                return
            if not self.lost:
                self.host.log.warning("discovery lost", extra={"why": str(error) or "timed out or connection closed"})
            self.lost = True
        finally:
            sock.close()
            if not follow:
                self.fetching = False
            if address_epoch != self.address_epoch:  # a former server: the end of its connection is no failure
                if not follow and not fetched and not self.host.ended:
                    self.fetch()
            elif not self.host.ended and not fetched:
                self._failed(follow)

    def _receive(self, sock: Sock, follow: bool, address_epoch: int) -> Step[bool]:
        """Sends the request and applies the lists received; True once a fetch is complete."""
        host = self.host
        limits, loop = host.limits, host.loop
        if not (yield from connect(sock, self.address, loop.now + limits.discovery_silence)):
            raise OSError("cannot connect")
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.header)
        target = MEMBERS_PATH + (b"?follow=1&since=%d" % self.index if follow else b"")
        authority = format_address(self.address).encode()
        data = http.send(h11.Request(method=b"GET", target=target, headers=[(b"host", authority)])) or b""
        data += http.send(END_OF_MESSAGE) or b""
        yield from write_all(sock, data, loop.now + limits.discovery_silence)
        partial_line = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                yield from read_more(sock, http, host.buffers, loop.now + limits.discovery_silence)
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise InvalidBackendList(f"unexpected status {event.status_code}")
            elif isinstance(event, h11.Data):
                *lines, partial_line = (partial_line + bytes(event.data)).split(b"\n")
                if len(partial_line) > limits.line:
                    raise InvalidBackendList("line exceeds the size limit")
                for line in lines:
                    self._apply_line(line, follow, address_epoch)
            elif isinstance(event, h11.EndOfMessage):
                if partial_line:
                    self._apply_line(partial_line, follow, address_epoch)
                if follow:  # a watch lasts until its connection ends
                    raise ConnectionLost()
                return True
            else:
                raise ConnectionLost()

    def _apply_line(self, line: bytes, follow: bool, address_epoch: int) -> None:
        if line.strip():
            try:
                data = orjson.loads(line)
            except orjson.JSONDecodeError as error:
                raise InvalidBackendList(f"not JSON: {error}") from error
            if not isinstance(data, dict):
                raise InvalidBackendList("not a JSON object")
            self.apply(data, address_epoch=address_epoch, fetched=not follow)
        if self.lost and address_epoch == self.address_epoch:
            self.lost = False
            self.host.log.info("discovery back")
