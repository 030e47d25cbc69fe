"""A fleet whose service is loaded beyond its capacity, in virtual time.

The processes run the real decisions: races, admission queues, selection of
upstreams, budgets. Only upstreams, callers and messages are simulated. There
is about one upstream for each process, as in the deployments that this
models, so a process mostly sees one or two waiting requests of its own.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import os
import random

import anyio
import attrs

from fakes import nodes
from fakes import scarce_upstreams
from lovageyoke.clock import virtual
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.fleet import members
from lovageyoke.fleet import messages as fleet_messages
from lovageyoke.hop import messages
from lovageyoke.node import forwarder as node_forwarder
from lovageyoke.node import race as node_race
from lovageyoke.node import state
from lovageyoke.observe import events
from lovageyoke.platform import headers
from lovageyoke.routing import load_view
from lovageyoke.routing import model

SERVICE = "stockview"
PERIOD_MS = 40.0  # Between two exchanges of loads and waiting counts.
MESSAGE_MS = 5.0
MAX_RESOLVE_MS = 10.0
SETTLED_MS = 1_500.0  # Estimates have settled; results count from here.
LATE_VALUE = 0.1
MAX_TRIES = 4  # Of a caller that retries at once.


@attrs.frozen
class RequestKind:
    """A kind of request."""

    name: str
    priority: int
    share: float
    work_ms: float
    target_ms: float
    deadline_ms: float
    safe: bool = False
    value: float = 0.87

    @property
    def route(self) -> model.Route:
        rule = model.RepeatRule
        return model.Route(
            self.name,
            "h",
            "/",
            rule.IDEMPOTENT if self.safe else rule.AT_MOST_ONCE,
            (model.Target(SERVICE, 1.0),),
            self.deadline_ms,
            self.target_ms,
            2,
            self.priority,
        )


# The kinds of a weaving mill's booking service, all at one service.
KINDS = (
    RequestKind("booking", 0, 1.2, 84.0, 250.0, 1_200.0, value=5.0),
    RequestKind("look-up", 1, 5.0, 120.0, 300.0, 1_500.0, safe=True),
    RequestKind("confirmation", 1, 0.6, 96.0, 250.0, 1_200.0),
    RequestKind("reservation", 2, 2.0, 160.0, 800.0, 2_000.0),
)


@attrs.frozen
class Load:
    """The load of one run.

    Attributes:
        factor: Load over the capacity of the upstreams that aren't slow.
        processes: Number of processes and of upstreams.
        duration_ms: Time during which requests arrive.
        accounts: Number of client accounts, 0 for none.
        busy_factor: Rate of the first account over its usual one.
        repeating: Share of callers that retry at once, three times.
        kind_factors: Rates of some kinds over their usual ones.
    """

    factor: float = 1.7
    processes: int = 24
    duration_ms: float = 4_500.0
    accounts: int = 0
    busy_factor: float = 1.0
    repeating: float = 0.0
    kind_factors: tuple[tuple[str, float], ...] = ()


@attrs.define
class Results:
    """What a group of callers got."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0

    @property
    def served(self) -> float:
        """Share of callers that got a response."""
        return (self.in_time + self.late) / max(1, self.sent)

    @property
    def value(self) -> float:
        """Mean value of a request, 1 for a response in time."""
        return (self.in_time + LATE_VALUE * self.late) / max(1, self.sent)


