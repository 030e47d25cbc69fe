"""Interface of a key-value store with store-wide positions."""

from __future__ import annotations

import abc

import attrs

from lovageyoke.store import positions


@attrs.frozen
class Item:
    """A key and its value.

    Attributes:
        key: The key.
        value: The value.
        position: Position of its last write, in the era in which it was read.
    """

    key: str
    value: bytes
    position: positions.Position


@attrs.frozen
class Change:
    """A write or a deletion of a key.

    Attributes:
        key: The key.
        position: Position of the change.
        value: The new value, or None if the key was deleted.
    """

    key: str
    position: positions.Position
    value: bytes | None


@attrs.frozen
class Listing:
    """The items under a prefix.

    Attributes:
        items: The items.
        position: The store's position at the first page; the items may or may
            not include later changes.
    """

    items: tuple[Item, ...]
    position: positions.Position


@attrs.frozen
class Changes:
    """The changes after a position.

    Attributes:
        events: The changes, oldest first.
        position: The position from which the next watch continues. If its era
            isn't the one that the watch began in, the changes are those of
            another history.
    """

    events: tuple[Change, ...]
    position: positions.Position


@attrs.frozen
class Lease:
    """A lease, which ends with the era in which it was granted.

    Attributes:
        lease_id: Its ID, which a later era may assign to another lease.
        era: The era.
    """

    lease_id: int
    era: int


@attrs.frozen
class Write:
    """A key to set in a commit.

    Attributes:
        key: The key.
        value: Its value.
        lease: The lease whose expiry deletes the key; None for none.
    """

    key: str
    value: bytes
    lease: Lease | None = None


class RevisionStore(abc.ABC):
    """Client of the store.

    Each method makes one call, or one call per page of results. All methods
    raise ``PlatformUnavailableError`` if the call had no effect, its subclass
    ``RateLimitedError`` if the store limits the rate, and
    ``PlatformOutcomeUnknownError`` if no response arrived.

    Attributes:
        calls: Number of calls made since the start, by name.
    """

    calls: dict[str, int]

    @property
    @abc.abstractmethod
    def era(self) -> int:
        """Highest era that the store has stated; 0 before it has."""

    @abc.abstractmethod
    async def get(self, key: str) -> tuple[Item | None, positions.Position]:
        """Returns an item, or None if absent, and the store's position."""

    @abc.abstractmethod
    async def list_items(self, prefix: str, stale: bool = False) -> Listing:
        """Returns the items under a prefix, all of the same era.

        Args:
            prefix: Prefix of the keys.
            stale: Whether the items may be seconds out of date; a stale read
                costs less.
        """

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after: positions.Position, wait_ms: float
    ) -> Changes:
        """Waits for changes under a prefix.

        Args:
            prefix: Prefix of the keys.
            after: Only changes after this position are returned.
            wait_ms: How long to wait for a change, in milliseconds.

        Raises:
            HistoryCompactedError: The store doesn't have the changes: they
                were compacted, or it was restored from an older copy.
        """

    @abc.abstractmethod
    async def commit(self, writes: list[Write]) -> positions.Position:
        """Sets keys atomically; returns the new position.

        Raises:
            LeaseExpiredError: A lease has expired, or ended with its era.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_ms: float) -> Lease:
        """Returns a new lease."""

    @abc.abstractmethod
    async def renew_lease(self, lease: Lease) -> None:
        """Renews a lease.

        Raises:
            LeaseExpiredError: The lease has expired, or ended with its era.
        """
