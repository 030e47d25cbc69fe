"""Interface of a key-value store with a store-wide revision."""

from __future__ import annotations

import abc

import attrs


@attrs.frozen
class Item:
    """A key and its value.

    Attributes:
        key: The key.
        value: The value.
        revision: Store revision of its last write.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Change:
    """A write or a deletion of a key.

    Attributes:
        key: The key.
        revision: Store revision of the change.
        value: The new value, or None if the key was deleted.
    """

    key: str
    revision: int
    value: bytes | None


@attrs.frozen
class Listing:
    """The items under a prefix.

    Attributes:
        items: The items.
        revision: The store's revision at the first page; the items may or may
            not include later changes.
    """

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class Changes:
    """The changes after a revision.

    Attributes:
        events: The changes, oldest first.
        revision: The revision from which the next watch continues.
    """

    events: tuple[Change, ...]
    revision: int


@attrs.frozen
class Write:
    """A key to set in a commit.

    Attributes:
        key: The key.
        value: Its value.
        lease_id: The lease whose expiry deletes the key; 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


class RevisionStore(abc.ABC):
    """Client of the store.

    Each method makes one call, or one call per page of results. All methods
    raise ``PlatformUnavailableError`` if the call had no effect, its subclass
    ``RateLimitedError`` if the store limits the rate, and
    ``PlatformOutcomeUnknownError`` if no response arrived.

    Attributes:
        calls: Number of calls made since the start, by name.
        era: Era that the store stated last; empty if it stated none.
    """

    calls: dict[str, int]
    era: str

    @abc.abstractmethod
    async def get(self, key: str) -> tuple[Item | None, int]:
        """Returns an item, or None if absent, and the store's revision."""

    @abc.abstractmethod
    async def list_items(self, prefix: str, stale: bool = False) -> Listing:
        """Returns the items under a prefix.

        Args:
            prefix: Prefix of the keys.
            stale: Whether the items may be seconds out of date; a stale read
                costs less.
        """

    @abc.abstractmethod
    async def watch(self, prefix: str, after: int, wait_ms: float) -> Changes:
        """Waits for changes under a prefix.

        Args:
            prefix: Prefix of the keys.
            after: Only changes after this revision are returned.
            wait_ms: How long to wait for a change, in milliseconds.

        Raises:
            HistoryCompactedError: The changes have been compacted.
        """

    @abc.abstractmethod
    async def commit(self, writes: list[Write]) -> int:
        """Sets keys atomically; returns the new revision.

        Raises:
            LeaseExpiredError: A lease has expired.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_ms: float) -> int:
        """Returns a new lease."""

    @abc.abstractmethod
    async def renew_lease(self, lease_id: int) -> None:
        """Renews a lease.

        Raises:
            LeaseExpiredError: The lease has expired.
        """
