"""A small queueing fake of one upstream, in virtual time."""

from __future__ import annotations

import collections
from collections.abc import Callable
import random

from lovageyoke.bench import timeline
from lovageyoke.config import model
from lovageyoke.routing import api

MAX_QUEUE = 12
STRAGGLER_SLOWDOWN = 10.0
COLD_SLOWDOWN = 5.0
NOISY_SLOWDOWN = 4.0
QUIET_MS = 900.0
NOISY_MS = 60.0
DRAIN_GRACE_MS = 3_000.0

Done = Callable[[api.Result, api.LoadReport], None]


class FakeUpstream:
    """Serves requests in a few slots, with a bounded queue.

    Attributes:
        upstream: Its configuration.
        rng: Source of random numbers.
        service_ms: Mean time that an undisturbed slot needs.
        swings: Whether neighbours take its capacity at times.
        in_flight: Requests that it is serving.
        queue: Requests that wait.
        straggles_ms: From when it is far slower.
        drains_ms: From when it wants no new work.
        cold_until_ms: Until when it warms up.
        late_work: Requests that came after the grace time of a drain.
    """

    def __init__(
        self,
        upstream: model.Upstream,
        rng: random.Random,
        service_ms: float,
        time: timeline.Timeline,
        swings: bool,
    ) -> None:
        self.upstream = upstream
        self.rng = rng
        self.service_ms = service_ms
        self.time = time
        self.swings = swings
        self.in_flight = 0
        self.queue: collections.deque[Done] = collections.deque()
        self.straggles_ms = float("inf")
        self.drains_ms = float("inf")
        self.cold_from_ms = 0.0
        self.cold_until_ms = float("-inf")
        self.late_work = 0
        self.noisy = False
        self.toggles_ms = rng.expovariate(1.0 / QUIET_MS)

    def report(self, now_ms: float) -> api.LoadReport:
        """Returns what it says of its load."""
        return api.LoadReport(
            in_flight=self.in_flight,
            queued=len(self.queue),
            draining=now_ms >= self.drains_ms,
            cold=now_ms < self.cold_until_ms,
        )

    def arrive(self, now_ms: float, done: Done) -> None:
        """Takes a request, or sheds it."""
        if now_ms >= self.drains_ms + DRAIN_GRACE_MS:
            self.late_work += 1
        if self.in_flight < self.upstream.slots:
            self._serve(now_ms, done)
        elif len(self.queue) < MAX_QUEUE:
            self.queue.append(done)
        else:
            done(api.Result.SHED, self.report(now_ms))

    def slowdown(self, now_ms: float) -> float:
        """Returns how many times longer a request takes now."""
        factor = 1.0
        if self.swings:
            factor = self._noise(now_ms)
        if now_ms >= self.straggles_ms:
            factor *= STRAGGLER_SLOWDOWN
        if now_ms < self.cold_until_ms:
            left = self.cold_until_ms - now_ms
            part = left / (self.cold_until_ms - self.cold_from_ms)
            factor *= 1.0 + (COLD_SLOWDOWN - 1.0) * part
        return factor

    def _serve(self, now_ms: float, done: Done) -> None:
        self.in_flight += 1
        work_ms = self.rng.gammavariate(2.0, self.service_ms / 2.0)
        end_ms = now_ms + work_ms * self.slowdown(now_ms)
        self.time.schedule(end_ms, lambda: self._finish(end_ms, done))

    def _finish(self, now_ms: float, done: Done) -> None:
        self.in_flight -= 1
        if self.queue:
            self._serve(now_ms, self.queue.popleft())
        done(api.Result.OK, self.report(now_ms))

    def _noise(self, now_ms: float) -> float:
        while now_ms >= self.toggles_ms:
            self.noisy = not self.noisy
            mean_ms = NOISY_MS if self.noisy else QUIET_MS
            self.toggles_ms += self.rng.expovariate(1.0 / mean_ms)
        return NOISY_SLOWDOWN if self.noisy else 1.0
