"""What every connection needs of the process that it belongs to; each file of `wire` adds its own to it."""

from __future__ import annotations

import logging
from typing import Protocol

from oakvale.base.limits import Limits
from oakvale.base.loop import Loop
from oakvale.memory.buffers import BufferPool


class BaseOwner(Protocol):
    @property
    def loop(self) -> Loop: ...
    @property
    def limits(self) -> Limits: ...
    @property
    def buffers(self) -> BufferPool: ...
    @property
    def log(self) -> logging.Logger: ...
