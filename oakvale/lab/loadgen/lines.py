"""One connection to the target, on asyncio; what is said on it is `h11`'s."""

from __future__ import annotations

import asyncio
from typing import Any

import h11

FAULTS = (ConnectionError, OSError, h11.RemoteProtocolError)


class Cut(ConnectionError):
    """The peer ended the connection before the answer's end."""


class Line(asyncio.Protocol):
    """Carries one request at a time; `usable` while another may follow."""

    def __init__(self) -> None:
        self._said = h11.Connection(h11.CLIENT)
        self._transport: Any = None
        self._waiting: asyncio.Future[tuple[int, int]] | None = None
        self._status = self._size = 0
        self.usable = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def ask(
        self, method: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> asyncio.Future[tuple[int, int]]:
        """Sends a request; the future's result is status and bytes of the body."""
        self._waiting = asyncio.get_running_loop().create_future()
        self._status = self._size = 0
        text = self._said.send(h11.Request(method=method, target=path, headers=headers)) or b""
        if body:
            text += self._said.send(h11.Data(data=body)) or b""
        self._transport.write(text + (self._said.send(h11.EndOfMessage()) or b""))
        return self._waiting

    def data_received(self, data: bytes) -> None:
        self._said.receive_data(data)
        self._read()

    def eof_received(self) -> None:
        self._said.receive_data(b"")
        self._read()

    def connection_lost(self, error: Exception | None) -> None:
        self._fail(error or Cut("closed before the answer's end"))

    def close(self) -> None:
        self.usable = False
        if self._transport is not None:
            self._transport.abort()

    def _read(self) -> None:
        try:
            while True:
                event = self._said.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                elif isinstance(event, h11.Data):
                    self._size += len(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self._finish()
                elif isinstance(event, h11.ConnectionClosed):
                    self._fail(Cut("closed before the answer's end"))
                    return
        except h11.RemoteProtocolError as error:
            self._fail(error)

    def _finish(self) -> None:
        if self._said.our_state is h11.DONE and self._said.their_state is h11.DONE:
            self._said.start_next_cycle()
        else:
            self.usable = False
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result((self._status, self._size))

    def _fail(self, error: Exception) -> None:
        self.usable = False
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(error)
