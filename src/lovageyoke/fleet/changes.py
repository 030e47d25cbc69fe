"""Buffers recent changes of store entries for the next heartbeats."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from lovageyoke.fleet import messages

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
        since: All changes after this revision are buffered.
    """

    def __init__(self) -> None:
        self.buffer: collections.deque[tuple[float, messages.EntryChange]] = (
            collections.deque()
        )
        self.since = 0

    def add(self, change: messages.EntryChange, now_ms: float) -> None:
        """Appends a change."""
        self.buffer.append((now_ms, change))

    def reset(self, revision: int) -> None:
        """Clears the buffer after a full read at a revision."""
        self.buffer.clear()
        self.since = revision

    def for_heartbeat(
        self,
        revision: int,
        now_ms: float,
        max_bytes: float = MAX_FRESH_BYTES,
    ) -> tuple[int, tuple[messages.EntryChange, ...]]:
        """Returns the changes to include in the next heartbeat.

        Args:
            revision: The revision up to which all changes are known.
            now_ms: The time.
            max_bytes: Size of the changes to include.

        Returns:
            The revision after which all changes are included, and these
            changes.
        """
        while self.buffer and now_ms - self.buffer[0][0] > RETENTION_MS:
            self.drop_oldest()
        while len(self.buffer) > MAX_CHANGES:
            self.drop_oldest()
        chosen: list[messages.EntryChange] = []
        since = revision
        size = 0
        for received_ms, change in reversed(self.buffer):
            size += size_of((change,))
            fresh = now_ms - received_ms <= FRESH_MS
            limit = MAX_FRESH_BYTES if fresh else MAX_CHANGES_BYTES
            if size > min(max_bytes, limit):
                # Several changes may have one revision.
                return max(since, change.revision), tuple(chosen)
            chosen.insert(0, change)
            since = change.revision - 1
        return self.since, tuple(chosen)

    def drop_oldest(self) -> None:
        """Drops the oldest buffered change."""
        _, change = self.buffer.popleft()
        self.since = change.revision


def size_of(changes: Iterable[messages.EntryChange]) -> int:
    """Returns about how many bytes changes take in a message."""
    return sum(
        len(each.key) + len(each.value or b"") + OVERHEAD_BYTES
        for each in changes
    )
