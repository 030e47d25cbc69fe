"""In-memory revision store with fault injection."""

from __future__ import annotations

from lovageyoke.errors import exceptions
from lovageyoke.store import revisions


class RevisionStore(revisions.RevisionStore):
    """Stores items and their changes; a watch returns immediately.

    Attributes:
        error: Raised by every call if set.
        compacted_revision: Changes up to this revision have been compacted.
        call_names: Names of the calls, in order.
    """

    def __init__(self) -> None:
        self.items: dict[str, revisions.Item] = {}
        self.changes: list[revisions.Change] = []
        self.revision = 1
        self.error: exceptions.PlatformError | None = None
        self.compacted_revision = 0
        self.call_names: list[str] = []
        self.calls: dict[str, int] = {}
        self.era = "1"
        self.leases: set[int] = set()

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.items[key] = revisions.Item(key, value, self.revision)
        self.changes.append(revisions.Change(key, self.revision, value))

    def remove(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self.changes.append(revisions.Change(key, self.revision, None))

    def record_call(self, name: str) -> None:
        self.call_names.append(name)
        if self.error is not None:
            raise self.error

    async def get(self, key: str) -> tuple[revisions.Item | None, int]:
        self.record_call("get")
        return self.items.get(key), self.revision

    async def list_items(
        self, prefix: str, stale: bool = False
    ) -> revisions.Listing:
        self.record_call("stale-list" if stale else "list")
        items = [
            each for key, each in self.items.items() if key.startswith(prefix)
        ]
        return revisions.Listing(tuple(items), self.revision)

    async def watch(
        self, prefix: str, after: int, wait_ms: float
    ) -> revisions.Changes:
        del wait_ms
        self.record_call("watch")
        return self.changes_after(prefix, after)

    def changes_after(self, prefix: str, after: int) -> revisions.Changes:
        """Returns the changes after a revision, also if there are none."""
        if after < self.compacted_revision:
            raise exceptions.HistoryCompactedError("gone")
        events = tuple(
            each
            for each in self.changes
            if each.revision > after and each.key.startswith(prefix)
        )
        return revisions.Changes(events, self.revision)

    async def commit(self, writes: list[revisions.Write]) -> int:
        self.record_call("commit")
        for write in writes:
            self.put(write.key, write.value)
        return self.revision

    async def grant_lease(self, ttl_ms: float) -> int:
        del ttl_ms
        self.record_call("grant")
        self.leases.add(len(self.leases) + 1)
        return len(self.leases)

    async def renew_lease(self, lease_id: int) -> None:
        self.record_call("renew")
        if lease_id not in self.leases:
            raise exceptions.LeaseExpiredError("ended")
