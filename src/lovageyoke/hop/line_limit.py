"""Bounds the parts of a message that a parser collects before it reports them.

The parser reports a header line, a chunk size or a trailer line only once it
is complete. A peer that never completes one would fill the memory.
"""

from __future__ import annotations


class LineLimit:
    """Counts the bytes received since the parser last reported progress.

    Attributes:
        pending_bytes: Bytes received since then.
        progressed: Whether the parser reported any since the last bytes.
    """

    def __init__(self) -> None:
        self.pending_bytes = 0
        self.progressed = False

    def record_progress(self) -> None:
        """Records that the parser has reported a complete part."""
        self.progressed = True

    def record_bytes(self, size: int) -> int:
        """Records bytes that the parser has read.

        Returns:
            The number of bytes in incomplete parts, at most. The rest of
            bytes that completed a part doesn't count, as it is bounded by the
            size of one read.
        """
        self.pending_bytes = 0 if self.progressed else self.pending_bytes + size
        self.progressed = False
        return self.pending_bytes
