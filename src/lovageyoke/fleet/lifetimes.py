"""Lifetimes of upstreams whose entries have been removed from the store.

The store may do a write seconds after it was sent, even after the removal of
the entry. Such a late write is recognised by its sequence number. Revisions
don't tell: the write has a newer one than the removal, and a store that is
restored from a copy gives revisions out again.
"""

from __future__ import annotations

import attrs

from lovageyoke.routing import model

HEARTBEAT_MS = 1_500.0  # Default interval between two writes of an upstream.
MISSED_HEARTBEATS = 3  # The store removes an entry after so many.
LATE_WRITE_MS = 6_000.0  # The store does a write at most so long afterwards.
CONFIRMATION_MARGIN_MS = 2_000.0
# Of one lifetime each. The oldest removals are forgotten first.
MAX_LIFETIMES = 4_000


@attrs.frozen
class EndedLifetime:
    """A lifetime of an upstream whose entry was removed.

    Attributes:
        upstream_id: Id of the upstream.
        started_ms: Its start time.
        seen: Highest sequence number that was seen of it.
        reached: Highest sequence number that it may have sent before the
            removal; the store doesn't report heartbeats that change nothing
            else.
    """

    upstream_id: str
    started_ms: int
    seen: int
    reached: int

    @property
    def key(self) -> tuple[str, int]:
        """Key of the lifetime, as that of its upstream."""
        return self.upstream_id, self.started_ms


class EndedLifetimes:
    """The lifetimes that were removed last.

    Attributes:
        heartbeat_ms: Interval between two writes of an upstream.
        ended: The lifetimes by key, the oldest removal first.
    """

    def __init__(self, heartbeat_ms: float = HEARTBEAT_MS) -> None:
        self.heartbeat_ms = heartbeat_ms
        self.ended: dict[tuple[str, int], EndedLifetime] = {}

    @property
    def confirmation_ms(self) -> float:
        """Time after which an entry can't result from late writes alone."""
        removal_ms = MISSED_HEARTBEATS * self.heartbeat_ms
        return LATE_WRITE_MS + removal_ms + CONFIRMATION_MARGIN_MS

    def record(
        self, upstream: model.Upstream, received_ms: float, now_ms: float
    ) -> None:
        """Records that an upstream's entry was removed.

        Nothing is known of upstreams that state no start time or sequence.

        Args:
            upstream: The upstream.
            received_ms: When its sequence number was received.
            now_ms: The time.
        """
        if upstream.started_ms <= 0 or upstream.sequence <= 0:
            return
        elapsed_ms = max(0.0, now_ms - received_ms)
        unseen = int(elapsed_ms / self.heartbeat_ms)
        self.add(
            EndedLifetime(
                upstream.upstream_id,
                upstream.started_ms,
                upstream.sequence,
                upstream.sequence + unseen,
            )
        )

    def add(self, ended: EndedLifetime) -> None:
        """Adds a lifetime; the higher sequence numbers of it are kept."""
        known = self.ended.pop(ended.key, ended)
        self.ended[ended.key] = attrs.evolve(
            ended,
            seen=max(ended.seen, known.seen),
            reached=max(ended.reached, known.reached),
        )
        while len(self.ended) > MAX_LIFETIMES:
            del self.ended[next(iter(self.ended))]

    def forget(self, upstream: model.Upstream) -> None:
        """Forgets a lifetime that has continued after its removal."""
        self.ended.pop(upstream.key, None)

    def is_late(self, upstream: model.Upstream) -> bool:
        """Returns whether an entry may have been sent before its removal."""
        ended = self.ended.get(upstream.key)
        return ended is not None and upstream.sequence <= ended.reached

    def is_obsolete(self, upstream: model.Upstream) -> bool:
        """Returns whether an entry was certainly sent before its removal."""
        ended = self.ended.get(upstream.key)
        return ended is not None and upstream.sequence <= ended.seen

    def newest(self, count: int) -> tuple[EndedLifetime, ...]:
        """Returns the lifetimes that were removed last."""
        return tuple(self.ended.values())[-count:]
