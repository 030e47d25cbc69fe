"""Exchanges heartbeats and snapshots with the peers."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import contextlib
import math

import attrs

from lovageyoke.fleet import codec
from lovageyoke.fleet import collectors
from lovageyoke.fleet import follower as fleet_follower
from lovageyoke.fleet import link as fleet_link
from lovageyoke.fleet import link_budget
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.node import heartbeats
from lovageyoke.node import introductions
from lovageyoke.node import snapshot_exchange
from lovageyoke.node import state as node_state
from lovageyoke.store import positions

# Also holds for urgent heartbeats. A shorter gap makes load reports hardly
# newer, at many more messages of a collector.
MIN_HEARTBEAT_GAP_MS = 15.0
# Heartbeat intervals as shares of the heartbeat period.
URGENT_SHARE = 0.25
COLLECTOR_SHARE = 0.5
REMOTE_SHARE = 0.375  # To other failure domains; at least every second time.
SEED_JOIN_INTERVAL_MS = 200.0
SEED_COLLECTOR_INTERVAL_MS = 2_000.0  # Reconnects the fleet after a partition.
# A process whose event loop lags more than this announces no capacity, which
# ranks it last among the candidates for collector.
SLOW_LAG_MS = 150.0
MS_PER_SECOND = 1_000.0


class Messenger:
    """Sends this process's state to its peers and processes their messages.

    Attributes:
        node: Shared state of the process.
        follower: Follows the store.
        replica: Local replica of the store.
        link: Sends and receives datagrams.
        started_ms: Start of the process in Unix time.
        clock_started_ms: Start of the process on its own clock.
        sequence: Sequence number of this process's state.
        heartbeats: Composes the heartbeats.
        remote_sent_ms: When a heartbeat last went to the other domains.
        remote_position: The store's position that it carried.
        seeds_sent_ms: When a heartbeat last went to the seeds.
        introducer: Introduces processes to each other.
        snapshots: Requests and sends snapshots.
    """

    def __init__(
        self, node: node_state.NodeState, follower: fleet_follower.Follower
    ) -> None:
        self.node = node
        self.follower = follower
        self.replica = follower.replica
        budget = link_budget.LinkBudget(
            node.clock, node.settings.link_bytes_per_s
        )
        self.link = fleet_link.PeerLink(
            self.receive, self.message_rejected, budget
        )
        self.started_ms = node.clock.wall_ms()
        self.clock_started_ms = node.clock.now_ms()
        self.sequence = 0
        self.heartbeats = heartbeats.Heartbeats(node, self.replica)
        self.remote_sent_ms = -math.inf
        self.remote_position = positions.START
        self.seeds_sent_ms = -math.inf
        self.introducer = introductions.Introducer(node, self.link)
        self.snapshots = snapshot_exchange.SnapshotExchange(
            node, self.replica, self.link
        )

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        requested = self.node.heartbeat_requested
        while True:
            # The follower can't do this while it waits for the store.
            self.replica.expire_retained(self.node.clock.now_ms())
            self.follower.request_missed_changes()
            self.send_heartbeats()
            gap_ms = self.heartbeat_gap_ms()
            await self.node.clock.sleep_ms(gap_ms)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    self.until_regular_heartbeat_ms(gap_ms) / MS_PER_SECOND
                ):
                    await requested.wait()
            requested.clear()

    def heartbeat_gap_ms(self) -> float:
        """Returns the shortest time until the next heartbeat."""
        return max(
            MIN_HEARTBEAT_GAP_MS,
            URGENT_SHARE * self.node.period_ms,
            self.link.budget.heartbeat_delay_ms(),
        )

    def until_regular_heartbeat_ms(self, since_ms: float) -> float:
        """Returns the time until the next regular heartbeat.

        Args:
            since_ms: Time since the last heartbeat.
        """
        if self.node.members.collecting_since_ms is None:
            return self.node.until_heartbeat_ms()
        interval_ms = COLLECTOR_SHARE * self.node.period_ms
        return max(1.0, interval_ms - since_ms)

    # Sending

    def send_heartbeats(self) -> None:
        """Sends all heartbeats that are due."""
        now_ms = self.node.clock.now_ms()
        members = self.node.members
        self.heartbeats.local_count += 1
        self.update_own_state()
        self.update_collector_role(now_ms)
        members.detect_failures(now_ms)
        self.heartbeats.queue_changed_states()
        local_peers = collectors.local_targets(
            members, self.heartbeats.local_count, now_ms
        )
        max_bytes = self.link.budget.heartbeat_bytes(len(local_peers))
        heartbeat = self.heartbeats.local(now_ms, max_bytes)
        self.send(heartbeat, local_peers, "home")
        if self.is_remote_heartbeat_due(now_ms):
            self.remote_sent_ms = now_ms
            self.remote_position = self.replica.position
            self.heartbeats.remote_count += 1
            self.node.remote_heartbeat_requested = False
            remote_peers = collectors.remote_targets(
                members, self.heartbeats.remote_count, now_ms
            )
            self.send(self.heartbeats.remote(now_ms), remote_peers, "abroad")
        if self.is_seed_heartbeat_due(now_ms):
            self.seeds_sent_ms = now_ms
            self.send_seed_heartbeats(now_ms)

    def is_remote_heartbeat_due(self, now_ms: float) -> bool:
        """Returns whether a heartbeat to the other failure domains is due."""
        if self.node.members.collecting_since_ms is None:
            return False
        share = (
            URGENT_SHARE
            if self.node.remote_heartbeat_requested
            else REMOTE_SHARE
        )
        since_ms = now_ms - self.remote_sent_ms
        if since_ms < share * self.node.period_ms:
            return False
        if self.replica.position > self.remote_position:
            return True
        budget = self.link.budget
        return budget.has_room() or since_ms >= link_budget.LONGEST_INTERVAL_MS

    def update_own_state(self) -> None:
        """Updates the state that this process announces."""
        self.sequence += 1
        node = self.node
        slow = node.peak_lag_ms > SLOW_LAG_MS
        node.members.own = attrs.evolve(
            node.members.own,
            started_ms=self.started_ms,
            sequence=self.sequence,
            ready=node.ready,
            leaving=node.leaving,
            store_ok=self.follower.store_ok,
            capacity=0 if slow else node.settings.capacity_percent,
        )

    def update_collector_role(self, now_ms: float) -> None:
        """Takes over or gives up the collector role as needed."""
        members = self.node.members
        must_collect = collectors.should_collect(
            members, now_ms, self.clock_started_ms
        )
        if must_collect == (members.collecting_since_ms is not None):
            return
        members.collecting_since_ms = now_ms if must_collect else None
        members.cached = None
        if must_collect:
            self.heartbeats.queue_all_states()
        self.node.log.event(
            "collecting",
            collecting=must_collect,
            rank=collectors.own_position(members),
            silent_ms=collectors.silent_ms(members, now_ms),
        )

    def is_seed_heartbeat_due(self, now_ms: float) -> bool:
        """Returns whether a heartbeat to the seeds is due."""
        since_ms = now_ms - self.seeds_sent_ms
        members = self.node.members
        if (
            now_ms - self.clock_started_ms < introductions.JOINING_MS
            and not collectors.has_collector(members, now_ms)
        ):
            return since_ms >= SEED_JOIN_INTERVAL_MS
        if members.collecting_since_ms is None and members.live(now_ms):
            return False
        return since_ms >= SEED_COLLECTOR_INTERVAL_MS

    def send_seed_heartbeats(self, now_ms: float) -> None:
        """Sends a heartbeat to the seeds."""
        settings = self.node.settings
        datagram = codec.encode(self.heartbeats.base(now_ms))
        for seed in settings.seeds:
            if seed != settings.peers:
                self.link.send(datagram, (seed.host, seed.port), "seeds")

    def send(
        self,
        message: messages.Message,
        peers: Iterable[messages.Peer],
        audience: str,
    ) -> None:
        """Sends a message to several peers."""
        datagram = codec.encode(message)
        for peer in peers:
            self.link.send(datagram, (peer.host, peer.port), audience)

    def broadcast_configuration(
        self, message: messages.ConfigurationUpdate, from_peer: bool
    ) -> None:
        """Distributes a configuration.

        A collector sends it to its failure domain. The process that read it
        from the store also sends it to all collectors.

        Args:
            message: The configuration.
            from_peer: Whether it came from a peer; in that case the other
                failure domains receive it too.
        """
        members = self.node.members
        now_ms = self.node.clock.now_ms()
        if members.collecting_since_ms is not None:
            self.broadcast_locally(message, now_ms)
        if not from_peer:
            everywhere = collectors.all_collectors(members, now_ms)
            self.send(message, everywhere, "configuration")

    def broadcast_locally(
        self, message: messages.ConfigurationUpdate, now_ms: float
    ) -> None:
        """Sends a configuration to the failure domain, unless it is too large.

        Its members learn of the version by heartbeat and request it from
        others.
        """
        peers = collectors.local_targets(self.node.members, 1, now_ms)
        datagram = codec.encode(message)
        if not self.link.budget.allows_broadcast(len(datagram), len(peers)):
            self.node.log.event(
                "configuration-not-sent",
                version=message.version,
                bytes=len(datagram),
                peers=len(peers),
            )
            return
        for peer in peers:
            self.link.send(datagram, (peer.host, peer.port), "home")

    # Receiving

    def message_rejected(self, detail: str) -> None:
        """Logs an invalid datagram."""
        self.node.log.event("message-rejected", detail=detail)

    def receive(
        self, message: messages.Message, address: fleet_link.Address
    ) -> None:
        """Processes a message; one that fails doesn't affect others."""
        try:
            self.process(message, address)
        except Exception as error:
            self.node.log.failure("message-failed", error, sender=address[0])

    def process(
        self, message: messages.Message, address: fleet_link.Address
    ) -> None:
        """Processes a message from a peer."""
        now_ms = self.node.clock.now_ms()
        if isinstance(message, messages.Heartbeat):
            self.receive_heartbeat(message, address, now_ms)
        elif isinstance(message, messages.Introduction):
            for state in message.members:
                self.node.members.merge(state, now_ms)
        elif isinstance(message, messages.ConfigurationUpdate):
            self.replica.configurations.apply_update(message)
        elif isinstance(message, messages.SnapshotPart):
            self.snapshots.receive(message)
        elif isinstance(message, messages.RemovedUpstreams):
            self.replica.apply_removed(message)
        else:
            self.snapshots.answer(message, address)

    def receive_heartbeat(
        self,
        message: messages.Heartbeat,
        address: fleet_link.Address,
        now_ms: float,
    ) -> None:
        """Processes a heartbeat."""
        members = self.node.members
        known = members.others.get(message.sender.peer.node_id)
        collector_heard_ms = known.collector_heard_ms if known else -math.inf
        new = members.apply_heartbeat(message, now_ms)
        if (
            message.collecting
            and now_ms - collector_heard_ms > fleet_members.LIVE_MS
        ):
            self.introducer.introduce_domain(message.sender.peer, address)
        queued = self.heartbeats.local_states.queued()
        self.introducer.introduce(message, address, new, queued, now_ms)
        if self.replica.is_behind(message):
            self.snapshots.sources.record_newer(message, address, now_ms)
        news = self.replica.apply_heartbeat(message, now_ms)
        if news and members.collecting_since_ms is not None:
            self.node.heartbeat_requested.set()
        sender = message.sender.peer
        is_local = sender.failure_domain == members.domain
        self.node.reports.record_peer_reports(message.reports, now_ms, is_local)
        for limit in message.rate_limits:
            limits = (
                self.node.rate_limiter
                if limit.cold_ms is None
                else self.node.cold_starts
            )
            limits.record_peer_report(limit, now_ms, is_local)
        self.node.quotas.exchange.receive(message, now_ms, is_local)
