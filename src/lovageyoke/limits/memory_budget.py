"""One budget for the bytes that a process holds for its connections.

Counted are requests, responses and connections, parsed or not, with their
write buffers. When the budget is short, those give up what they hold from
which most can be freed.
"""

from __future__ import annotations

import abc
from collections.abc import Callable
import sys

# Memory outside the budget: the interpreter, the modules, and what the process
# knows of a fleet of some hundred members.
RESERVED_BYTES = 48_000_000
# The budget is at least this share of the memory.
MIN_LIMIT_SHARE = 0.25
DEFAULT_MEMORY_BYTES = 256_000_000  # If the settings state none.
# Above this share, large holders give up what they hold; the rest of the
# budget is kept for ordinary requests.
LARGE_SHARE = 0.8
# Holders above this are large.
LARGE_BYTES = 65_536


class Holder(abc.ABC):
    """Holds bytes that are counted in a budget.

    Attributes:
        charged_bytes: Bytes that are counted for it.
    """

    charged_bytes: int = 0

    @abc.abstractmethod
    def reclaimable_bytes(self) -> int:
        """Returns how many bytes ``give_up`` would free."""

    @abc.abstractmethod
    def give_up(self) -> str:
        """Frees bytes by ending a request or a connection.

        Returns:
            What was done, for the log and the metrics.
        """


OnRelief = Callable[[str, int], None]


class MemoryBudget:
    """Counts the bytes of all holders and keeps them below a limit.

    Attributes:
        limit_bytes: The limit.
        used_bytes: Bytes held now.
        peak_bytes: Most bytes held since the start.
        holders: All holders that can give up bytes.
        large: Those of them that hold more than ``LARGE_BYTES``.
        relieved: Number of times that a holder gave up, by what was done.
        relieving: Whether holders are giving up now.
        on_relief: Called with what was done and the number of bytes freed.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.peak_bytes = 0
        self.holders: set[Holder] = set()
        self.large: set[Holder] = set()
        self.relieved: dict[str, int] = {}
        self.relieving = False
        self.on_relief: OnRelief | None = None

    @property
    def large_limit_bytes(self) -> int:
        """Bytes in use above which large holders give up."""
        return int(self.limit_bytes * LARGE_SHARE)

    def is_short(self) -> bool:
        """Returns whether large holders have to give up."""
        return self.used_bytes > self.large_limit_bytes

    def add(self, holder: Holder, size: int) -> None:
        """Adds a holder."""
        self.holders.add(holder)
        self.charge(holder, size)

    def remove(self, holder: Holder) -> None:
        """Removes a holder that holds nothing any more."""
        self.holders.discard(holder)
        self.large.discard(holder)
        self.used_bytes -= holder.charged_bytes
        holder.charged_bytes = 0

    def charge(self, holder: Holder, size: int) -> None:
        """Sets the number of bytes that a holder has.

        If the budget is short after that, holders give up, which may include
        this one.
        """
        delta = size - holder.charged_bytes
        holder.charged_bytes = size
        if size > LARGE_BYTES:
            self.large.add(holder)
        elif self.large:
            self.large.discard(holder)
        if delta:
            self.take(delta)

    def take(self, delta: int) -> None:
        """Counts bytes of something that can't give them up.

        Args:
            delta: Bytes that are held in addition; negative if fewer.
        """
        self.used_bytes += delta
        if delta > 0:
            self.peak_bytes = max(self.peak_bytes, self.used_bytes)
            if self.is_short() and not self.relieving:
                self.relieve()

    def relieve(self) -> None:
        """Lets holders give up bytes until the budget isn't short."""
        self.relieving = True
        try:
            self.relieve_from(self.large, self.large_limit_bytes, LARGE_BYTES)
            if self.used_bytes > self.limit_bytes:
                self.relieve_from(self.holders, self.limit_bytes, 1)
        finally:
            self.relieving = False

    def relieve_from(
        self, holders: set[Holder], limit_bytes: int, least_bytes: int
    ) -> None:
        """Lets those give up first of which most bytes can be freed.

        Args:
            holders: The holders to choose from.
            limit_bytes: Ends when no more than this is in use.
            least_bytes: Less than this is left to its holder.
        """
        sizes = [(each.reclaimable_bytes(), each) for each in holders]
        sizes = [each for each in sizes if each[0] >= least_bytes]
        sizes.sort(key=lambda each: each[0], reverse=True)
        for size, holder in sizes:
            if self.used_bytes <= limit_bytes:
                return
            done = holder.give_up()
            self.relieved[done] = self.relieved.get(done, 0) + 1
            if self.on_relief is not None:
                self.on_relief(done, size)


def for_process(memory_bytes: int) -> MemoryBudget:
    """Returns the budget of a process.

    Args:
        memory_bytes: Memory that the process may use, 0 if unknown.
    """
    memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
    return MemoryBudget(
        max(int(memory_bytes * MIN_LIMIT_SHARE), memory_bytes - RESERVED_BYTES)
    )


def unlimited() -> MemoryBudget:
    """Returns a budget that only counts."""
    return MemoryBudget(sys.maxsize)
