"""Repeated transmission of values whose messages may be lost."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

TRANSMISSIONS = 3


class TransmissionQueue:
    """Selects the keys whose values are sent in the next message.

    The value of a queued key is sent several times. The other values are sent
    in round-robin order, for receivers that missed all transmissions.

    Attributes:
        pending: Remaining transmissions by key.
        position: Round-robin position.
    """

    def __init__(self) -> None:
        self.pending: dict[str, int] = {}
        self.position = 0

    def queue(self, keys: Iterable[str]) -> None:
        """Queues keys whose values have changed."""
        for key in keys:
            self.pending[key] = TRANSMISSIONS

    def take(self, limit: int) -> list[str]:
        """Returns the next queued keys.

        Args:
            limit: Maximum number of keys.
        """
        taken = list(self.pending)[:limit]
        for key in taken:
            if self.pending[key] <= 1:
                del self.pending[key]
            else:
                # Requeue at the end, so that all are sent once first.
                self.pending[key] = self.pending.pop(key) - 1
        return taken

    def take_round_robin(self, keys: Sequence[str], count: int) -> list[str]:
        """Returns the next keys in round-robin order.

        Args:
            keys: All keys.
            count: Maximum number of keys to return.
        """
        if not keys:
            return []
        start = self.position % len(keys)
        self.position = start + count
        return list(keys[start : start + count])
