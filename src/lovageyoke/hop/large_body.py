"""A large request body in blocks of equal size."""

from __future__ import annotations

from collections.abc import Iterator

BLOCK_BYTES = 65_536


class LargeBody:
    """A body that grows without being moved.

    Many arrays that grow at the same time fragment the heap, so that the
    process needs twice the memory of their contents. Free blocks of equal size
    are used again.

    Attributes:
        blocks: The blocks; all but the last are full.
        size: Number of bytes in them.
    """

    def __init__(self) -> None:
        self.blocks: list[bytearray] = []
        self.size = 0

    def __len__(self) -> int:
        """Returns the number of bytes."""
        return self.size

    def __bytes__(self) -> bytes:
        """Returns a copy of all bytes."""
        return b"".join(self.pieces())

    def append(self, data: bytes | bytearray) -> None:
        """Adds bytes at the end."""
        view = memoryview(data)
        while view:
            start = self.size % BLOCK_BYTES
            if not start:
                self.blocks.append(bytearray(BLOCK_BYTES))
            piece = view[: BLOCK_BYTES - start]
            self.blocks[-1][start : start + len(piece)] = piece
            self.size += len(piece)
            view = view[len(piece) :]

    def pieces(self) -> Iterator[memoryview]:
        """Returns the contents of the blocks."""
        left = self.size
        for block in self.blocks:
            yield memoryview(block)[:left]
            left -= BLOCK_BYTES

    def held_bytes(self) -> int:
        """Returns the number of bytes that the blocks take."""
        return len(self.blocks) * BLOCK_BYTES