class Fleet:
    """The processes, their upstreams and callers."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)  # noqa: S311
        # Arrivals and paces are the same whatever the processes decide.
        self.arrivals = random.Random(f"arrivals {seed}")  # noqa: S311
        paces = random.Random(f"paces {seed}")  # noqa: S311
        self.clock = virtual.LoopClock()
        self.upstreams = scarce_upstreams.SimulatedUpstreams(
            self.clock, paces, load.processes
        )
        log = events.EventLog(self.clock, "n", os.open(os.devnull, os.O_WRONLY))
        self.nodes = [
            self.create_node(index, log) for index in range(load.processes)
        ]
        self.by_kind: dict[str, Results] = collections.defaultdict(Results)
        self.by_account: dict[str, Results] = collections.defaultdict(Results)

    def create_node(self, index: int, log: events.EventLog) -> state.NodeState:
        def member(name: str, capacity: int) -> fleet_messages.MemberState:
            peer = fleet_messages.Peer(name, "127.0.0.1", 1, "-", "a")
            return fleet_messages.MemberState(
                peer, 1, 1, ready=True, capacity=capacity
            )

        processes = members.Members(member(f"n{index}", 30))
        node = state.NodeState(
            settings=nodes.settings(),
            clock=self.clock,
            rng=random.Random(self.rng.random()),  # noqa: S311
            log=log,
            client=self.upstreams,
            decode_load=headers.decode_load,
            decode_rate_limit=headers.decode_rate_limit,
            decode_cold_time=headers.decode_cold_time,
            members=processes,
        )
        for other in range(self.load.processes):
            processes.merge(member(f"n{other}", 30), 0.0)
        node.period_ms = PERIOD_MS
        node.apply_upstreams(
            [
                model.Upstream(
                    f"u{port}",
                    1,
                    SERVICE,
                    "127.0.0.1",
                    port,
                    "a",
                    scarce_upstreams.SLOTS,
                )
                for port in range(self.load.processes)
            ]
        )
        return node

    async def exchange(self) -> None:
        """Exchanges loads and waiting counts until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            made_ms = self.clock.now_ms()
            reports = [
                self.upstreams.report(port)
                for port in range(self.load.processes)
            ]
            counts: collections.Counter[str] = collections.Counter()
            for node in self.nodes:
                counts.update(dict(node.waiting_counts(made_ms)))
            loop.call_later(
                MESSAGE_MS / 1_000.0,
                self.deliver,
                reports,
                tuple(counts.items()),
                made_ms,
            )
            await self.clock.sleep_ms(PERIOD_MS)

    def deliver(
        self,
        reports: list[load_view.LoadReport],
        counts: tuple[tuple[str, int], ...],
        made_ms: float,
    ) -> None:
        """Delivers a collector's message to all processes."""
        now_ms = self.clock.now_ms()
        for node in self.nodes:
            for port, report in enumerate(reports):
                view = node.loads.by_id[f"u{port}"]
                node.loads.apply_report(view, report, made_ms)
            for member in node.members.others.values():
                member.heard_ms = now_ms
            collector = next(iter(node.members.others.values()))
            collector.collector_heard_ms = now_ms
            node.members.collectors[collector.peer.node_id] = collector
            collector.waiting = counts

    async def poll(self, node: state.NodeState) -> None:
        """Starts queued requests of one process until cancelled."""
        await self.clock.sleep_ms(
            self.rng.uniform(0.0, state.ADMIT_INTERVAL_MS)
        )
        while True:
            await node.request_queued.wait()
            await self.clock.sleep_ms(state.ADMIT_INTERVAL_MS)
            node.admit_queued()

    async def call(
        self, kind: RequestKind, account: str | None, repeats: bool
    ) -> None:
        """Sends a request; retries it after a refusal."""
        first_ms = self.clock.now_ms()
        results = [self.by_kind[kind.name]]
        if account is not None:
            results.append(self.by_account[account])
        if first_ms < SETTLED_MS:
            results = [Results()]
        for each in results:
            each.sent += 1
        error = await self.try_until_served(kind, account, repeats)
        took_ms = self.clock.now_ms() - first_ms
        for each in results:
            if error is None:
                each.in_time += took_ms <= kind.target_ms
                each.late += took_ms > kind.target_ms
            elif error is kinds.ErrorKind.OVERLOADED:
                each.refused += 1
            else:
                each.lost += 1

    async def try_until_served(
        self, kind: RequestKind, account: str | None, repeats: bool
    ) -> kinds.ErrorKind | None:
        """Sends the tries of one caller; returns the last error if any."""
        error: kinds.ErrorKind | None = None
        first_ms = self.clock.now_ms()
        for _ in range(MAX_TRIES if repeats else 2):
            left_ms = kind.deadline_ms - (self.clock.now_ms() - first_ms)
            if left_ms <= 0.0:
                break
            error, delay_ms = await self.send(kind, account, left_ms)
            if error is not kinds.ErrorKind.OVERLOADED:
                break
            if not repeats:
                await self.clock.sleep_ms(min(delay_ms, left_ms / 3.0))
        return error

    async def send(
        self, kind: RequestKind, account: str | None, left_ms: float
    ) -> tuple[kinds.ErrorKind | None, float]:
        """Sends one request to a random process.

        Returns:
            The error, None if it was served, and the stated delay.
        """
        node = self.rng.choice(self.nodes)
        now_ms = self.clock.now_ms()
        request = messages.Request(
            b"GET",
            b"/",
            [(b"host", b"h"), (b"work", str(kind.work_ms).encode())],
            arrived_ms=now_ms,
        )
        left_ms -= self.rng.uniform(0.0, MAX_RESOLVE_MS)
        node.retry_budget(SERVICE).record_request(now_ms)
        waited_ms = node.caller_waits.record(kind.name, left_ms)
        sending = self.upstreams.prepare(request, kind.safe, now_ms + left_ms)
        race = node_race.Race(
            node, sending, kind.route, SERVICE, None, waited_ms=waited_ms
        )
        race.account = account  # type: ignore[attr-defined,unused-ignore]
        try:
            outcome = await race.run()
        except exceptions.UpstreamError as error:
            return error.kind, 0.0
        if outcome.response is not None:
            return None, 0.0
        forwarder = node_forwarder.Forwarder(node, headers.decode_deadline)
        delay_ms = forwarder.retry_after_ms(
            outcome.kind or kinds.ErrorKind.INTERNAL, race
        )
        return outcome.kind, delay_ms or 0.0

    async def run(self) -> None:
        """Runs the load to its end."""
        draw = self.callers()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.upstreams.change_paces)
            tasks.start_soon(self.exchange)
            for node in self.nodes:
                tasks.start_soon(self.poll, node)
            async with anyio.create_task_group() as calls:
                rate = (
                    self.load.processes
                    * scarce_upstreams.SLOTS
                    * (1.0 - scarce_upstreams.SLOW_SHARE)
                )
                shares = [each.share for each in KINDS]
                work = [each.share * each.work_ms for each in KINDS]
                rate *= self.load.factor * sum(shares) / sum(work)
                while self.clock.now_ms() < self.load.duration_ms:
                    calls.start_soon(self.call, *draw())
                    gap_ms = self.arrivals.expovariate(rate)
                    await self.clock.sleep_ms(gap_ms)
            tasks.cancel_scope.cancel()

    def callers(
        self,
    ) -> Callable[[], tuple[RequestKind, str | None, bool]]:
        """Returns a function that draws the next caller."""
        factors = dict(self.load.kind_factors)
        shares = [each.share * factors.get(each.name, 1.0) for each in KINDS]
        accounts = [f"a{index}" for index in range(self.load.accounts)]
        rates = [1.0 / (index + 3.0) for index in range(len(accounts))]
        if rates:
            rates[0] *= self.load.busy_factor

        def draw() -> tuple[RequestKind, str | None, bool]:
            kind = self.arrivals.choices(KINDS, shares)[0]
            account = None
            if accounts:
                account = self.arrivals.choices(accounts, rates)[0]
            return kind, account, self.arrivals.random() < self.load.repeating

        return draw


def simulate(load: Load, seed: int) -> Fleet:
    """Runs a load and returns the fleet with the results."""

    async def run() -> Fleet:
        fleet = Fleet(load, seed)
        await fleet.run()
        return fleet

    options = {"loop_factory": virtual.VirtualEventLoop}
    return anyio.run(run, backend_options=options)
