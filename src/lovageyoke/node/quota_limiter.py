"""Keeps the requests of client accounts within their fleet-wide quotas.

The collectors keep count of the tokens of each account: of the requests that
the processes of their failure domain report, and of those that the other
collectors report. They report to their domain which quotas are nearly used up.
A process that hears no collector uses its share of the rate.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import math
import random

from lovageyoke.clock import api as clock_api
from lovageyoke.fleet import members as fleet_members
from lovageyoke.limits import account_use
from lovageyoke.limits import account_uses
from lovageyoke.limits import quota
from lovageyoke.node import quota_exchange
from lovageyoke.node import report_exchange
from lovageyoke.observe import events
from lovageyoke.routing import model

# After its start a process waits this long for a collector before it takes
# itself for isolated.
ESTABLISHED_MS = 400.0
# Time without a collector after which a process is isolated.
COLLECTOR_TIMEOUT_MS = 500.0
COLLECTOR_TIMEOUT_PERIODS = 2.0
SHARE_INTERVAL_MS = 50.0
# All processes know a count after so many heartbeat periods, and this time in
# addition.
DELAY_PERIODS = 2.0
DELAY_MS = 20.0
# In overload the present tokens are used within so many such delays.
HORIZON_DELAYS = 2.5
MAX_HORIZON_MS = 1_500.0
MIN_DEMAND_DECAY_MS = 300.0
MAX_DEMAND_GROWTH = 3.0
# A sudden load by this multiple of an account's rate must not exceed its
# tokens before it is known; if it could, counts are sent early.
SURGE = 6.5
COLLECTOR_EARLY_SHARE = 0.25  # Of the period, between early heartbeats.
LIMITED_MS = 5_000.0  # Time without a refusal after which limiting has ended.
MS_PER_SECOND = 1_000.0

Mode = account_use.Mode


class QuotaLimiter:
    """The quotas of all client accounts.

    Attributes:
        clock: Source of time.
        rng: Source of random numbers.
        log: The event log.
        members: The processes of the fleet.
        request_heartbeat: Requests a heartbeat at once; the argument tells
            whether the other failure domains need it too.
        period_ms: Returns the time between two heartbeats.
        tolerance: By how much a window may exceed a quota.
        started_ms: When this process started.
        accounts: The accounts with a limit, and the use of their quotas.
        exchange: Sends and receives counts and levels.
        mode: Where the tokens are known from.
        share: Share of the rates that a collector's group or an isolated
            process may use.
        share_until_ms: When the share is computed again.
        early_ms: When a heartbeat was last requested early.
    """

    def __init__(
        self,
        *,
        clock: clock_api.Clock,
        rng: random.Random,
        log: events.EventLog,
        members: fleet_members.Members,
        request_heartbeat: report_exchange.RequestHeartbeat,
        period_ms: Callable[[], float],
        tolerance: quota.Tolerance,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.log = log
        self.members = members
        self.request_heartbeat = request_heartbeat
        self.period_ms = period_ms
        self.tolerance = tolerance
        self.started_ms = clock.now_ms()
        self.accounts = account_uses.AccountUses(fleet_members.hash_of, rng)
        self.exchange = quota_exchange.QuotaExchange(self, members)
        self.mode = Mode.ISOLATED
        self.share = 1.0
        self.share_until_ms = -math.inf
        self.early_ms = -math.inf

    # Settings

    def apply_accounts(self, accounts: Iterable[model.ClientAccount]) -> None:
        """Applies the accounts of a new configuration."""
        now_ms = self.clock.now_ms()
        self.update_mode(now_ms)
        returned = self.accounts.apply(
            accounts,
            self.tolerance,
            self.share,
            lambda use: self.level(use, now_ms),
            now_ms,
        )
        for use in returned:
            self.log.event(
                "quota-returned",
                account=use.name,
                tokens=round(self.level(use, now_ms), 1),
                mode=self.mode.value,
            )
        self.exchange.forget_removed()

    def set_tolerance(self, tolerance: quota.Tolerance) -> None:
        """Changes by how much a window may exceed a quota."""
        self.tolerance = tolerance
        self.apply_accounts(self.accounts.accounts.values())

    # Requests

    def try_admit(self, name: str) -> float | None:
        """Admits a request of an account, or refuses it.

        Args:
            name: Name of the account.

        Returns:
            None if the request is admitted, else the time after which it can
            be.
        """
        use = self.use_of(name)
        if use is None:
            return None
        now_ms = self.clock.now_ms()
        self.update_mode(now_ms)
        use.offered += 1
        use.domain_offered += 1
        use.demand.record(1.0, now_ms, self.demand_decay_ms)
        self.exchange.queue(use, True)
        level = self.level(use, now_ms)
        if not self.admits(use, level, now_ms):
            return self.refuse(use, level, now_ms)
        self.spend(use, 1, now_ms)
        self.request_early(use, now_ms)
        return None

    def refund(self, name: str) -> None:
        """Takes back the admission of a request that was not run."""
        use = self.use_of(name)
        if use is not None:
            self.exchange.queue(use, True)
            self.spend(use, -1, self.clock.now_ms())

    def use_of(self, name: str) -> account_use.AccountUse | None:
        """Returns the use of an account, None if it has no limit."""
        if name not in self.accounts.accounts:
            return None
        return self.accounts.by_name[name]

    def spend(
        self, use: account_use.AccountUse, change: int, now_ms: float
    ) -> None:
        """Takes tokens of an account for requests of this process."""
        use.count_admitted(change)
        use.bucket.level -= change
        if self.mode is Mode.FOLLOWER:
            use.unreported.append((now_ms, change))

    def level(self, use: account_use.AccountUse, now_ms: float) -> float:
        """Returns the tokens of an account."""
        if self.mode is not Mode.FOLLOWER:
            return use.bucket.advance(now_ms)
        return self.reported_level(use, now_ms)

    def reported_level(
        self, use: account_use.AccountUse, now_ms: float
    ) -> float:
        """Returns the tokens of an account as last reported."""
        return use.reported_level(
            now_ms,
            heard_ms=self.exchange.levels_heard_ms,
            oldest_ms=self.oldest_report_ms(now_ms),
            horizon_ms=self.horizon_ms,
        )

    def oldest_report_ms(self, now_ms: float) -> float:
        """Returns since when a collector must have reported a scarce quota."""
        return now_ms - self.silent_ms

    def demand_per_s(self, use: account_use.AccountUse, now_ms: float) -> float:
        """Returns the requests per second of an account in the fleet."""
        own_per_s = use.demand.per_s(now_ms, self.demand_decay_ms)
        is_reported = (
            self.mode is Mode.FOLLOWER
            and use.reported_ms >= self.oldest_report_ms(now_ms)
        )
        return max(own_per_s, use.reported_demand_per_s if is_reported else 0.0)

    def admits(
        self, use: account_use.AccountUse, level: float, now_ms: float
    ) -> bool:
        """Returns whether a request may be admitted.

        Args:
            use: Use of its account.
            level: Tokens of the account.
            now_ms: The time.
        """
        if self.mode is Mode.ISOLATED:
            # Its tokens are a fraction of one; the processes that admit a
            # request for them are chosen by their phases.
            return level >= use.phase
        if self.members.fleet_size(now_ms) == 1:
            return level >= 1.0  # No count is delayed.
        demand_per_s = self.demand_per_s(use, now_ms)
        return use.takes_share(self.ratio(use, level, demand_per_s))

    def ratio(
        self, use: account_use.AccountUse, level: float, demand_per_s: float
    ) -> float:
        """Returns the share of an account's requests to admit.

        Args:
            use: Use of the account.
            level: Tokens of the account.
            demand_per_s: Its requests per second.
        """
        return quota.admission_ratio(
            level, self.rate_per_s(use), demand_per_s, self.horizon_ms
        )

    def rate_per_s(self, use: account_use.AccountUse) -> float:
        """Returns the rate that the counted processes may use together."""
        if self.mode is Mode.FOLLOWER:
            return use.bucket.quota.per_s
        return use.bucket.per_s

    def refuse(
        self, use: account_use.AccountUse, level: float, now_ms: float
    ) -> float:
        """Records a refusal; returns the time after which to try again."""
        demand_per_s = self.demand_per_s(use, now_ms)
        if not use.limited:
            use.limited = True
            use.refused_before = use.refused
            self.log.event(
                "quota-limited",
                account=use.name,
                per_s=use.bucket.quota.per_s,
                tokens=round(level, 1),
                demand_per_s=round(demand_per_s, 1),
                mode=self.mode.value,
            )
        use.refused += 1
        use.last_refused_ms = now_ms
        per_s = self.rate_per_s(use)
        if self.mode is Mode.ISOLATED:
            return quota.wait_ms(1.0 + level - use.phase, per_s, 0.0, 0.0)
        over_per_s = max(0.0, demand_per_s - per_s)
        refused = over_per_s * self.demand_decay_ms / MS_PER_SECOND
        return quota.wait_ms(level, per_s, refused, self.rng.random())

    def end_limiting(self) -> None:
        """Logs the accounts whose limiting has ended; drops old state."""
        now_ms = self.clock.now_ms()
        for use in self.accounts.by_name.values():
            if use.limited and now_ms - use.last_refused_ms >= LIMITED_MS:
                use.limited = False
                self.log.event(
                    "quota-limiting-ended",
                    account=use.name,
                    refused=use.refused - use.refused_before,
                )
        self.accounts.update_removed(now_ms)
        self.exchange.forget_removed()
        self.exchange.streams.keep_only(self.members.others)

    def limited_count(self) -> int:
        """Returns the number of accounts that are limited here."""
        return sum(each.limited for each in self.accounts.by_name.values())

    # Delays

    @property
    def silent_ms(self) -> float:
        """Time without a collector after which a process is isolated."""
        return max(
            COLLECTOR_TIMEOUT_MS, COLLECTOR_TIMEOUT_PERIODS * self.period_ms()
        )

    @property
    def delay_ms(self) -> float:
        """Time until all processes know a count, at the usual heartbeats."""
        return DELAY_PERIODS * self.period_ms() + DELAY_MS

    @property
    def horizon_ms(self) -> float:
        """Time within which the present tokens are used in overload."""
        return min(MAX_HORIZON_MS, HORIZON_DELAYS * self.delay_ms)

    @property
    def demand_decay_ms(self) -> float:
        """Time constant of the demand."""
        return max(MIN_DEMAND_DECAY_MS, self.horizon_ms)

    def request_early(self, use: account_use.AccountUse, now_ms: float) -> None:
        """Sends counts early if a sudden load could exceed the tokens.

        At most one heartbeat per period is sent early, four by a collector,
        so their number doesn't grow with the requests.
        """
        limit = use.bucket.quota
        surge = SURGE * limit.per_s * self.delay_ms / MS_PER_SECOND
        period_ms = self.period_ms()
        if self.mode is Mode.COLLECTOR:
            period_ms *= COLLECTOR_EARLY_SHARE
        if surge > limit.depth and now_ms - self.early_ms >= period_ms:
            self.early_ms = now_ms
            self.request_heartbeat(True)

    # Mode

    def update_mode(self, now_ms: float) -> None:
        """Updates where the tokens are known from, and the share."""
        mode = self.current_mode(now_ms)
        if mode is self.mode and now_ms < self.share_until_ms:
            return
        changed = mode is not self.mode
        if changed:
            self.change_mode(mode, now_ms)
        self.share_until_ms = now_ms + SHARE_INTERVAL_MS
        share = self.current_share(now_ms)
        if share != self.share:
            growth = 1.0
            if mode is Mode.COLLECTOR and not changed:
                growth = min(MAX_DEMAND_GROWTH, share / self.share)
            self.share = share
            for use in self.accounts.by_name.values():
                use.bucket.set_share(share, now_ms)
                # Those that join have a demand that isn't counted yet.
                use.demand.count *= max(1.0, growth)

    def current_mode(self, now_ms: float) -> Mode:
        """Returns where the tokens are known from now."""
        exchange = self.exchange
        since_told_ms = now_ms - exchange.levels_heard_ms
        if self.members.collecting_since_ms is not None:
            established = now_ms - self.started_ms >= ESTABLISHED_MS
            if established or since_told_ms <= 2.0 * self.silent_ms:
                exchange.collected_ms = now_ms
                return Mode.COLLECTOR
        if since_told_ms <= self.silent_ms:
            return Mode.FOLLOWER
        # A former collector keeps count until its successor reports the levels.
        if now_ms - exchange.collected_ms <= self.silent_ms:
            return Mode.COLLECTOR
        return Mode.ISOLATED

    def change_mode(self, mode: Mode, now_ms: float) -> None:
        """Takes over the tokens as last reported."""
        since_told_ms = now_ms - self.exchange.levels_heard_ms
        if self.mode is Mode.FOLLOWER or since_told_ms <= 2.0 * self.silent_ms:
            for use in self.accounts.by_name.values():
                use.bucket.level = self.reported_level(use, now_ms)
                use.bucket.updated_ms = now_ms
                use.bucket.share = 1.0
            self.share = 1.0
        for use in self.accounts.by_name.values():
            use.unreported.clear()
        self.mode = mode

    def current_share(self, now_ms: float) -> float:
        """Returns the share of the rates that this process counts for."""
        if self.mode is Mode.FOLLOWER:
            return 1.0
        size = self.members.fleet_size(now_ms)
        if self.mode is Mode.ISOLATED:
            return 1.0 / size
        return min(1.0, self.exchange.counted_processes(now_ms) / size)
