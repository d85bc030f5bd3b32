"""A pool of buffers of one size, and the room that bodies share."""

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


class Room:
    """Bytes that bodies may hold together: as many as there are connections would not fit."""

    def __init__(self, most: int) -> None:
        self.most, self.taken = most, 0


class Share:
    """What one connection holds of it."""

    def __init__(self, room: Room) -> None:
        self._room, self._size = room, 0

    def grow(self, size: int) -> bool:
        """Holds so much from now on, if that is more; False, and nothing is held, where it does not fit."""
        if size > self._size and self._room.taken + size - self._size > self._room.most:
            return False
        self.hold(max(size, self._size))
        return True

    def hold(self, size: int) -> None:
        """Holds so much, fit or not."""
        self._room.taken += size - self._size
        self._size = size
