"""What every connection needs of its owner; the modules of `wire` extend it with what they need."""

from __future__ import annotations

import logging
from typing import Protocol

from oakvale.base.limits import Limits
from oakvale.base.loop import Loop
from oakvale.memory.buffers import BufferPool


class BaseOwner(Protocol):
    """The resources of a process that all of its connections use."""

    @property
    def loop(self) -> Loop: ...
    @property
    def limits(self) -> Limits: ...
    @property
    def buffers(self) -> BufferPool: ...
    @property
    def log(self) -> logging.Logger: ...
