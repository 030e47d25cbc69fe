"""Fleet simulation in virtual time over a lossy datagram network."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import heapq
import itertools
import os
import random

from fakes import fleet_process
from fakes import manual_clock
from fakes import positions
from fakes import virtual_time
from lovageyoke.fleet import layout as fleet_layout
from lovageyoke.node import settings as node_settings
from lovageyoke.observe import events
from lovageyoke.store import revisions

Address = fleet_process.Address
Process = fleet_process.Process
Cut = Callable[[Address, Address], bool]
PORT = fleet_process.PORT


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
        newest = max(each.position for each in events)
        now_ms = self.clock.now_ms()
        process.replica.apply_watch(revisions.Changes(events, newest), now_ms)
        process.replica.fresh_ms = now_ms
        process.messenger.send_heartbeats()

    def populate(self, upstreams: list[str]) -> None:
        """Gives one process the initial state; runs until all replicate it."""
        items = [
            revisions.Item(f"up/{name}", b"x", positions.at(index + 1))
            for index, name in enumerate(upstreams)
        ]
        first = self.processes[0]
        now_ms = self.clock.now_ms()
        newest = len(items) + 1
        first.replica.apply_read(
            revisions.Listing(tuple(items), positions.at(newest)),
            revisions.Listing(
                (revisions.Item("config", b"1", positions.at(1)),),
                positions.at(newest),
            ),
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
