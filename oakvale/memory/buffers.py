"""A pool of read buffers of one size, and the limit on the memory that all bodies may use together."""

from __future__ import annotations


class BufferPool:
    """Buffers of `size` bytes; up to `max_free` released ones are kept for reuse."""

    def __init__(self, size: int, max_free: int) -> None:
        self.size, self.max_free = size, max_free
        self._free: list[memoryview] = []
        self.in_use = 0

    def acquire(self) -> memoryview:
        self.in_use += 1
        return self._free.pop() if self._free else memoryview(bytearray(self.size))

    def release(self, buffer: memoryview) -> None:
        self.in_use -= 1
        if len(self._free) < self.max_free:
            self._free.append(buffer)


class BodyMemory:
    """Bytes used by the bodies of all connections. The limit is lower than one maximal body per connection."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.used_bytes = max_bytes, 0


class BodyMemoryShare:
    """The part of the body memory that one connection has reserved."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory, self._size = memory, 0

    def grow(self, size: int) -> bool:
        """Reserves at least `size` bytes in total; returns False, with nothing changed, where the limit is exceeded."""
        if size > self._size and self._memory.used_bytes + size - self._size > self._memory.max_bytes:
            return False
        self.hold(max(size, self._size))
        return True

    def hold(self, size: int) -> None:
        """Sets the reservation to `size` bytes without checking the limit; 0 releases it."""
        self._memory.used_bytes += size - self._size
        self._size = size
