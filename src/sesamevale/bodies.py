"""Bodies that grow while they are read, and are freed at a known time."""

from __future__ import annotations

import mmap

__all__ = ["BodyBuffer", "SEGMENT_BYTES"]

# A body up to this size is held in one piece.
SMALL_BYTES = 64 * 1024
# Longer bodies continue in private mappings, which return to the system when
# they are freed, whatever else the allocator holds.
SEGMENT_BYTES = 256 * 1024


class BodyBuffer:
    """A body that is appended to, read in parts, and released.

    Args:
        data: First bytes of the body.
    """

    __slots__ = ("_first", "_is_released", "_length", "_segments", "_used")

    def __init__(self, data: bytes = b"") -> None:
        self._first = bytearray(data)
        self._segments: list[mmap.mmap] = []
        self._used = SEGMENT_BYTES
        self._length = len(data)
        self._is_released = False

    def __len__(self) -> int:
        return self._length

    @property
    def is_long(self) -> bool:
        """Whether it is held in more than one piece."""
        return bool(self._segments)

    @property
    def is_released(self) -> bool:
        """Whether the memory was given back."""
        return self._is_released

    def append(self, data: bytes | bytearray) -> None:
        """Adds bytes at the end."""
        if self._is_released:
            return
        self._length += len(data)
        if self._length <= SMALL_BYTES:
            self._first += data
            return
        rest = memoryview(data)
        while rest:
            if self._used == SEGMENT_BYTES:
                flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
                self._segments.append(mmap.mmap(-1, SEGMENT_BYTES, flags=flags))
                self._used = 0
            part = rest[: SEGMENT_BYTES - self._used]
            end = self._used + len(part)
            self._segments[-1][self._used : end] = part
            self._used = end
            rest = rest[len(part) :]

    def parts(self) -> list[memoryview]:
        """Returns the bytes in order; empty once they are released."""
        found = [memoryview(self._first)] if self._first else []
        found += [memoryview(each) for each in self._segments]
        if self._segments:
            found[-1] = found[-1][: self._used]
        return found

    def to_bytes(self) -> bytes:
        """Returns a copy in one piece."""
        if not self._segments:
            return bytes(self._first)
        return b"".join(self.parts())

    def edges(self, size: int) -> bytes:
        """Returns the first and the last bytes, or all of a shorter body.

        Args:
            size: Number of bytes of each edge.
        """
        if self._length <= 2 * size:
            return self.to_bytes()
        first, last = b"", b""
        parts = self.parts()
        for part in parts:
            first += part[: size - len(first)]
            if len(first) == size:
                break
        for part in reversed(parts):
            missing = size - len(last)
            if not missing:
                break
            last = bytes(part[-missing:]) + last
        return first + last

    def release(self) -> None:
        """Gives the memory back once nobody reads the parts any more."""
        self._is_released = True
        self._first = bytearray()
        self._segments = []
