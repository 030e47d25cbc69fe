"""A process of a simulated fleet, with its replica and messenger."""

from __future__ import annotations

from collections.abc import Callable
import math
import random
import typing

import attrs

from fakes import links
from fakes import nodes
from fakes import revision_store
from fakes import virtual_time
from lovageyoke.fleet import follower as fleet_follower
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.hop import attempt as hop_attempt
from lovageyoke.hop import pool as hop_pool
from lovageyoke.node import messenger as node_messenger
from lovageyoke.node import settings as node_settings
from lovageyoke.node import state as node_state
from lovageyoke.platform import headers
from lovageyoke.routing import model
from lovageyoke.store import positions

if typing.TYPE_CHECKING:
    from fakes.fleet import Fleet

Address = tuple[str, int]
PORT = 7540


class Transport:
    """Passes a process's datagrams to the simulated network."""

    def __init__(self, send: Callable[[bytes, Address], None]) -> None:
        self.send = send

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: Address) -> None:
        self.send(data, address)


class Process:
    """One simulated process with its replica and messenger."""

    def __init__(
        self,
        fleet: Fleet,
        index: int,
        domain: str,
        capacity: int,
    ) -> None:
        self.fleet = fleet
        self.address: Address = (f"10.0.{index // 200}.{index % 200}", PORT)
        self.node_id = f"vm-{index}"
        self.domain = domain
        self.capacity = capacity
        self.link_bytes_per_s = fleet.link_bytes_per_s(capacity)
        self.uplink = links.Link(self.link_bytes_per_s)
        self.downlink = links.Link(self.link_bytes_per_s)
        self.is_running = False
        self.paused = False
        self.incarnation = 0
        self.versions: list[int] = []
        self.revisions: list[positions.Position] = []
        self.upstreams: set[str] = set()
        self.start()

    def start(self) -> None:
        """Starts or restarts the process with empty state."""
        clock = self.fleet.clock
        self.incarnation += 1
        self.is_running = True
        self.paused = False
        self.versions = []
        self.revisions = []
        own = messages.Peer(
            self.node_id, *self.address, f"{self.node_id}:80", self.domain
        )
        self.node = node_state.NodeState(
            settings=attrs.evolve(
                nodes.settings(),
                node_id=self.node_id,
                failure_domain=self.domain,
                peers=node_settings.Address(*self.address),
                seeds=self.fleet.seeds,
                capacity_percent=self.capacity,
                link_bytes_per_s=self.link_bytes_per_s,
            ),
            clock=clock,
            rng=random.Random(self.node_id),  # noqa: S311
            log=self.fleet.log,
            client=hop_attempt.UpstreamClient(
                headers.NAMES, hop_pool.ConnectionPool(), clock
            ),
            decode_load=headers.decode_load,
            decode_rate_limit=headers.decode_rate_limit,
            decode_cold_time=headers.decode_cold_time,
            members=fleet_members.Members(messages.MemberState(own)),
        )
        self.node.period_ms = self.fleet.period_ms
        self.replica = fleet_replica.Replica(
            self.fleet.layout,
            self.fleet.log,
            on_configuration=self.on_new_configuration,
            on_upstreams=self.on_new_upstreams,
            broadcast=self.spread,
        )
        store = self.fleet.store
        follower = fleet_follower.Follower(
            store=store or revision_store.RevisionStore(),
            replica=self.replica,
            members=self.node.members,
            clock=virtual_time.VirtualClock(clock),
            log=self.fleet.log,
            rng=self.node.rng,
            on_changes=self.node.heartbeat_requested.set,
            send_request=self.ask,
            is_seed=self.node.settings.is_seed,
        )
        self.follower = follower
        self.messenger = node_messenger.Messenger(self.node, follower)
        # Restarts within one millisecond must differ in start time.
        self.messenger.started_ms = int(clock.now_ms()) + self.incarnation
        self.messenger.link.transport = Transport(self.send)  # type: ignore[assignment]
        self.wake_ms = math.inf
        self.urgent_from_ms = math.inf
        # Doesn't depend on the messages sent before.
        start_rng = random.Random(f"{self.node_id}/{self.incarnation}")  # noqa: S311
        delay_ms = start_rng.uniform(0.0, self.fleet.start_spread_ms)
        self.wake_at(clock.now_ms() + delay_ms)
        if store is not None:
            self.is_running = False
            self.fleet.schedule(delay_ms, self.follow_task(self.incarnation))

    def on_new_configuration(self, configuration: model.Configuration) -> None:
        self.versions.append(configuration.version)
        self.node.apply_configuration(configuration)

    def on_new_upstreams(self, upstreams: list[model.Upstream]) -> None:
        self.upstreams = {
            each.upstream_id for each in upstreams if each.accepts_requests
        }
        self.node.apply_upstreams(upstreams)

    def spread(self, news: messages.ConfigurationUpdate, told: bool) -> None:
        self.messenger.broadcast_configuration(news, told)

    def ask(self, request: messages.SnapshotRequest) -> bool:
        return self.messenger.snapshots.request(request)

    def follow_task(self, incarnation: int) -> Callable[[], None]:
        """Returns the start of the follower, which runs with the process."""

        def follow() -> None:
            if self.incarnation != incarnation:
                return
            self.is_running = True
            self.follower.started_ms = self.fleet.clock.now_ms()
            self.messenger.clock_started_ms = self.fleet.clock.now_ms()
            virtual_time.drive(
                self.follower.run(),
                self.fleet.schedule,
                lambda: self.is_running and self.incarnation == incarnation,
            )
            self.send_heartbeat()

        return follow

    def wake_at(self, due_ms: float) -> None:
        """Schedules the next heartbeat, if it isn't due earlier."""
        if due_ms >= self.wake_ms:
            return
        self.wake_ms = due_ms
        incarnation = self.incarnation

        def wake() -> None:
            if self.incarnation == incarnation and self.wake_ms == due_ms:
                self.wake_ms = math.inf
                self.send_heartbeat()

        self.fleet.schedule(due_ms - self.fleet.clock.now_ms(), wake)

    def send_heartbeat(self) -> None:
        """Sends a heartbeat and schedules the next as the messenger does."""
        if not self.is_running:
            return
        now_ms = self.fleet.clock.now_ms()
        period_ms = self.fleet.period_ms
        if not self.paused:
            self.replica.expire_retained(now_ms)
            if self.fleet.store is None:
                self.request_missing_changes()
            else:
                self.follower.request_missed_changes()
            self.node.heartbeat_requested.clear()
            self.messenger.send_heartbeats()
            self.revisions.append(self.replica.position)
        gap_ms = self.messenger.heartbeat_gap_ms()
        self.urgent_from_ms = now_ms + gap_ms
        share = 1.0
        if self.node.members.collecting_since_ms is not None:
            share = node_messenger.COLLECTOR_SHARE
        self.wake_at(now_ms + max(gap_ms, share * period_ms))

    def send_if_requested(self) -> None:
        """Schedules an urgent heartbeat, not before the minimum gap."""
        if self.node.heartbeat_requested.is_set():
            now_ms = self.fleet.clock.now_ms()
            self.wake_at(max(now_ms, self.urgent_from_ms))

    def request_missing_changes(self) -> None:
        now_ms = self.fleet.clock.now_ms()
        missing = self.replica.behind_since_ms(now_ms) is not None
        if missing or not self.replica.is_complete:
            self.follower.request_snapshot(now_ms)

    def send(self, data: bytes, address: Address) -> None:
        self.fleet.send(self.address, data, address)

    def receive(self, data: bytes, sender: Address) -> None:
        if not self.is_running or self.paused:
            return
        self.messenger.link.datagram_received(data, sender)
        if self.fleet.store is None and self.replica.missed.since_ms:
            # A follower polls for this between two heartbeats.
            self.request_missing_changes()
        self.send_if_requested()

    def stop(self) -> None:
        self.is_running = False

    def live_ids(self) -> set[str]:
        now_ms = self.fleet.clock.now_ms()
        members = self.node.members
        return {
            each.peer.node_id for each in members.compute_view(now_ms).live
        } | {self.node_id}

    def is_collector(self) -> bool:
        return self.node.members.collecting_since_ms is not None
