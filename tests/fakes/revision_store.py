"""In-memory revision store with fault injection."""

from __future__ import annotations

import attrs

from fakes import positions
from lovageyoke.errors import exceptions
from lovageyoke.store import positions as store_positions
from lovageyoke.store import revisions


@attrs.frozen
class Copy:
    """State of a store at a revision."""

    items: dict[str, revisions.Item]
    changes: list[revisions.Change]
    revision: int


class RevisionStore(revisions.RevisionStore):
    """Stores items and their changes; a watch returns immediately.

    It can be restored from a copy of an earlier state.

    Attributes:
        error: Raised by every call if set.
        compacted_revision: Changes up to this revision have been compacted.
        call_names: Names of the calls, in order.
        leases: How often each lease was renewed.
        era: The current era; it rises with each return from a copy.
    """

    era = positions.ERA

    def __init__(self) -> None:
        self.items: dict[str, revisions.Item] = {}
        self.changes: list[revisions.Change] = []
        self.revision = 1
        self.error: exceptions.PlatformError | None = None
        self.compacted_revision = 0
        self.call_names: list[str] = []
        self.calls: dict[str, int] = {}
        self.leases: dict[int, int] = {}

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.items[key] = revisions.Item(key, value, self.position)
        self.changes.append(revisions.Change(key, self.position, value))

    def remove(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self.changes.append(revisions.Change(key, self.position, None))

    @property
    def position(self) -> store_positions.Position:
        return positions.at(self.revision, self.era)

    def copy(self) -> Copy:
        """Returns a copy of the state, without the leases."""
        return Copy(dict(self.items), list(self.changes), self.revision)

    def restore(self, copy: Copy) -> None:
        """Returns to a copy in a new era; its leases are gone."""
        self.era += 1
        self.revision = copy.revision
        self.leases = {}
        self.items = {
            key: attrs.evolve(each, position=self.in_era(each.position))
            for key, each in copy.items.items()
        }
        self.changes = [
            attrs.evolve(each, position=self.in_era(each.position))
            for each in copy.changes
        ]

    def in_era(
        self, position: store_positions.Position
    ) -> store_positions.Position:
        return positions.at(position.revision, self.era)

    def record_call(self, name: str) -> None:
        self.call_names.append(name)
        if self.error is not None:
            raise self.error

    async def get(
        self, key: str
    ) -> tuple[revisions.Item | None, store_positions.Position]:
        self.record_call("get")
        return self.items.get(key), self.position

    async def list_items(
        self, prefix: str, stale: bool = False
    ) -> revisions.Listing:
        self.record_call("stale-list" if stale else "list")
        items = [
            each for key, each in self.items.items() if key.startswith(prefix)
        ]
        return revisions.Listing(tuple(items), self.position)

    async def watch(
        self, prefix: str, after: store_positions.Position, wait_ms: float
    ) -> revisions.Changes:
        del wait_ms
        self.record_call("watch")
        return self.changes_after(prefix, after)

    def changes_after(
        self, prefix: str, after: store_positions.Position
    ) -> revisions.Changes:
        """Returns the changes after a revision, also if there are none.

        The store knows a watch by its revision only, not by its era.
        """
        if not self.compacted_revision <= after.revision <= self.revision:
            raise exceptions.HistoryCompactedError("gone")
        events = tuple(
            each
            for each in self.changes
            if each.position.revision > after.revision
            and each.key.startswith(prefix)
        )
        return revisions.Changes(events, self.position)

    async def commit(
        self, writes: list[revisions.Write]
    ) -> store_positions.Position:
        self.record_call("commit")
        for write in writes:
            if write.lease and write.lease.lease_id not in self.leases:
                raise exceptions.LeaseExpiredError("ended")
            self.put(write.key, write.value)
        return self.position

    async def grant_lease(self, ttl_ms: float) -> revisions.Lease:
        del ttl_ms
        self.record_call("grant")
        lease_id = len(self.leases) + 1
        self.leases[lease_id] = 0
        return revisions.Lease(lease_id, self.era)

    async def renew_lease(self, lease: revisions.Lease) -> None:
        self.record_call("renew")
        if lease.lease_id not in self.leases:
            raise exceptions.LeaseExpiredError("ended")
        self.leases[lease.lease_id] += 1
