"""Composes the heartbeats of a process."""

from __future__ import annotations

import math

import attrs

from lovageyoke.fleet import changes as fleet_changes
from lovageyoke.fleet import messages
from lovageyoke.fleet import queue_counts
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.fleet import state_updates
from lovageyoke.node import state as node_state

MAX_REMOTE_REPORTS = 100  # Load reports per message to other failure domains.
ROUND_ROBIN_EVERY = 2  # Heartbeats per one that repeats unchanged states.
# Approximate encoded sizes, by which a heartbeat is kept within a limit.
BASE_BYTES = 200.0
STATE_BYTES = 80.0
REPORT_BYTES = 12.0
QUOTA_BYTES = 12.0  # Of a count or a level.
CHANGES_SHARE = 0.5  # Of the bytes that a limited heartbeat has.
MIN_CHANGES_BYTES = 500.0  # Two changes; each process would request them.
STATES_SHARE = 0.5  # Of the bytes that the changes leave.


class Heartbeats:
    """Composes heartbeats from the state of the process.

    Attributes:
        node: Shared state of the process.
        replica: Local replica of the store.
        local_count: Number of heartbeats for the own failure domain.
        remote_count: Number of those for the other failure domains.
        local_states: Member states to send within the own failure domain.
        remote_states: Member states to send to the other domains' collectors.
    """

    def __init__(
        self, node: node_state.NodeState, replica: fleet_replica.Replica
    ) -> None:
        self.node = node
        self.replica = replica
        self.local_count = 0
        self.remote_count = 0
        self.local_states = state_updates.StateUpdates(node.members, False)
        self.remote_states = state_updates.StateUpdates(node.members, True)

    def queue_all_states(self) -> None:
        """Queues the states of all processes, as a new collector does."""
        self.local_states.queue_all()
        self.remote_states.queue_all()

    def queue_changed_states(self) -> None:
        """Queues changed member states for a collector's next heartbeats.

        Other processes learn of these changes from a collector only.
        """
        members = self.node.members
        changed, members.changed_ids = members.changed_ids, set()
        if members.collecting_since_ms is not None:
            self.local_states.queue(changed)
            self.remote_states.queue(changed)

    def local(self, now_ms: float, max_bytes: float) -> messages.Heartbeat:
        """Returns the heartbeat for the own failure domain.

        Args:
            now_ms: The time.
            max_bytes: About how large it may be. What doesn't fit is sent
                with later heartbeats, except changes, which peers request.
        """
        quotas = self.node.quotas.exchange
        quota_counts = quotas.counts_to_send(now_ms)
        quota_levels = quotas.levels_to_send(now_ms)
        quota_size = len(quota_counts) + len(quota_levels or ())
        room = max(0.0, max_bytes - BASE_BYTES - QUOTA_BYTES * quota_size)
        changes_bytes = max(MIN_CHANGES_BYTES, CHANGES_SHARE * room)
        heartbeat = self.base(now_ms, changes_bytes)
        room = max(0.0, room - fleet_changes.size_of(heartbeat.changes))
        if self.node.members.collecting_since_ms is not None:
            heartbeat = self.with_fleet(heartbeat, now_ms, room)
            room -= STATE_BYTES * len(heartbeat.members)
        else:
            waiting = self.node.waiting_counts(now_ms)
            heartbeat = attrs.evolve(heartbeat, waiting=waiting)
        return attrs.evolve(
            heartbeat,
            reports=self.node.reports.reports_to_send(
                now_ms, _count(room, REPORT_BYTES)
            ),
            rate_limits=self.node.rate_limiter.reports_to_send(
                now_ms, is_remote=False
            ),
            quota_counts=quota_counts,
            quota_levels=quota_levels,
        )

    def with_fleet(
        self, heartbeat: messages.Heartbeat, now_ms: float, room: float
    ) -> messages.Heartbeat:
        """Returns a heartbeat with what a collector knows of the fleet.

        Args:
            heartbeat: The heartbeat.
            now_ms: The time.
            room: Bytes that states and reports may take.
        """
        members = self.node.members
        own = self.node.waiting_counts(now_ms)
        return attrs.evolve(
            heartbeat,
            waiting=queue_counts.of_fleet(members, own, now_ms),
            members=self.local_states.next_states(
                self.local_count % ROUND_ROBIN_EVERY == 0,
                _count(STATES_SHARE * room, STATE_BYTES),
            ),
            domains=tuple(
                (domain, round(max(0.0, now_ms - contact_ms)))
                for domain, contact_ms in members.contact_ms.items()
            ),
        )

    def remote(self, now_ms: float) -> messages.Heartbeat:
        """Returns a collector's heartbeat for the other failure domains."""
        own = self.node.waiting_counts(now_ms)
        return attrs.evolve(
            self.base(now_ms),
            reports=self.node.reports.remote_reports_to_send(
                now_ms, MAX_REMOTE_REPORTS
            ),
            rate_limits=self.node.rate_limiter.reports_to_send(
                now_ms, is_remote=True
            ),
            quota_counts=self.node.quotas.exchange.remote_counts_to_send(),
            waiting=queue_counts.of_domain(self.node.members, own, now_ms),
            members=self.remote_states.next_states(
                self.remote_count % ROUND_ROBIN_EVERY == 0
            ),
        )

    def base(
        self,
        now_ms: float,
        changes_bytes: float = fleet_changes.MAX_FRESH_BYTES,
    ) -> messages.Heartbeat:
        """Returns a heartbeat with the fields that all heartbeats carry.

        Args:
            now_ms: The time.
            changes_bytes: Size of the changes that it may carry.
        """
        members = self.node.members
        replica = self.replica
        since, changes = replica.recent.for_heartbeat(
            replica.position, now_ms, changes_bytes
        )
        return messages.Heartbeat(
            sender=members.own,
            collecting=members.collecting_since_ms is not None,
            known=members.known(),
            configuration_version=self.node.configuration_version,
            position=replica.position,
            since=since,
            fresh_age_ms=replica.staleness_ms(now_ms),
            changes=changes,
        )


def _count(room: float, each: float) -> int | None:
    """Returns how many values of a size fit, None if any number does."""
    return None if math.isinf(room) else max(1, int(room / each))
