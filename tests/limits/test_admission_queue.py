"""Order and expiry of the admission queue."""

from __future__ import annotations

from typing import Any

from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.limits import admission_queue
from lovageyoke.routing import load_view


class Scene:
    """A queue in front of a number of free slots."""

    def __init__(self) -> None:
        self.queue = admission_queue.AdmissionQueue()
        self.free = 0
        self.started: list[str] = []
        self.refused: list[str] = []

    def create(
        self,
        name: str,
        priority: int = 1,
        target_ms: float = 200.0,
        give_up_ms: float = 600.0,
        fits: bool = True,
    ) -> admission_queue.QueuedRequest:
        def start(freed: load_view.UpstreamView | None) -> bool:
            del freed
            if self.free == 0 or not fits:
                return False
            self.free -= 1
            self.started.append(name)
            return True

        return admission_queue.QueuedRequest(
            priority,
            0.0,
            target_ms,
            give_up_ms,
            start,
            lambda: self.refused.append(name),
        )

    def enter(self, name: str, **fields: Any) -> admission_queue.QueuedRequest:
        queued_request = self.create(name, **fields)
        self.queue.add(queued_request)
        return queued_request

    def admits(self, priority: int, now_ms: float, left_ms: float) -> bool:
        arriving = self.create(
            "arriving", priority=priority, give_up_ms=now_ms + left_ms
        )
        entered = self.queue.enter(arriving, now_ms)
        self.queue.remove(arriving)
        return entered

    def admit(self, now_ms: float, free: int) -> None:
        self.free = free
        self.queue.admit(now_ms)


def test_most_urgent_request_goes_first() -> None:
    scene = Scene()
    scene.enter("later", target_ms=300.0)
    scene.enter("sooner", target_ms=200.0)
    scene.enter("rank", priority=0, target_ms=400.0)
    scene.admit(0.0, free=2)
    assert_that(scene.started, matchers.Equals(["rank", "sooner"]))


def test_late_requests_wait_behind_those_in_time() -> None:
    scene = Scene()
    scene.enter("late", priority=0, target_ms=50.0)
    scene.enter("in-time", target_ms=200.0)
    scene.admit(100.0, free=1)
    assert_that(scene.started, matchers.Equals(["in-time"]))
    scene.admit(110.0, free=1)
    assert_that(scene.started, matchers.Equals(["in-time", "late"]))


def test_late_requests_use_capacity_unfit_for_the_others() -> None:
    scene = Scene()
    scene.enter("in-time", target_ms=200.0, fits=False)
    scene.enter("late", target_ms=50.0)
    scene.enter("later", target_ms=60.0)
    scene.admit(100.0, free=1)
    assert_that(scene.started, matchers.Equals(["late"]))
    assert_that(scene.queue.any_in_time(100.0), matchers.Equals(True))
    assert_that(scene.queue.any_in_time(201.0), matchers.Equals(False))


def test_expired_request_is_refused() -> None:
    scene = Scene()
    scene.enter("old", give_up_ms=100.0)
    scene.admit(100.0, free=1)
    assert_that(scene.refused, matchers.Equals(["old"]))
    assert_that(scene.started, matchers.Equals([]))


def test_requests_that_would_outlast_a_stop_are_refused_in_time() -> None:
    # Guards against queued requests that are cut at the end of the process.
    scene = Scene()
    long = scene.enter("long", give_up_ms=9_000.0)
    long.run_ms = 800.0
    scene.enter("short", give_up_ms=9_000.0)
    scene.enter("hasty", give_up_ms=300.0)
    scene.queue.end_waits_by(1_000.0, 200.0)
    assert_that(scene.refused, matchers.Equals(["long"]))
    scene.admit(300.0, free=0)
    assert_that(scene.refused, matchers.Equals(["long", "hasty"]))
    scene.admit(1_000.0, free=1)
    assert_that(scene.refused, matchers.Equals(["long", "hasty", "short"]))


def test_request_of_a_disconnected_caller_is_removed() -> None:
    scene = Scene()
    queued_request = scene.enter("gone")
    scene.queue.remove(queued_request)
    scene.queue.remove(queued_request)
    scene.admit(0.0, free=1)
    assert_that(scene.started, matchers.Equals([]))


def test_request_that_cannot_start_in_time_is_not_admitted() -> None:
    scene = Scene()
    assert_that(scene.admits(1, 0.0, 1.0), matchers.Equals(True))
    for index in range(40):
        scene.enter(str(index))
    for step in range(1, 11):
        scene.admit(step * 50.0, free=1)
    wait_ms = scene.queue.expected_wait_ms(1)
    assert_that(wait_ms, matchers.GreaterThan(600.0))
    assert_that(scene.admits(1, 500.0, 600.0), matchers.Equals(False))
    assert_that(scene.admits(0, 500.0, 600.0), matchers.Equals(True))
