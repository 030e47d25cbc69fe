"""Estimates the service time and response size per route."""

from __future__ import annotations

from lovageyoke.routing import model
from lovageyoke.routing import placement

INITIAL_TARGET_SHARE = 0.4  # Targets allow for a slow upstream.
INITIAL_ANSWER_KB = 4.0
SMOOTHING = 0.05  # Weight of one answer.
MIN_SERVICE_MS = 1.0
INITIAL_SERVICE_MS = 100.0
# Keeps upstreams from being filled before this is known to be safe.
INITIAL_CONTENTION = 1.4
CONTENTION_SMOOTHING = 0.08  # Contended samples are rare at first.
MAX_SAMPLE_RATIO = 3.0
MIN_ROUTE_ANSWERS = 8
BYTES_PER_KB = 1_000.0


class WorkEstimates:
    """Estimated work by route and service.

    A route with fewer than ``MIN_ROUTE_ANSWERS`` answers uses the estimate
    of its service.

    Attributes:
        routes: Estimate and number of samples, by route and service.
        services: Estimates by service.
        contention: Factor on the service time under contention, by service.
    """

    def __init__(self) -> None:
        self.routes: dict[
            tuple[str, str], tuple[placement.WorkEstimate, int]
        ] = {}
        self.services: dict[str, placement.WorkEstimate] = {}
        self.contention: dict[str, float] = {}

    def estimate(
        self, route: model.Route, service: str, request_bytes: int = 0
    ) -> placement.WorkEstimate:
        """Returns the expected work of a request.

        Args:
            route: Its route.
            service: The service that serves it.
            request_bytes: Size of its body.
        """
        work, answers = self.routes.get((route.name, service), (None, 0))
        if work is None or answers < MIN_ROUTE_ANSWERS:
            work = self.services.get(service)
        if work is None:
            limit_ms = min(route.target_latency_ms, route.timeout_ms)
            initial_ms = limit_ms * INITIAL_TARGET_SHARE
            work = placement.WorkEstimate(initial_ms, INITIAL_ANSWER_KB)
        contention = self.contention.get(service, INITIAL_CONTENTION)
        return placement.WorkEstimate(
            work.service_ms,
            work.answer_kb,
            contention,
            request_bytes / BYTES_PER_KB,
        )

    def service_time_ms(self, service: str) -> float:
        """Returns the typical service time of a service, in ms."""
        work = self.services.get(service)
        return INITIAL_SERVICE_MS if work is None else work.service_ms

    def record(
        self,
        route: model.Route,
        service: str,
        *,
        elapsed_ms: float,
        slowdown: float,
        answer_bytes: int,
        contended: bool,
    ) -> None:
        """Updates the estimates with an answer.

        Args:
            route: The request's route.
            service: The service that served it.
            elapsed_ms: Time from sending to the answer.
            slowdown: Mean slowdown of the upstream meanwhile.
            answer_bytes: Size of the answer.
            contended: Whether the upstream was loaded above
                ``placement.CONTENTION_THRESHOLD``.
        """
        service_ms = max(MIN_SERVICE_MS, elapsed_ms / max(0.1, slowdown))
        answer_kb = answer_bytes / BYTES_PER_KB
        expected = self.estimate(route, service)
        if contended:
            self.record_contention(service, service_ms / expected.service_ms)
            return
        # Limits the effect of a single long queueing delay.
        service_ms = min(service_ms, MAX_SAMPLE_RATIO * expected.service_ms)
        sample = placement.WorkEstimate(service_ms, answer_kb)
        key = (route.name, service)
        work, answers = self.routes.get(key, (expected, 0))
        self.routes[key] = _smooth(work, sample), answers + 1
        whole = self.services.get(service, sample)
        self.services[service] = _smooth(whole, sample)

    def record_contention(self, service: str, slowdown: float) -> None:
        """Updates the contention factor with one slowdown sample."""
        slowdown = min(max(slowdown, 1.0), MAX_SAMPLE_RATIO)
        known = self.contention.get(service, INITIAL_CONTENTION)
        self.contention[service] = known + CONTENTION_SMOOTHING * (
            slowdown - known
        )

    def keep_only(self, names: set[str]) -> None:
        """Drops the estimates of removed routes."""
        self.routes = {
            key: each for key, each in self.routes.items() if key[0] in names
        }


def _smooth(
    previous: placement.WorkEstimate, sample: placement.WorkEstimate
) -> placement.WorkEstimate:
    return placement.WorkEstimate(
        previous.service_ms
        + SMOOTHING * (sample.service_ms - previous.service_ms),
        previous.answer_kb
        + SMOOTHING * (sample.answer_kb - previous.answer_kb),
    )
