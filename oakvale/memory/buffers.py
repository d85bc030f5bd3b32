"""A pool of buffers of one size."""

from __future__ import annotations


class BufferPool:
    def __init__(self, size: int, kept: int) -> None:
        self.size, self.kept = size, kept
        self._free: list[memoryview] = []
        self.taken = 0

    def take(self) -> memoryview:
        self.taken += 1
        return self._free.pop() if self._free else memoryview(bytearray(self.size))

    def give(self, buffer: memoryview) -> None:
        self.taken -= 1
        if len(self._free) < self.kept:
            self._free.append(buffer)
