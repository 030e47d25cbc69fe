"""Introduces processes to peers that don't know them."""

from __future__ import annotations

import math

from lovageyoke.fleet import codec
from lovageyoke.fleet import collectors
from lovageyoke.fleet import link as fleet_link
from lovageyoke.fleet import messages
from lovageyoke.node import state as node_state

JOINING_MS = 3_000.0  # Startup phase, in which seeds are contacted often.
INTERVAL_MS = 300.0  # Minimum interval per peer.
MAX_STATES = 150  # Per message.
SETTLED_MS = 500.0  # After which a collector will probably stay one.


class Introducer:
    """Sends the states of processes to peers that don't know them.

    Attributes:
        node: Shared state of the process.
        link: Sends datagrams.
        started_ms: Start of the process on its own clock.
        sent_ms: When a peer was last sent an introduction, by node id.
    """

    def __init__(
        self, node: node_state.NodeState, link: fleet_link.PeerLink
    ) -> None:
        self.node = node
        self.link = link
        self.started_ms = node.clock.now_ms()
        self.sent_ms: dict[str, float] = {}

    def introduce_domain(
        self, peer: messages.Peer, address: fleet_link.Address
    ) -> None:
        """Introduces this domain's members to another domain's new collector.

        Only a collector does so.
        """
        members = self.node.members
        foreign = peer.failure_domain != members.domain
        if foreign and members.collecting_since_ms is not None:
            near = members.of_domain(members.domain)
            states = [members.own, *(each.state for each in near)]
            self.send(states, address)

    def introduce(
        self,
        heartbeat: messages.Heartbeat,
        address: fleet_link.Address,
        new: bool,
        queued: int,
        now_ms: float,
    ) -> None:
        """Introduces members to a peer that is new or knows fewer of them.

        A collector sends all members to a peer of its own domain. Otherwise
        only the collector candidates are sent, and only if the peer is new or
        this process has just started.

        Args:
            heartbeat: The peer's heartbeat.
            address: Its address.
            new: Whether the peer is new.
            queued: Number of changed states that a collector will send to its
                domain next. A peer there that lacks no more than these gets
                no introduction: each process that joins would cause one to
                each other process.
            now_ms: The time.
        """
        members = self.node.members
        peer = heartbeat.sender.peer
        near = peer.failure_domain == members.domain
        collects = near and members.collecting_since_ms is not None
        missing = members.known() - heartbeat.known
        # In a start, a process may collect for a moment and never send them.
        since_ms = members.collecting_since_ms
        stays = since_ms is not None and now_ms - since_ms >= SETTLED_MS
        if not new and missing <= (queued if collects and stays else 0):
            return
        last_ms = self.sent_ms.get(peer.node_id, -math.inf)
        if now_ms - last_ms < INTERVAL_MS or not self.link.budget.has_room():
            return
        self.sent_ms[peer.node_id] = now_ms
        if collects:
            states = [members.own]
            states += [each.state for each in members.others.values()]
        elif new or now_ms - self.started_ms < JOINING_MS:
            states = collectors.bootstrap_states(members, peer.failure_domain)
        else:
            return
        self.send(states, address)

    def send(
        self, states: list[messages.MemberState], address: fleet_link.Address
    ) -> None:
        """Sends member states to a peer, split into several messages."""
        for start in range(0, len(states), MAX_STATES):
            part = tuple(states[start : start + MAX_STATES])
            datagram = codec.encode(messages.Introduction(part))
            self.link.send(datagram, address, "introductions")
