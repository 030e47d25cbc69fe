"""Load reports of many upstreams in a simulated fleet.

A third of the upstreams is seven times slower for half a second at a time.
Each is checked by one process, and each process receives four responses a
second.
"""

from __future__ import annotations

from collections.abc import Callable
import random

from fakes import fleet as fleet_fake
from lovageyoke.routing import load_view

DOMAINS = [78, 78, 78]
LARGE_EACH = 2
PERIOD_MS = 40.0
UPSTREAMS = [f"u{index}" for index in range(264)]
SLOTS = 2
SLOW_SHARE = 0.3
SLOW_PACE = 7.0
PACE_MS = 500.0
RESPONSES_PER_S = 4.0
CHECK_MS = 2.0  # From the start of a check to its response.


class Reports:
    """Makes upstreams report, from checks and from responses."""

    def __init__(self, fleet: fleet_fake.Fleet, seed: int = 3) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)  # noqa: S311
        self.paces = dict.fromkeys(UPSTREAMS, 1.0)

    def start(self) -> None:
        for index, upstream_id in enumerate(UPSTREAMS):
            self.fleet.schedule(
                self.rng.uniform(0.0, PACE_MS), self.pace_task(upstream_id)
            )
            process = self.fleet.processes[index % len(self.fleet.processes)]
            self.fleet.schedule(
                self.rng.uniform(0.0, PERIOD_MS),
                self.check_task(process, upstream_id),
            )
        for process in self.fleet.processes:
            self.fleet.schedule(
                self.rng.uniform(0.0, 1_000.0 / RESPONSES_PER_S),
                self.response_task(process),
            )

    def report(self, upstream_id: str) -> load_view.LoadReport:
        return load_view.LoadReport(
            self.rng.randint(0, SLOTS),
            self.rng.randint(0, SLOTS),
            SLOTS,
            self.paces[upstream_id],
        )

    def pace_task(self, upstream_id: str) -> Callable[[], None]:
        def change() -> None:
            slow = self.rng.random() < SLOW_SHARE
            self.paces[upstream_id] = SLOW_PACE if slow else 1.0
            self.fleet.schedule(PACE_MS, change)

        return change

    def check_task(
        self, process: fleet_fake.Process, upstream_id: str
    ) -> Callable[[], None]:
        def check() -> None:
            pause_ms = process.node.until_period_ms(PERIOD_MS)
            self.fleet.schedule(pause_ms + CHECK_MS, check)
            report = self.report(upstream_id)
            record(process, upstream_id, report, urgent=False)

        return check

    def response_task(self, process: fleet_fake.Process) -> Callable[[], None]:
        def respond() -> None:
            pause_ms = self.rng.expovariate(RESPONSES_PER_S / 1_000.0)
            self.fleet.schedule(pause_ms, respond)
            upstream_id = self.rng.choice(UPSTREAMS)
            report = self.report(upstream_id)
            record(process, upstream_id, report, urgent=True)

        return respond

    def ages_ms(self) -> list[float]:
        """Returns the ages of all reports at all processes, ascending."""
        now_ms = self.fleet.clock.now_ms()
        return sorted(
            now_ms - view.reported_ms
            for process in self.fleet.running()
            for view in process.node.loads.by_id.values()
        )


def record(
    process: fleet_fake.Process,
    upstream_id: str,
    report: load_view.LoadReport,
    urgent: bool,
) -> None:
    """Records an upstream's report at a process.

    Args:
        process: The process.
        upstream_id: The upstream.
        report: The report.
        urgent: Whether it came with a response, which frees a slot.
    """
    view = process.node.loads.by_id.get(upstream_id)
    if view is None or not process.is_running:
        return
    now_ms = process.fleet.clock.now_ms()
    process.node.reports.record_report(view, report, now_ms)
    if urgent:
        process.node.heartbeat_requested.set()
    process.send_if_requested()
