"""Selects the peers that are asked for a snapshot, one after the other.

A peer may fail to answer: its request or answer may be lost, or its link may
be busy because many ask it at once. So each further request goes to another
peer, and those with most capacity, and thereby the largest links, come first.
"""

from __future__ import annotations

import heapq
import math

from lovageyoke.fleet import member as fleet_member
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.store import positions

Address = tuple[str, int]

ALTERNATIVES = 6
# A collector with less than this share of the best capacity is asked last by
# its domain, as it would have to answer all of it.
SMALL_SHARE = 0.5
PAUSE_MS = 1_000.0  # Without requests; the next one is the first of others.


class SnapshotSources:
    """The peers to ask.

    Attributes:
        members: The processes of the fleet.
        newest: Address of the peer with the newest replica; None if none is
            known to have a newer one.
        newest_position: Its position.
        newest_ms: When that became known.
        collects: Whether that peer collects for this failure domain.
        newest_capacity: Capacity of that peer in percent of a core.
        attempts: Number of requests since the last snapshot or pause.
        requested_ms: When the last request was sent.
    """

    def __init__(self, members: fleet_members.Members) -> None:
        self.members = members
        self.newest: Address | None = None
        self.newest_position = positions.START
        self.newest_ms = -math.inf
        self.collects = False
        self.newest_capacity = 0
        self.attempts = 0
        self.requested_ms = -math.inf

    def record_newer(
        self, heartbeat: messages.Heartbeat, address: Address, now_ms: float
    ) -> None:
        """Records that the sender of a heartbeat has a newer replica."""
        recent = now_ms - self.newest_ms <= PAUSE_MS
        if recent and heartbeat.position < self.newest_position:
            return
        sender = heartbeat.sender
        same_domain = sender.peer.failure_domain == self.members.domain
        self.newest = address
        self.newest_position = heartbeat.position
        self.newest_ms = now_ms
        self.collects = heartbeat.collecting and same_domain
        self.newest_capacity = sender.capacity

    def record_snapshot(self) -> None:
        """Records that a snapshot arrived."""
        self.attempts = 0

    def next(self, now_ms: float) -> Address | None:
        """Returns the next peer to ask, None if none has a newer replica."""
        if self.newest is None:
            return None
        if now_ms - self.requested_ms > PAUSE_MS:
            self.attempts = 0
        order = self.order(self.newest, now_ms)
        found = order[self.attempts % len(order)]
        self.requested_ms = now_ms
        self.attempts += 1
        return found

    def order(self, newest: Address, now_ms: float) -> list[Address]:
        """Returns the peers in the order in which they are asked."""
        others = self.alternatives(now_ms)
        best = max((each.state.capacity for each in others), default=0)
        addresses = [(each.peer.host, each.peer.port) for each in others]
        rest = [each for each in addresses if each != newest]
        if self.collects and self.newest_capacity < SMALL_SHARE * best:
            return [*rest, newest]
        return [newest, *rest]

    def alternatives(self, now_ms: float) -> list[fleet_member.Member]:
        """Returns the live peers with most capacity.

        Each process prefers others among those with equal capacity.
        """
        own_id = self.members.own.peer.node_id

        def order(member: fleet_member.Member) -> tuple[int, int]:
            rank = fleet_members.hash_of(own_id + member.peer.node_id)
            return -member.state.capacity, rank

        able = (
            each for each in self.members.live(now_ms) if not each.state.leaving
        )
        return heapq.nsmallest(ALTERNATIVES, able, key=order)
