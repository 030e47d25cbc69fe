"""Membership list and failure detection.

This module does no I/O. The collectors of a failure domain receive the
heartbeats of its processes directly (see ``collectors``) and forward their
states to all others. The states of a process are ordered by its start time
and sequence number, so an older state never replaces a newer one even if
messages are lost, duplicated or reordered.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
import zlib

import attrs

from lovageyoke.fleet import member as fleet_member
from lovageyoke.fleet import messages

LIVE_MS = 1_200.0  # Several heartbeats, to tolerate lost datagrams.
DOMAIN_SILENT_MS = 2_000.0  # Exceeds the time to replace a collector.
MISSED = 5  # Consecutive messages that a collector may have lost.
FORGET_MS = 60_000.0  # Gone processes still receive heartbeats for this time.
SENDING_MS = 12_000.0  # Slightly more than a window of the budget.
VIEW_MS = 100.0  # How long a computed view of the fleet is cached.
SETTLED_VIEW_MS = 1_000.0  # The same while all domains' collectors are heard.
FORGET_COLLECTOR_MS = 4_000.0  # Exceeds the longest delay of a takeover.


class Members:
    """The processes of the deployment as known to this process.

    Attributes:
        own: This process's state as sent to others.
        others: The other processes by node id.
        by_domain: The same by failure domain.
        collectors: Processes recently heard as collectors, by node id.
        last_heard_ms: When any heartbeat was last received.
        last_known_ms: When a process last became known.
        collecting_since_ms: When this process became a collector; None if it
            isn't one.
        contact_ms: When a collector of each failure domain last sent a
            heartbeat, as far as known.
        changed_ids: Node ids of processes whose state has changed since this
            set was last cleared.
        changes: Counter of changes to the list or to a state.
        cached: The last computed view, None if it is outdated.
        last_live: Processes that were alive in the last view, with the time
            until which it held.
        cached_known: The number of known processes, None if it is outdated.
        ranked: Collector candidates by failure domain; see ``collectors``.
    """

    def __init__(self, own: messages.MemberState) -> None:
        self.own = own
        self.others: dict[str, fleet_member.Member] = {}
        self.by_domain: dict[str, dict[str, fleet_member.Member]] = {}
        self.collectors: dict[str, fleet_member.Member] = {}
        self.last_heard_ms = -math.inf
        self.last_known_ms = -math.inf
        self.collecting_since_ms: float | None = None
        self.contact_ms: dict[str, float] = {}
        self.changed_ids: set[str] = set()
        self.changes = 0
        self.cached: fleet_member.View | None = None
        self.last_live: tuple[list[fleet_member.Member], float] = (
            [],
            -math.inf,
        )
        self.cached_known: int | None = None
        self.ranked: dict[str, list[fleet_member.Member]] = {}

    @property
    def domain(self) -> str:
        """The failure domain of this process."""
        return self.own.peer.failure_domain

    # Updates

    def merge(self, state: messages.MemberState, now_ms: float) -> bool:
        """Merges a received state; returns whether it was newer."""
        node_id = state.peer.node_id
        if node_id == self.own.peer.node_id:
            return False
        known = self.others.get(node_id)
        if known is None:
            id_hash = hash_of(node_id)
            member = fleet_member.Member(state, now_ms, id_hash=id_hash)
            self.others[node_id] = member
            self.domain_of(state)[node_id] = member
            self.last_known_ms = now_ms
            self.changed(node_id)
            return True
        if state.order <= known.state.order:
            return False
        same = state.says_the_same(known.state)
        if known.state.gone and not state.gone:
            known.known_ms = self.last_known_ms = now_ms
        if known.peer.failure_domain != state.peer.failure_domain:
            del self.domain_of(known.state)[node_id]
            self.domain_of(state)[node_id] = known
        known.state = state
        if not same:
            self.changed(node_id)
        return True

    def domain_of(
        self, state: messages.MemberState
    ) -> dict[str, fleet_member.Member]:
        """Returns the known processes of a process's failure domain."""
        return self.by_domain.setdefault(state.peer.failure_domain, {})

    def apply_heartbeat(
        self, heartbeat: messages.Heartbeat, now_ms: float
    ) -> bool:
        """Applies a heartbeat; returns whether its sender was new or gone."""
        state = heartbeat.sender
        node_id = state.peer.node_id
        if node_id == self.own.peer.node_id:
            return False
        known = self.others.get(node_id)
        new = known is None or known.state.gone
        self.merge(state, now_ms)
        member = self.others[node_id]
        if member.state.started_ms > state.started_ms or member.state.gone:
            return False
        member.heard_ms = self.last_heard_ms = now_ms
        member.waiting = heartbeat.waiting
        if heartbeat.collecting:
            member.collector_heard_ms = now_ms
            self.collectors[node_id] = member
            self.record_contacts(heartbeat, now_ms)
        for each in heartbeat.members:
            if not self.merge(each, now_ms) and heartbeat.collecting:
                self.confirm_gone(each, now_ms)
        return new

    def confirm_gone(self, state: messages.MemberState, now_ms: float) -> None:
        """Accepts a collector's report that a process is gone.

        The report may carry a slightly lower sequence number than the known
        state, as the last messages of a process may have reached this process
        but not the collector.
        """
        known = self.others.get(state.peer.node_id)
        if known is None or not state.gone or known.state.gone:
            return
        missed = known.state.sequence - state.sequence
        same_start = known.state.started_ms == state.started_ms
        silent = now_ms - known.heard_ms > LIVE_MS
        if same_start and silent and 0 < missed <= MISSED:
            known.state = attrs.evolve(known.state, gone=True)
            self.changed(state.peer.node_id)

    def record_contacts(
        self, heartbeat: messages.Heartbeat, now_ms: float
    ) -> None:
        """Records the collector contact times that a heartbeat reports."""
        domain = heartbeat.sender.peer.failure_domain
        self.record_contact(domain, now_ms)
        for other, age_ms in heartbeat.domains:
            if other != self.domain:
                self.record_contact(other, now_ms - age_ms)

    def record_contact(self, domain: str, at_ms: float) -> None:
        """Records when a failure domain's collector sent a heartbeat."""
        before = self.contact_ms.get(domain, -math.inf)
        self.contact_ms[domain] = max(before, at_ms)

    def changed(self, node_id: str) -> None:
        """Records that the state of a process has changed."""
        self.changes += 1
        self.changed_ids.add(node_id)
        self.invalidate()

    def invalidate(self) -> None:
        """Discards what was computed from the states."""
        self.cached = None
        self.cached_known = None
        self.ranked.clear()

    def detect_failures(self, now_ms: float) -> None:
        """Marks silent processes of the own failure domain as gone.

        Only a collector receives heartbeats from all of them, and only from
        the time it started collecting.
        """
        since_ms = self.collecting_since_ms
        if since_ms is None:
            return
        for node_id, member in self.by_domain.get(self.domain, {}).items():
            if member.state.gone:
                continue
            heard_ms = max(member.heard_ms, member.known_ms, since_ms)
            if now_ms - heard_ms > LIVE_MS:
                member.state = attrs.evolve(member.state, gone=True)
                self.changed(node_id)

    def forget_gone(self, now_ms: float) -> None:
        """Removes processes that have been gone for ``FORGET_MS``."""
        self.collectors = {
            node_id: each
            for node_id, each in self.collectors.items()
            if now_ms - each.collector_heard_ms <= FORGET_COLLECTOR_MS
        }
        for node_id, member in list(self.others.items()):
            last_ms = max(member.alive_ms, member.known_ms)
            if now_ms - last_ms > FORGET_MS and not self.is_live(
                member, now_ms
            ):
                del self.others[node_id]
                del self.domain_of(member.state)[node_id]
                self.changes += 1
                self.invalidate()

    # Queries

    def is_live(self, member: fleet_member.Member, now_ms: float) -> bool:
        """Returns whether a process is considered alive."""
        if member.state.gone:
            return False
        if now_ms - member.heard_ms <= LIVE_MS:
            return True
        domain = member.peer.failure_domain
        if domain == self.domain and self.collecting_since_ms is not None:
            return True
        contact_ms = self.contact_ms.get(domain, -math.inf)
        return now_ms - contact_ms <= DOMAIN_SILENT_MS

    def view(self, now_ms: float) -> fleet_member.View:
        """Returns the fleet, cached for up to ``SETTLED_VIEW_MS``."""
        view = self.cached
        if (
            view is None
            or now_ms >= view.until_ms
            or view.own.leaving != self.own.leaving
            or view.own.capacity != self.own.capacity
        ):
            view = self.cached = self.compute_view(now_ms)
            self.last_live = view.live, view.until_ms
        return view

    def compute_view(self, now_ms: float) -> fleet_member.View:
        """Computes the current view of the fleet."""
        before, before_until_ms = self.last_live
        alive_ms = min(now_ms, before_until_ms)
        for member in before:
            member.alive_ms = max(member.alive_ms, alive_ms)
        live = []
        size = 1
        working: dict[str, list[messages.MemberState]] = {}
        if not self.own.leaving:
            working[self.domain] = [self.own]
        for member in self.others.values():
            if self.is_live(member, now_ms):
                member.alive_ms = now_ms
                live.append(member)
                if not member.state.leaving:
                    domain = member.peer.failure_domain
                    working.setdefault(domain, []).append(member.state)
            if now_ms - member.alive_ms < SENDING_MS:
                size += 1
        until_ms = now_ms + self.view_valid_ms(now_ms)
        return fleet_member.View(self.own, live, working, size, until_ms)

    def view_valid_ms(self, now_ms: float) -> float:
        """Returns for how long a view holds unless a state changes."""
        valid_ms = SETTLED_VIEW_MS
        for domain, members in self.by_domain.items():
            collects = self.collecting_since_ms is not None
            if not members or (collects and domain == self.domain):
                continue
            contact_ms = self.contact_ms.get(domain, -math.inf)
            valid_ms = min(valid_ms, contact_ms + DOMAIN_SILENT_MS - now_ms)
        return max(VIEW_MS, valid_ms)

    def live(self, now_ms: float) -> list[fleet_member.Member]:
        """Returns the other processes that are alive."""
        return self.view(now_ms).live

    def known(self) -> int:
        """Returns how many processes are known and not gone."""
        if self.cached_known is None:
            self.cached_known = 1 + sum(
                not each.state.gone for each in self.others.values()
            )
        return self.cached_known

    def duty_states(
        self, failure_domain: str, now_ms: float
    ) -> list[messages.MemberState]:
        """Returns the processes that share a failure domain's duties.

        They are the working processes of the domain, or those of all domains
        if it has none.
        """
        working = self.view(now_ms).working
        near = working.get(failure_domain)
        if near:
            return near
        return [state for states in working.values() for state in states]

    def duty_position(
        self, key: str, failure_domain: str, limit: int, now_ms: float
    ) -> int | None:
        """Returns this process's position among those that may have a duty.

        The processes of the failure domain come first, each group in the
        order of a rendezvous hash.

        Args:
            key: Name of the duty.
            failure_domain: Failure domain of the duty.
            limit: Number of processes that have the duty.
            now_ms: The time.

        Returns:
            The position from 0; None if it isn't below the limit, or if this
            process is leaving.
        """
        if self.own.leaving:
            return None
        working = self.view(now_ms).working
        group = working.get(failure_domain, [])
        before = 0
        if self.domain != failure_domain:
            before = len(group)
            if before >= limit:
                return None
            group = [
                state
                for domain, states in working.items()
                for state in states
                if domain != failure_domain
            ]
        own_rank = duty_rank(key, self.own.peer.node_id)
        position = before + sum(
            duty_rank(key, state.peer.node_id) < own_rank for state in group
        )
        return position if position < limit else None

    def watch_rank(self, now_ms: float, store_ok: bool | None) -> int:
        """Returns this process's rank for watching the store, from 0.

        Args:
            now_ms: The time.
            store_ok: Whether the store answers this process. Processes that
                can reach the store rank first. None ignores reachability.
        """
        own_hash = hash_of(self.own.peer.node_id)
        own = (store_ok is False, own_hash, self.own.peer.node_id)
        rank = 0
        for member in self.live(now_ms):
            state = member.state
            if state.leaving:
                continue
            refused = store_ok is not None and not state.store_ok
            if (refused, member.id_hash, state.peer.node_id) < own:
                rank += 1
        return rank

    def fleet_size(self, now_ms: float) -> int:
        """Returns how many processes may be sending requests now."""
        return self.view(now_ms).size

    def of_domain(self, domain: str) -> Iterable[fleet_member.Member]:
        """Returns the other processes of a failure domain."""
        return self.by_domain.get(domain, {}).values()


def duty_rank(key: str, node_id: str) -> tuple[int, str]:
    """Returns the rank of a process for a duty; the lowest one is first."""
    return hash_of(key + "\0" + node_id), node_id


def duty_owner(key: str, states: Iterable[messages.MemberState]) -> str:
    """Returns the node id of the process that owns a duty.

    The owner is chosen by rendezvous hashing, weighted by capacity: a process
    with twice the capacity owns twice as many duties.
    """

    def score(state: messages.MemberState) -> tuple[float, str]:
        node_id = state.peer.node_id
        share = (hash_of(key + "\0" + node_id) + 1) / 2**32
        return math.log(share) / max(1, state.capacity), node_id

    return max(states, key=score).peer.node_id


def hash_of(text: str) -> int:
    """Returns a 32-bit hash of a string, at least 0 and below 2**32."""
    # CRC32 alone preserves the order of ids that differ in one character; the
    # multiplication spreads them.
    return zlib.crc32(text.encode()) * 2_654_435_761 % 2**32
