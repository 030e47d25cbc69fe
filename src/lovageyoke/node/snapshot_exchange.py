"""Requests snapshots from peers and answers their requests."""

from __future__ import annotations

from lovageyoke.fleet import codec
from lovageyoke.fleet import link as fleet_link
from lovageyoke.fleet import messages
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.fleet import snapshot_sources
from lovageyoke.node import state as node_state


class SnapshotExchange:
    """Sends snapshot requests and snapshots.

    Attributes:
        node: Shared state of the process.
        replica: Local replica of the store.
        link: Sends the messages.
        sources: The peers to ask.
    """

    def __init__(
        self,
        node: node_state.NodeState,
        replica: fleet_replica.Replica,
        link: fleet_link.PeerLink,
    ) -> None:
        self.node = node
        self.replica = replica
        self.link = link
        self.sources = snapshot_sources.SnapshotSources(node.members)

    def request(self, request: messages.SnapshotRequest) -> bool:
        """Requests a snapshot from a peer; returns False if none is known."""
        address = self.sources.next(self.node.clock.now_ms())
        if address is None:
            return False
        self.link.send(codec.encode(request), address, "snapshots")
        self.node.log.event(
            "snapshot-requested",
            era=request.position.era,
            revision=request.position.revision,
            peer=address[0],
        )
        return True

    def answer(
        self, request: messages.SnapshotRequest, address: fleet_link.Address
    ) -> None:
        """Answers a request if this VM's link has room.

        Otherwise the answer would come late, and delay all others; the peer
        asks another process.
        """
        now_ms = self.node.clock.now_ms()
        has_room = self.link.budget.has_room()
        found = self.replica.snapshot_for(request, now_ms) if has_room else []
        datagrams = [codec.encode(each) for each in found]
        for datagram in datagrams:
            self.link.send(datagram, address, "snapshots")
        self.node.log.event(
            "snapshot-sent",
            peer=address[0],
            era=self.replica.position.era,
            revision=self.replica.position.revision,
            requested_era=request.position.era,
            requested=request.position.revision,
            bytes=sum(map(len, datagrams)),
            link_busy=not has_room,
        )

    def receive(self, part: messages.SnapshotPart) -> None:
        """Processes a part of a requested snapshot."""
        self.sources.record_snapshot()
        self.replica.add_snapshot_part(part, self.node.clock.now_ms())
