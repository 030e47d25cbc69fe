"""Buffers recent changes of store entries for the next heartbeats."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from lovageyoke.fleet import messages
from lovageyoke.store import positions

RETENTION_MS = 2_000.0  # Exceeds the time in which a collector is replaced.
MAX_CHANGES = 200
# Per heartbeat; the receiver requests the rest. Fresh changes have more room,
# as each receiver would request a snapshot of all entries for them.
MAX_CHANGES_BYTES = 2_000
MAX_FRESH_BYTES = 12_000
FRESH_MS = 300.0  # Several heartbeats, to tolerate lost datagrams.
OVERHEAD_BYTES = 16  # Encoding overhead of a change besides key and value.


class RecentChanges:
    """Recent changes with the times at which they were received.

    Attributes:
        buffer: The changes, oldest first.
        since: All changes after this position are buffered.
    """

    def __init__(self) -> None:
        self.buffer: collections.deque[tuple[float, messages.EntryChange]] = (
            collections.deque()
        )
        self.since = positions.START

    def add(self, change: messages.EntryChange, now_ms: float) -> None:
        """Appends a change."""
        self.buffer.append((now_ms, change))

    def reset(self, position: positions.Position) -> None:
        """Clears the buffer after a full read at a position."""
        self.buffer.clear()
        self.since = position

    def for_heartbeat(
        self,
        position: positions.Position,
        now_ms: float,
        max_bytes: float = MAX_FRESH_BYTES,
    ) -> tuple[positions.Position, tuple[messages.EntryChange, ...]]:
        """Returns the changes to include in the next heartbeat.

        Args:
            position: The position up to which all changes are known.
            now_ms: The time.
            max_bytes: Size of the changes to include.

        Returns:
            The position after which all changes are included, and these
            changes.
        """
        while self.buffer and now_ms - self.buffer[0][0] > RETENTION_MS:
            self.drop_oldest()
        while len(self.buffer) > MAX_CHANGES:
            self.drop_oldest()
        chosen: list[messages.EntryChange] = []
        since = position
        size = 0
        for received_ms, change in reversed(self.buffer):
            size += size_of((change,))
            fresh = now_ms - received_ms <= FRESH_MS
            limit = MAX_FRESH_BYTES if fresh else MAX_CHANGES_BYTES
            if size > min(max_bytes, limit):
                # Several changes may have one position.
                return max(since, change.position), tuple(chosen)
            chosen.insert(0, change)
            since = change.position.previous()
        return self.since, tuple(chosen)

    def drop_oldest(self) -> None:
        """Drops the oldest buffered change."""
        _, change = self.buffer.popleft()
        self.since = change.position


def size_of(changes: Iterable[messages.EntryChange]) -> int:
    """Returns about how many bytes changes take in a message."""
    return sum(
        len(each.key) + len(each.value or b"") + OVERHEAD_BYTES
        for each in changes
    )
