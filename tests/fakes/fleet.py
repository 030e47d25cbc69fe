"""Fleet simulation in virtual time over a lossy datagram network."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import heapq
import itertools
import math
import os
import random

import attrs

from fakes import links
from fakes import manual_clock
from fakes import nodes
from fakes import revision_store
from fakes import virtual_time
from lovageyoke.fleet import follower as fleet_follower
from lovageyoke.fleet import layout as fleet_layout
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.hop import attempt as hop_attempt
from lovageyoke.hop import pool as hop_pool
from lovageyoke.node import messenger as node_messenger
from lovageyoke.node import settings as node_settings
from lovageyoke.node import state as node_state
from lovageyoke.observe import events
from lovageyoke.platform import headers
from lovageyoke.routing import model
from lovageyoke.store import revisions

Address = tuple[str, int]
Cut = Callable[[Address, Address], bool]
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
        self.revisions: list[int] = []
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
        return self.messenger.request_snapshot(request)

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
        gap_ms = max(
            node_messenger.MIN_HEARTBEAT_GAP_MS,
            node_messenger.URGENT_SHARE * period_ms,
        )
        if not self.paused:
            self.replica.expire_retained(now_ms)
            if self.fleet.store is None:
                self.request_missing_changes()
            self.node.heartbeat_requested.clear()
            self.messenger.send_heartbeats()
            self.revisions.append(self.replica.revision)
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


class Fleet:
    """All processes and the network between them, in virtual time.

    Attributes:
        loss: Fraction of the datagrams that are lost.
        duplicates: Fraction of the datagrams that are duplicated.
        delay_ms: Maximum delay of a datagram; delays vary, so datagrams may
            be reordered.
        cut: Returns whether the link from one address to another is down.
        sent_bytes: Bytes sent by address.
        heard_bytes: Bytes received by address.
        start_spread_ms: Time within which processes start.
        store: The store; None if the processes don't run their followers.
        links: Bandwidth of a VM's link in bytes per second, by capacity in
            percent of a core; links of other VMs are unlimited.
    """

    def __init__(
        self,
        layout: fleet_layout.Layout,
        domains: list[int],
        *,
        seed: int = 1,
        loss: float = 0.0,
        duplicates: float = 0.0,
        delay_ms: float = 3.0,
        period_ms: float = 40.0,
        large_each: int = 3,
        start_spread_ms: float = 300.0,
        store: virtual_time.SharedStore | None = None,
        links: Mapping[int, float] | None = None,
    ) -> None:
        self.layout = layout
        self.clock = manual_clock.ManualClock(1_000.0)
        self.rng = random.Random(seed)  # noqa: S311
        self.log = events.EventLog(
            self.clock, "fleet", os.open(os.devnull, os.O_WRONLY)
        )
        self.loss = loss
        self.duplicates = duplicates
        self.delay_ms = delay_ms
        self.period_ms = period_ms
        self.start_spread_ms = start_spread_ms
        self.store = store
        self.links = links or {}
        self.cut: Cut = lambda sender, receiver: False
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.sent_bytes: dict[Address, int] = {}
        self.heard_bytes: dict[Address, int] = {}
        self.received_counts: dict[Address, int] = {}
        self.seeds: tuple[node_settings.Address, ...] = tuple(
            node_settings.Address(f"10.0.0.{index}", PORT) for index in range(3)
        )
        self.processes: list[Process] = []
        self.by_address: dict[Address, Process] = {}
        for domain, size in enumerate(domains):
            for place in range(size):
                capacity = 215 if place < large_each else 43
                self.add(f"domain-{domain}", capacity)

    def add(self, domain: str, capacity: int = 43) -> Process:
        process = Process(self, len(self.processes), domain, capacity)
        self.processes.append(process)
        self.by_address[process.address] = process
        return process

    def link_bytes_per_s(self, capacity: int) -> float:
        return self.links.get(capacity, 0.0)

    def schedule(self, after_ms: float, action: Callable[[], None]) -> None:
        due_ms = self.clock.now_ms() + after_ms
        heapq.heappush(self.queue, (due_ms, next(self.order), action))

    def send(self, sender: Address, data: bytes, receiver: Address) -> None:
        sent = self.sent_bytes.get(sender, 0)
        self.sent_bytes[sender] = sent + len(data)
        if self.cut(sender, receiver) or self.rng.random() < self.loss:
            return
        now_ms = self.clock.now_ms()
        sent_ms = self.by_address[sender].uplink.carry(len(data), now_ms)
        if sent_ms is None:
            return
        for _ in range(2 if self.rng.random() < self.duplicates else 1):
            delay_ms = sent_ms - now_ms + self.rng.uniform(0.1, self.delay_ms)
            self.schedule(delay_ms, self.arrival_task(sender, data, receiver))

    def arrival_task(
        self, sender: Address, data: bytes, receiver: Address
    ) -> Callable[[], None]:
        """Returns the passage of a datagram over the receiver's link."""

        def arrive() -> None:
            process = self.by_address.get(receiver)
            if process is None:
                return
            now_ms = self.clock.now_ms()
            through_ms = process.downlink.carry(len(data), now_ms)
            if through_ms is None:
                return
            deliver = self.delivery_task(sender, data, receiver)
            if through_ms == now_ms:
                deliver()
            else:
                self.schedule(through_ms - now_ms, deliver)

        return arrive

    def delivery_task(
        self, sender: Address, data: bytes, receiver: Address
    ) -> Callable[[], None]:
        def deliver() -> None:
            process = self.by_address.get(receiver)
            if process is None:
                return
            received_bytes = self.heard_bytes.get(receiver, 0)
            self.heard_bytes[receiver] = received_bytes + len(data)
            self.received_counts[receiver] = (
                self.received_counts.get(receiver, 0) + 1
            )
            process.receive(data, sender)

        return deliver

    def run(self, duration_ms: float) -> None:
        """Advances the virtual time and runs the events that are due."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self.queue)
            self.clock.current_ms = max(self.clock.current_ms, due_ms)
            action()
        self.clock.current_ms = end_ms

    def running(self) -> list[Process]:
        return [each for each in self.processes if each.is_running]

    def run_until(
        self,
        condition: Callable[[], bool],
        timeout_ms: float,
        step_ms: float = 20.0,
    ) -> float:
        """Runs until a condition holds; returns the elapsed milliseconds."""
        start_ms = self.clock.now_ms()
        while not condition():
            elapsed_ms = self.clock.now_ms() - start_ms
            assert elapsed_ms < timeout_ms, (
                f"condition not met within {timeout_ms} ms"
            )
            self.run(step_ms)
        return self.clock.now_ms() - start_ms

    def deliver_changes(
        self, process: Process, *events: revisions.Change
    ) -> None:
        """Delivers store changes to one process."""
        newest = max(each.revision for each in events)
        now_ms = self.clock.now_ms()
        process.replica.apply_watch(revisions.Changes(events, newest), now_ms)
        process.replica.fresh_ms = now_ms
        process.messenger.send_heartbeats()

    def populate(self, upstreams: list[str]) -> None:
        """Gives one process the initial state; runs until all replicate it."""
        items = [
            revisions.Item(f"up/{name}", b"x", index + 1)
            for index, name in enumerate(upstreams)
        ]
        first = self.processes[0]
        now_ms = self.clock.now_ms()
        newest = len(items) + 1
        first.replica.apply_read(
            revisions.Listing(tuple(items), newest),
            revisions.Listing((revisions.Item("config", b"1", 1),), newest),
            now_ms,
            stale=False,
        )
        self.run_until(
            lambda: all(each.replica.is_complete for each in self.running()),
            3_000.0,
        )

    def collectors(self, domain: str) -> list[Process]:
        found = [each for each in self.running() if each.domain == domain]
        return [each for each in found if each.is_collector()]
