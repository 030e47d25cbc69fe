"""Order, displacement and starvation in the admission queue."""

from __future__ import annotations

import math
import random

import attrs
import hypothesis
from hypothesis import strategies
import pytest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.limits import admission_queue
from lovageyoke.limits import retry_after
from lovageyoke.routing import load_view

TARGET_MS = 200.0
GIVE_UP_MS = 600.0


@attrs.define
class Arrival:
    """An arriving request."""

    name: str
    priority: int = 1
    account: str | None = None
    kind: str = "k"
    waited_ms: float = 0.0
    give_up_ms: float = GIVE_UP_MS
    target_ms: float = TARGET_MS


class Scene:
    """A queue in front of free slots; times are counted from an arrival."""

    def __init__(self, interval_ms: float = 5.0) -> None:
        self.queue = admission_queue.AdmissionQueue()
        self.queue.start_interval_ms = interval_ms
        self.free = 0
        self.started: list[str] = []
        self.refused: list[str] = []
        self.waits_ms: dict[str, float] = {}
        self.now_ms = 0.0

    def arrive(self, arrival: Arrival, sends: float = math.inf) -> bool:
        arrived_ms = self.now_ms
        groups = admission_queue.groups_of(arrival.kind, arrival.account)
        self.queue.shares.record_arrival(groups, arrived_ms)

        def end(names: list[str]) -> None:
            names.append(arrival.name)
            self.waits_ms[arrival.name] = self.now_ms - arrived_ms

        def start(freed: load_view.UpstreamView | None) -> bool:
            del freed
            if self.free == 0:
                return False
            self.free -= 1
            end(self.started)
            self.queue.shares.record_start(groups, 100.0, self.now_ms)
            return True

        request = admission_queue.QueuedRequest(
            arrival.priority,
            arrived_ms,
            arrived_ms + arrival.target_ms - arrival.waited_ms,
            arrived_ms + arrival.give_up_ms,
            start,
            lambda: end(self.refused),
            arrival.kind,
            arrival.account,
            arrival.waited_ms,
        )
        if not self.queue.enter(request, self.now_ms, sends):
            end(self.refused)
            return False
        return True

    def admit(self, now_ms: float, free: int) -> None:
        self.now_ms = now_ms
        self.free = free
        self.queue.admit(now_ms)


@pytest.fixture
def scene() -> Scene:
    return Scene()


def test_urgent_arrival_displaces_one_that_would_wait_in_vain() -> None:
    """Guards against callers that learn of the refusal only at expiry."""
    scene = Scene(interval_ms=250.0)
    scene.arrive(Arrival("first", priority=2))
    scene.arrive(Arrival("second", priority=2))
    scene.arrive(Arrival("urgent", priority=0))
    assert_that(scene.refused, matchers.Equals(["second"]))
    assert_that(scene.waits_ms["second"], matchers.Equals(0.0))
    scene.admit(10.0, free=2)
    assert_that(scene.started, matchers.Equals(["urgent", "first"]))
    assert_that(scene.queue.refusals(), matchers.Equals({"displaced_p2": 1}))


def test_arrival_displaces_none_of_its_own_priority() -> None:
    scene = Scene(interval_ms=250.0)
    scene.arrive(Arrival("first"))
    scene.arrive(Arrival("second"))
    assert_that(scene.arrive(Arrival("third")), matchers.Equals(False))
    assert_that(scene.refused, matchers.Equals(["third"]))


def test_urgent_arrival_takes_the_place_under_a_rate_limit(
    scene: Scene,
) -> None:
    """Guards against a less urgent request that holds the only send."""
    scene.arrive(Arrival("first", priority=2), sends=1.0)
    assert_that(
        scene.arrive(Arrival("urgent", priority=1), sends=1.0),
        matchers.Equals(True),
    )
    assert_that(scene.refused, matchers.Equals(["first"]))


def test_account_with_high_use_yields_to_others(scene: Scene) -> None:
    """Guards against an account at 7.5 times its rate filling the queue."""
    for index in range(12):
        scene.arrive(Arrival(f"busy{index}", account="busy"))
    scene.admit(10.0, free=8)
    scene.arrive(Arrival("other", account="other"))
    scene.admit(20.0, free=1)
    assert_that(scene.started[-1], matchers.Equals("other"))


def test_caller_that_repeats_at_once_overtakes_none(scene: Scene) -> None:
    """Guards against an order by first attempt, which rewards repeats."""
    scene.arrive(Arrival("waiting"))
    scene.now_ms = 10.0
    scene.arrive(Arrival("repeated", waited_ms=50.0))
    scene.admit(20.0, free=1)
    assert_that(scene.started, matchers.Equals(["waiting"]))


