"""Requests of a fleet to a service with one rate-limited upstream."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from fakes import fleet as fleet_fake
from lovageyoke.node import feedback
from lovageyoke.node import upstream_selector
from lovageyoke.routing import load_view
from lovageyoke.routing import model

SERVICE_MS = 150.0
DEADLINE_MS = 1_200.0
WINDOW_MS = 4_000.0  # The users count requests in windows of this length.
ROUTE = model.Route(
    "r",
    "h",
    "/",
    model.RepeatRule.IDEMPOTENT,
    (model.Target("maps", 1.0),),
    DEADLINE_MS,
    400.0,
    2,
    0,
)


def allowed(per_s: float) -> float:
    """Returns the users' bound on requests in a window."""
    return 1.5 * WINDOW_MS / 1_000.0 * per_s + 5.0


@attrs.frozen
class Send:
    """A request that was sent to the limited upstream.

    Attributes:
        at_ms: When it was sent.
        node_id: The process that sent it.
    """

    at_ms: float
    node_id: str


class LimitedTraffic:
    """Sends requests to random processes of a fleet until stopped.

    Attributes:
        fleet: The fleet.
        upstream_id: The limited upstream.
        headers: Headers of its responses.
        requests_per_s: Requests per second in the fleet.
        sends: Requests sent to it.
        served: Requests sent to any upstream.
        refused: Requests for which no upstream was selected.
    """

    def __init__(
        self,
        fleet: fleet_fake.Fleet,
        upstream_id: str,
        requests_per_s: float,
    ) -> None:
        self.fleet = fleet
        self.upstream_id = upstream_id
        self.headers: list[tuple[bytes, bytes]] = []
        self.requests_per_s = requests_per_s
        self.sends: list[Send] = []
        self.served = 0
        self.refused = 0
        self.schedule_next()

    def state_limit(self, per_s: float | None) -> None:
        """Sets the limit in the upstream's responses, None for none."""
        self.headers = []
        if per_s is not None:
            self.headers = [(b"server-limit", str(per_s).encode())]

    def schedule_next(self) -> None:
        gap_ms = self.fleet.rng.expovariate(self.requests_per_s / 1_000.0)
        self.fleet.schedule(gap_ms, self.send_request)

    def send_request(self) -> None:
        self.schedule_next()
        process = self.fleet.rng.choice(self.fleet.running())
        if process.paused:
            return
        now_ms = self.fleet.clock.now_ms()
        node = process.node
        node.retry_budget("maps").record_request(now_ms)
        selector = upstream_selector.UpstreamSelector(
            node, ROUTE, "maps", now_ms, now_ms + DEADLINE_MS
        )
        choice = selector.select_first(None, was_queued=False)
        if choice is None:
            self.refused += 1
            return
        self.served += 1
        choice.view.record_send(now_ms)
        if choice.view.upstream.upstream_id == self.upstream_id:
            self.sends.append(Send(now_ms, process.node_id))
        self.fleet.schedule(
            SERVICE_MS, self.response(process, choice.view, now_ms)
        )

    def response(
        self,
        process: fleet_fake.Process,
        view: load_view.UpstreamView,
        sent_ms: float,
    ) -> Callable[[], None]:
        node = process.node
        is_limited = view.upstream.upstream_id == self.upstream_id
        headers = self.headers if is_limited else []

        def respond() -> None:
            view.own_in_flight -= 1
            if process.is_running and process.node is node:
                feedback.record_head(node, view, sent_ms, 200, headers)
                if node.heartbeat_requested.is_set():
                    node.heartbeat_requested.clear()
                    process.messenger.send_heartbeats()

        return respond

    def limits(self) -> list[float | None]:
        """Returns the limit that each running process knows."""
        views = [
            each.node.loads.by_id[self.upstream_id]
            for each in self.fleet.running()
        ]
        return [
            each.rate_limit.per_s if each.rate_limit else None for each in views
        ]

    def all_know(self, per_s: float | None) -> bool:
        return set(self.limits()) == {per_s}

    def most_in_window(self, since_ms: float, window_ms: float) -> int:
        """Returns the most requests sent in any window after a time."""
        times = [each.at_ms for each in self.sends if each.at_ms >= since_ms]
        most = 0
        first = 0
        for last, at_ms in enumerate(times):
            while times[first] < at_ms - window_ms:
                first += 1
            most = max(most, last - first + 1)
        return most

    def sent_since(self, since_ms: float) -> int:
        return sum(each.at_ms >= since_ms for each in self.sends)
