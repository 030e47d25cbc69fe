"""Runs of the policy bench in virtual time."""

from __future__ import annotations

from collections.abc import Callable
import random

import attrs
import numpy as np

from lovageyoke.bench import policy_entry
from lovageyoke.bench import policy_model
from lovageyoke.bench import policy_upstream
from lovageyoke.bench import timeline
from lovageyoke.config import model
from lovageyoke.membership import api as membership_api
from lovageyoke.membership import static

TICK_MS = 20.0
WARMUP_MS = 2_000.0
EVENT_MS = 3_000.0
COLD_MS = 3_000.0
DURATION_MS = 9_000.0
SURGE_MS = 50.0
SURGE_FACTORS = (0.5, 0.8, 1.0, 1.2, 1.5)
WINDOW_MS = 1_000.0


class BudgetExceededError(AssertionError):
    """The fleet sent more probes in a window than its budget."""


@attrs.frozen
class RunResult:
    """What one run measured.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the policy.
        seed: Seed of the run.
        requests: Requests counted.
        p50_ms: Median latency.
        p99_ms: Latency that 99 in 100 requests stay within.
        p999_ms: Latency that 999 in 1,000 requests stay within.
        failed: Requests that failed.
        shed: Attempts that upstreams shed.
        probes_per_s: Mean probes a second of the whole fleet.
        max_probes: Most probes in any window of one second.
        late_work: Requests sent to a draining upstream after 3 s.
    """

    deployment: str
    scenario: str
    policy: str
    seed: int
    requests: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    failed: int
    shed: int
    probes_per_s: float
    max_probes: int
    late_work: int


class PolicyRun:
    """One deployment, scenario, policy and seed.

    Attributes:
        time: The virtual time.
        entries: The entry VMs.
        upstreams: The fake upstreams by id.
        tally: What callers saw.
    """

    def __init__(
        self,
        deployment: policy_model.Deployment,
        scenario: policy_model.Scenario,
        policy: str,
        seed: int,
    ) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self.policy = policy
        self.seed = seed
        self.time = timeline.Timeline()
        self.tally = policy_entry.Tally(WARMUP_MS)
        self.rate_factor = 1.0
        self.arrivals = random.Random(f"arrivals {seed}")  # noqa: S311
        self.upstreams = {
            f"u{index}": self.create_upstream(index)
            for index in range(deployment.upstreams)
        }
        self.entries = [
            self.create_entry(index) for index in range(policy_model.ENTRIES)
        ]

    def create_upstream(self, index: int) -> policy_upstream.FakeUpstream:
        """Returns a new fake upstream."""
        domains = policy_model.DOMAINS
        upstream = model.Upstream(
            f"u{index}", "127.0.0.1", 8_000, domains[index % len(domains)]
        )
        return policy_upstream.FakeUpstream(
            upstream,
            random.Random(f"upstream {index} {self.seed}"),  # noqa: S311
            self.deployment.service_ms,
            self.time,
            self.scenario.swings,
        )

    def create_entry(self, index: int) -> policy_entry.BenchEntry:
        """Returns a new entry VM."""
        members = tuple(
            membership_api.Member(f"e{each}", 1, "", "", "")
            for each in range(policy_model.ENTRIES)
        )
        entry_id = f"e{index}"
        domains = policy_model.DOMAINS
        entry = policy_entry.BenchEntry(
            failure_domain=domains[index % len(domains)],
            policy_name=self.policy,
            deployment=self.deployment,
            view=static.StaticMembership(entry_id, members),
            rng=random.Random(f"entry {index} {self.seed}"),  # noqa: S311
            tally=self.tally,
            time=self.time,
        )
        entry.set_upstreams(self.upstreams, 0.0)
        return entry

    def run(self) -> RunResult:
        """Runs to the end and returns the measurements.

        Raises:
            BudgetExceededError: A window had more probes than the budget.
        """
        self.time.schedule(0.0, self.arrive)
        self.time.schedule(EVENT_MS, self.disturb)
        if self.scenario.swings:
            self.time.schedule(0.0, self.surge)
        for entry in self.entries:
            offset_ms = self.arrivals.random() * TICK_MS
            self.time.schedule(offset_ms, self._ticker(entry))
        self.time.run(DURATION_MS)
        return self.result()

    def arrive(self) -> None:
        """Brings one request to a random entry VM."""
        index = int(self.arrivals.random() * len(self.entries))
        self.entries[index].arrive(self.time.now_ms)
        rate = self.deployment.arrivals_per_ms * self.rate_factor
        gap_ms = self.arrivals.expovariate(rate)
        self.time.schedule(self.time.now_ms + gap_ms, self.arrive)

    def surge(self) -> None:
        """Changes the rate of arrivals."""
        self.rate_factor = self.arrivals.choice(SURGE_FACTORS)
        self.time.schedule(self.time.now_ms + SURGE_MS, self.surge)

    def disturb(self) -> None:
        """Starts what the scenario names."""
        now_ms = self.time.now_ms
        if self.scenario.straggler:
            self.upstreams["u0"].straggles_ms = now_ms
        if self.scenario.drain:
            self.upstreams["u1"].drains_ms = now_ms
        if self.scenario.cold_start:
            self.add_cold_upstreams(now_ms)

    def add_cold_upstreams(self, now_ms: float) -> None:
        """Adds two upstreams that have to warm up."""
        first = self.deployment.upstreams
        for index in (first, first + 1):
            fake = self.create_upstream(index)
            fake.cold_from_ms = now_ms
            fake.cold_until_ms = now_ms + COLD_MS
            self.upstreams[fake.upstream.upstream_id] = fake
        for entry in self.entries:
            entry.set_upstreams(self.upstreams, now_ms)

    def result(self) -> RunResult:
        """Returns the measurements."""
        latencies = np.array(self.tally.latencies_ms)
        p50, p99, p999 = np.percentile(latencies, (50.0, 99.0, 99.9))
        most = max_in_window(self.tally.probes_ms)
        if most > max(1, int(self.deployment.probes_per_s)):
            raise BudgetExceededError(
                f"{most} probes in one second, the budget is"
                f" {self.deployment.probes_per_s}"
            )
        probes = sum(each >= WARMUP_MS for each in self.tally.probes_ms)
        seconds = (DURATION_MS - WARMUP_MS) / WINDOW_MS
        return RunResult(
            deployment=self.deployment.name,
            scenario=self.scenario.name,
            policy=self.policy,
            seed=self.seed,
            requests=len(latencies),
            p50_ms=float(p50),
            p99_ms=float(p99),
            p999_ms=float(p999),
            failed=self.tally.failed,
            shed=self.tally.shed,
            probes_per_s=probes / seconds,
            max_probes=most,
            late_work=sum(each.late_work for each in self.upstreams.values()),
        )

    def _ticker(self, entry: policy_entry.BenchEntry) -> Callable[[], None]:
        def tick() -> None:
            entry.tick(self.time.now_ms)
            self.time.schedule(self.time.now_ms + TICK_MS, tick)

        return tick


def max_in_window(times_ms: list[float]) -> int:
    """Returns the most events in any window of one second."""
    ordered = sorted(times_ms)
    first = 0
    most = 0
    for last, time_ms in enumerate(ordered):
        while time_ms - ordered[first] >= WINDOW_MS:
            first += 1
        most = max(most, last - first + 1)
    return most
