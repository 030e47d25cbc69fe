"""In-flight and connection limits of one entry VM for each upstream."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lovageyoke.config import model
from lovageyoke.routing import api

INITIAL_LIMIT = 2.0
MIN_LIMIT = 1.0
SHED_FACTOR = 0.5
QUEUED_FACTOR = 0.8
QUEUED_PER_SLOT = 0.5


def connection_share(connections: int, entries: int) -> int:
    """Returns the connections that one entry may hold open to an upstream.

    Args:
        connections: Connections that the upstream accepts.
        entries: Entry VMs that may connect to it; pass the probe divisor,
            which also counts those that may have joined.
    """
    return max(1, connections // max(1, entries))


@attrs.define(eq=False)
class UpstreamLimit:
    """Limit on one entry's requests in flight at one upstream.

    There are fewer slots than entries, so a fixed share would be below one.
    The limit is found instead by additive increase and multiplicative
    decrease: it grows up to all slots while they are free, and falls when
    the upstream sheds requests or reports a queue.

    Source: Chiu and Jain, "Analysis of the Increase and Decrease Algorithms
    for Congestion Avoidance in Computer Networks", 1989.

    Attributes:
        slots: Requests that the upstream serves at a time.
        share: Upper bound on the requests in flight.
        limit: The present limit; rounded down.
        in_flight: Requests in flight.
        decreased_ms: When the limit last fell.
    """

    slots: int
    share: int
    limit: float = INITIAL_LIMIT
    in_flight: int = 0
    decreased_ms: float = float("-inf")

    @property
    def allowed(self) -> int:
        """Requests that may be in flight."""
        return min(self.share, int(self.limit))

    @property
    def has_room(self) -> bool:
        """Whether another request may be sent."""
        return self.in_flight < self.allowed

    def finish(self, completion: api.Completion, now_ms: float) -> None:
        """Records the end of a request and adapts the limit."""
        was_limiting = self.in_flight >= self.allowed
        self.in_flight = max(0, self.in_flight - 1)
        if completion.result is api.Result.SHED:
            self.decrease(SHED_FACTOR, completion.latency_ms, now_ms)
        elif self._reports_queue(completion.report):
            self.decrease(QUEUED_FACTOR, completion.latency_ms, now_ms)
        elif completion.result is api.Result.OK and was_limiting:
            increased = self.limit + 1.0 / self.limit
            self.limit = min(float(self.slots), increased)

    def decrease(self, factor: float, latency_ms: float, now_ms: float) -> None:
        """Lowers the limit, at most once for each round trip."""
        if now_ms - self.decreased_ms < latency_ms:
            return
        self.limit = max(MIN_LIMIT, self.limit * factor)
        self.decreased_ms = now_ms

    def _reports_queue(self, report: api.LoadReport | None) -> bool:
        return (
            report is not None and report.queued > self.slots * QUEUED_PER_SLOT
        )


class UpstreamLimits:
    """The limits of all upstreams of a service.

    Attributes:
        limits: Limit of each upstream by id.
        full: Upstreams at their limit, excluded from routing.
    """

    def __init__(self) -> None:
        self.limits: dict[str, UpstreamLimit] = {}
        self.full: set[str] = set()

    def set_upstreams(
        self, upstreams: Iterable[model.Upstream], entries: int
    ) -> None:
        """Replaces the upstreams; keeps the limits of those that remain.

        Args:
            upstreams: The upstreams.
            entries: Entry VMs that share their connections.
        """
        limits = {}
        for upstream in upstreams:
            share = connection_share(upstream.connections, entries)
            known = self.limits.get(upstream.upstream_id)
            if known is None:
                known = UpstreamLimit(upstream.slots, share)
            known.slots = upstream.slots
            known.share = share
            known.limit = min(known.limit, float(max(1, upstream.slots)))
            limits[upstream.upstream_id] = known
        self.limits = limits
        self.full = {
            upstream_id
            for upstream_id, limit in limits.items()
            if not limit.has_room
        }

    def start(self, upstream_id: str) -> None:
        """Counts a request that was sent."""
        limit = self.limits.get(upstream_id)
        if limit is not None:
            limit.in_flight += 1
            self._mark(upstream_id, limit)

    def finish(self, completion: api.Completion, now_ms: float) -> None:
        """Counts the end of a request and adapts the upstream's limit."""
        limit = self.limits.get(completion.upstream_id)
        if limit is not None:
            limit.finish(completion, now_ms)
            self._mark(completion.upstream_id, limit)

    def capacity(self, usable: Iterable[str]) -> int:
        """Returns the requests that the usable upstreams may hold in all."""
        return sum(
            self.limits[upstream_id].allowed
            for upstream_id in usable
            if upstream_id in self.limits
        )

    def _mark(self, upstream_id: str, limit: UpstreamLimit) -> None:
        if limit.has_room:
            self.full.discard(upstream_id)
        else:
            self.full.add(upstream_id)
