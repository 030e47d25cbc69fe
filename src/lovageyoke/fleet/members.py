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

from lovageyoke.fleet import messages

LIVE_MS = 1_200.0  # Several heartbeats, to tolerate lost datagrams.
DOMAIN_SILENT_MS = 2_000.0  # Exceeds the time to replace a collector.
MISSED = 5  # Consecutive messages that a collector may have lost.
FORGET_MS = 60_000.0  # Gone processes still receive heartbeats for this time.
SENDING_MS = 12_000.0  # Slightly more than a window of the budget.
VIEW_MS = 100.0  # How long a computed view of the fleet is cached.


@attrs.define
class Member:
    """Another process.

    Attributes:
        state: Its newest known state.
        known_ms: When it was first known, or known again after it was gone.
        heard_ms: When its last heartbeat was received directly.
        collector_heard_ms: When its last heartbeat as a collector was received.
        alive_ms: When it was last known to be alive.
        id_hash: Hash of its id, which ranks processes for duties.
        waiting: Processes with queued requests, by service, from its last
            heartbeat.
    """

    state: messages.MemberState
    known_ms: float
    heard_ms: float = -math.inf
    collector_heard_ms: float = -math.inf
    alive_ms: float = -math.inf
    id_hash: int = 0
    waiting: tuple[tuple[str, int], ...] = ()

    @property
    def peer(self) -> messages.Peer:
        """How to reach it."""
        return self.state.peer


@attrs.frozen
class View:
    """A cached summary of the live processes.

    Attributes:
        live: The other processes that are alive.
        working: Processes that share duties, this one included, by failure
            domain.
        size: Number of processes that may be sending requests now.
        until_ms: When the view expires.
    """

    live: list[Member]
    working: dict[str, list[messages.MemberState]]
    size: int
    until_ms: float

    @property
    def workers(self) -> int:
        """How many processes share duties."""
        return sum(len(each) for each in self.working.values())


class Members:
    """The processes of the deployment as known to this process.

    Attributes:
        own: This process's state as sent to others.
        others: The other processes by node id.
        collecting_since_ms: When this process became a collector; None if it
            isn't one.
        contact_ms: When a collector of each failure domain last sent a
            heartbeat, as far as known.
        changed_ids: Node ids of processes whose state has changed since this
            set was last cleared.
        changes: Counter of changes to the list or to a state.
        cached: The last computed view, None if it is outdated.
    """

    def __init__(self, own: messages.MemberState) -> None:
        self.own = own
        self.others: dict[str, Member] = {}
        self.collecting_since_ms: float | None = None
        self.contact_ms: dict[str, float] = {}
        self.changed_ids: set[str] = set()
        self.changes = 0
        self.cached: View | None = None

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
            self.others[node_id] = Member(state, now_ms, id_hash=id_hash)
            self.changed(node_id)
            return True
        if state.order <= known.state.order:
            return False
        same = state.says_the_same(known.state)
        if known.state.gone and not state.gone:
            known.known_ms = now_ms
        known.state = state
        if not same:
            self.changed(node_id)
        return True

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
        member.heard_ms = now_ms
        member.waiting = heartbeat.waiting
        if heartbeat.collecting:
            member.collector_heard_ms = now_ms
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
        self.cached = None

    def detect_failures(self, now_ms: float) -> None:
        """Marks silent processes of the own failure domain as gone.

        Only a collector receives heartbeats from all of them, and only from
        the time it started collecting.
        """
        since_ms = self.collecting_since_ms
        if since_ms is None:
            return
        for node_id, member in self.others.items():
            if member.state.gone or member.peer.failure_domain != self.domain:
                continue
            heard_ms = max(member.heard_ms, member.known_ms, since_ms)
            if now_ms - heard_ms > LIVE_MS:
                member.state = attrs.evolve(member.state, gone=True)
                self.changed(node_id)

    def forget_gone(self, now_ms: float) -> None:
        """Removes processes that have been gone for ``FORGET_MS``."""
        for node_id, member in list(self.others.items()):
            last_ms = max(member.alive_ms, member.known_ms)
            if now_ms - last_ms > FORGET_MS and not self.is_live(
                member, now_ms
            ):
                del self.others[node_id]
                self.changes += 1
                self.cached = None

    # Queries

    def is_live(self, member: Member, now_ms: float) -> bool:
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

    def view(self, now_ms: float) -> View:
        """Returns the fleet, cached for up to ``VIEW_MS``."""
        if self.cached is None or now_ms >= self.cached.until_ms:
            self.cached = self.compute_view(now_ms)
        return self.cached

    def compute_view(self, now_ms: float) -> View:
        """Computes the current view of the fleet."""
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
        return View(live, working, size, now_ms + VIEW_MS)

    def live(self, now_ms: float) -> list[Member]:
        """Returns the other processes that are alive."""
        return self.view(now_ms).live

    def known(self) -> int:
        """Returns how many processes are known and not gone."""
        return 1 + sum(not each.state.gone for each in self.others.values())

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

    def of_domain(self, domain: str) -> Iterable[Member]:
        """Returns the other processes of a failure domain."""
        return (
            each
            for each in self.others.values()
            if each.peer.failure_domain == domain
        )


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
