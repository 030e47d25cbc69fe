"""Requests of client accounts to a simulated fleet."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from collections.abc import Sequence

from fakes import fleet as fleet_fake
from lovageyoke.routing import model

WINDOW_MS = 5_000.0
OVER = 0.1
SLACK = 20.0

Place = Callable[[list[fleet_fake.Process]], fleet_fake.Process]


def configuration(
    version: int, accounts: Sequence[model.ClientAccount]
) -> model.Configuration:
    """Returns a configuration with accounts and no routes."""
    return model.Configuration(
        version, (), {}, model.CallerLimits(), tuple(accounts)
    )


def account(name: str, per_s: float, burst: float) -> model.ClientAccount:
    """Returns an account with a limit."""
    return model.ClientAccount(name, (name,), None, per_s, burst)


class AccountTraffic:
    """Sends the requests of one account until stopped.

    Attributes:
        fleet: The fleet.
        account: The account.
        per_s: Requests per second.
        place: Selects the process for the next request.
        is_random: Whether the times between requests are random.
        admitted_ms: When each admitted request arrived.
        refused_ms: When each refused request arrived.
    """

    def __init__(
        self,
        fleet: fleet_fake.Fleet,
        account: model.ClientAccount,
        per_s: float,
        place: Place | None = None,
        *,
        is_random: bool = False,
    ) -> None:
        self.fleet = fleet
        self.account = account
        self.per_s = per_s
        self.place = place or fleet.rng.choice
        self.is_random = is_random
        self.admitted_ms: list[float] = []
        self.refused_ms: list[float] = []
        self.schedule_next()

    def schedule_next(self) -> None:
        gap_ms = 1_000.0 / self.per_s
        if self.is_random:
            gap_ms = self.fleet.rng.expovariate(1.0 / gap_ms)
        self.fleet.schedule(gap_ms, self.send_request)

    def send_request(self) -> None:
        self.schedule_next()
        running = self.fleet.running()
        if not running:
            return
        process = self.place(running)
        node = process.node
        if process.paused or node.configuration is None:
            return
        accounts = node.configuration.accounts or ()
        if all(each.name != self.account.name for each in accounts):
            # Refused, as its key is unknown.
            return
        try_admit = node.quotas.try_admit(self.account.name)
        times = self.admitted_ms if try_admit is None else self.refused_ms
        times.append(self.fleet.clock.now_ms())
        if node.heartbeat_requested.is_set():
            node.heartbeat_requested.clear()
            process.messenger.send_heartbeats()

    def most_in_window(self, since_ms: float = 0.0) -> int:
        """Returns the most requests admitted in any window after a time."""
        times = self.admitted_ms
        first = bisect.bisect_left(times, since_ms)
        most = 0
        for last in range(first, len(times)):
            while times[first] < times[last] - WINDOW_MS:
                first += 1
            most = max(most, last - first + 1)
        return most

    def admitted_since(self, begin_ms: float) -> int:
        """Returns the number of requests admitted after a time."""
        first = bisect.bisect_left(self.admitted_ms, begin_ms)
        return len(self.admitted_ms) - first

    @property
    def bound(self) -> float:
        """Most requests in a window that the deployment tolerates."""
        quota = self.account.rate_per_s * WINDOW_MS / 1_000.0
        return (quota + self.account.burst) * (1.0 + OVER) + SLACK