def test_late_arrival_starts_behind_late_ones_that_wait(scene: Scene) -> None:
    scene.arrive(Arrival("late"))
    ahead = scene.queue.starts_ahead
    assert_that(ahead(1, True, 300.0), matchers.Equals(False))
    assert_that(ahead(0, True, 300.0), matchers.Equals(True))
    assert_that(ahead(2, False, 300.0), matchers.Equals(True))
    assert_that(ahead(1, False, 0.0), matchers.Equals(False))


ARRIVALS = strategies.lists(
    strategies.builds(
        Arrival,
        name=strategies.uuids().map(str),
        priority=strategies.integers(0, 3),
        account=strategies.sampled_from([None, "a", "b"]),
        kind=strategies.sampled_from(["k", "l"]),
        waited_ms=strategies.sampled_from([0.0, 50.0, 400.0]),
        give_up_ms=strategies.floats(50.0, 900.0),
    ),
    max_size=40,
)


@hypothesis.given(
    ARRIVALS,
    strategies.floats(1.0, 200.0),
    strategies.lists(strategies.integers(0, 4), max_size=40),
)
def test_every_request_ends_once_and_within_its_wait(
    arrivals: list[Arrival], interval_ms: float, free: list[int]
) -> None:
    """Guards against requests lost, ended twice or kept past their time."""
    scene = Scene(interval_ms)
    step_ms = 20.0
    slots = iter(free)
    for arrival in arrivals:
        scene.arrive(arrival)
        scene.admit(scene.now_ms + step_ms, next(slots, 0))
    while scene.queue.queued:
        scene.admit(scene.now_ms + step_ms, next(slots, 0))
    ended = scene.started + scene.refused
    assert_that(
        sorted(ended), matchers.Equals(sorted(each.name for each in arrivals))
    )
    for arrival in arrivals:
        assert_that(
            scene.waits_ms[arrival.name],
            matchers.LessThan(arrival.give_up_ms + step_ms),
        )


@hypothesis.given(ARRIVALS, strategies.floats(1.0, 200.0))
def test_arrival_never_displaces_a_more_urgent_request(
    arrivals: list[Arrival], interval_ms: float
) -> None:
    scene = Scene(interval_ms)
    by_name = {each.name: each for each in arrivals}
    for arrival in arrivals:
        refused = len(scene.refused)
        scene.arrive(arrival)
        for name in scene.refused[refused:]:
            victim = by_name[name]
            assert_that(
                victim.priority >= arrival.priority, matchers.Equals(True)
            )
            if victim is not arrival and victim.priority == arrival.priority:
                assert_that(victim.account, matchers.Not(matchers.Equals(None)))


@hypothesis.given(
    strategies.integers(2, 6), strategies.floats(1.0, 3.0), strategies.randoms()
)
def test_less_urgent_kind_gets_a_quarter_of_the_average_share(
    urgent_per_step: int, capacity: float, rng: random.Random
) -> None:
    """Guards against starvation while a more urgent kind takes everything."""
    scene = Scene()
    arrived = 0
    owed = 0.0
    for step in range(400):
        for index in range(urgent_per_step):
            scene.arrive(Arrival(f"u{step}-{index}", priority=0, kind="urgent"))
        if rng.random() < 0.5:
            arrived += 1
            scene.arrive(Arrival(f"s{step}", priority=2, kind="patient"))
        owed += min(capacity, urgent_per_step)
        scene.admit(scene.now_ms + 20.0, int(owed))
        owed -= int(owed)
    hypothesis.assume(arrived > 50)
    served = sum(name.startswith("s") for name in scene.started)
    total = urgent_per_step * 400 + arrived
    average = len(scene.started) / total
    assert_that(
        served / arrived, matchers.GreaterThan(0.25 * average - 1.0 / arrived)
    )


@hypothesis.given(
    strategies.floats(0.0, 5_000.0),
    strategies.floats(0.0, 10_000.0),
    strategies.integers(0, 1_000),
)
def test_retry_after_is_at_most_a_third_of_the_time_left(
    expected_ms: float, left_ms: float, seed: int
) -> None:
    rng = random.Random(seed)  # noqa: S311
    delay_ms = retry_after.delay_ms(expected_ms, left_ms, rng)
    assert_that(delay_ms <= left_ms / 3.0 + 1e-9, matchers.Equals(True))
    assert_that(delay_ms >= 0.0, matchers.Equals(True))


def test_retry_after_spreads_callers_refused_together() -> None:
    """Guards against callers that return at once when the cap applies."""
    rng = random.Random(1)  # noqa: S311
    delays_ms = [retry_after.delay_ms(900.0, 900.0, rng) for _ in range(200)]
    assert_that(min(delays_ms), matchers.LessThan(170.0))
    assert_that(max(delays_ms), matchers.GreaterThan(280.0))
