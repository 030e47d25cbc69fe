"""Exchanges the use of quotas with the other processes."""

from __future__ import annotations

from collections.abc import Iterable
import math
import typing

from lovageyoke.fleet import count_streams
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.fleet import transmissions
from lovageyoke.limits import account_use

if typing.TYPE_CHECKING:
    from lovageyoke.node import quota_limiter

MAX_COUNTS = 100  # Per message.
MAX_LEVELS = 100
LEVELS_INTERVAL_MS = 40.0
MS_PER_SECOND = 1_000.0
# A quota is reported if processes without a report would admit less than this
# multiple of the demand.
SAFE_RATIO = 1.5
# Further messages that report a quota that is no longer scarce.
ADDITIONAL_REPORTS = 3
# An account with less demand than this share of its rate is idle.
IDLE_DEMAND_SHARE = 0.1
ACKNOWLEDGED_MS = 10.0  # Time in which a count reaches the collector.
# A process of the own failure domain that wasn't heard for longer uses its
# share. Busy processes may be late.
PEER_TIMEOUT_MS = 600.0
PEER_TIMEOUT_PERIODS = 3.0
# The same for the collector of another failure domain, which sends at least
# every half period and is never short of processor time. Until then it could
# use the tokens that this domain uses too.
REMOTE_TIMEOUT_MS = 60.0
REMOTE_TIMEOUT_PERIODS = 1.5

COLLECTOR = account_use.Mode.COLLECTOR


class QuotaExchange:
    """Counts and levels to send to the peers and received from them.

    Attributes:
        limiter: The quotas.
        members: The processes of the fleet.
        streams: The counts of the other processes.
        local_counts: Accounts whose own counts have to be sent.
        remote_counts: Accounts whose counts of the failure domain have to be
            sent to the others.
        active: Accounts with recent use, by name.
        sent_ms: When own counts were last sent, and the time before.
        levels_sent_ms: When levels were last sent.
        levels_heard_ms: When levels were last received.
        collected_ms: When this process last kept the tokens for its domain.
        sources: The collector whose counts are used, by failure domain.
    """

    def __init__(
        self,
        limiter: quota_limiter.QuotaLimiter,
        members: fleet_members.Members,
    ) -> None:
        self.limiter = limiter
        self.members = members
        self.streams = count_streams.CountStreams()
        self.local_counts = transmissions.TransmissionQueue()
        self.remote_counts = transmissions.TransmissionQueue()
        self.active: dict[str, account_use.AccountUse] = {}
        self.sent_ms = (-math.inf, -math.inf)
        self.levels_sent_ms = -math.inf
        self.levels_heard_ms = -math.inf
        self.collected_ms = -math.inf
        self.sources: dict[str, str] = {}

    @property
    def silent_ms(self) -> float:
        """Time after which a process that isn't heard uses its share."""
        return max(
            PEER_TIMEOUT_MS, PEER_TIMEOUT_PERIODS * self.limiter.period_ms()
        )

    @property
    def remote_silent_ms(self) -> float:
        """Time after which another failure domain uses its share."""
        period_ms = self.limiter.period_ms()
        return REMOTE_TIMEOUT_MS + REMOTE_TIMEOUT_PERIODS * period_ms

    def forget_removed(self) -> None:
        """Forgets the accounts that no longer exist."""
        uses = self.limiter.accounts.by_name
        self.active = {name: uses[name] for name in self.active if name in uses}

    def queue(self, use: account_use.AccountUse, is_own: bool) -> None:
        """Queues the counts of an account that have changed.

        Args:
            use: Use of the account.
            is_own: Whether the counts of this process have changed.
        """
        self.active[use.name] = use
        if is_own:
            self.local_counts.queue([use.name])
        if self.members.collecting_since_ms is not None:
            self.remote_counts.queue([use.name])

    # Sending

    def counts_to_send(self, now_ms: float) -> tuple[messages.QuotaCount, ...]:
        """Returns own counts for the next heartbeat of the own domain."""
        if not self.limiter.accounts.by_name:
            return ()
        self.sent_ms = (self.sent_ms[1], now_ms)
        return tuple(
            _count(each, each.admitted, each.offered)
            for each in self.taken(self.local_counts)
        )

    def remote_counts_to_send(self) -> tuple[messages.QuotaCount, ...]:
        """Returns the failure domain's counts for the other domains."""
        return tuple(
            _count(each, each.domain_admitted, each.domain_offered)
            for each in self.taken(self.remote_counts)
        )

    def taken(
        self, queue: transmissions.TransmissionQueue
    ) -> list[account_use.AccountUse]:
        """Returns the accounts whose counts are sent next."""
        uses = self.limiter.accounts.by_name
        names = queue.take(MAX_COUNTS)
        return [uses[each] for each in names if each in uses]

    def levels_to_send(
        self, now_ms: float
    ) -> tuple[messages.QuotaLevel, ...] | None:
        """Returns the scarce quotas for the next heartbeat of the own domain.

        Returns:
            The quotas, None if this process doesn't keep them or has sent
            them just before.
        """
        limiter = self.limiter
        if not limiter.accounts.by_name:
            return None
        limiter.update_mode(now_ms)
        if limiter.mode is not COLLECTOR:
            return None
        if now_ms - self.levels_sent_ms < LEVELS_INTERVAL_MS:
            return None
        self.levels_sent_ms = now_ms
        levels = [
            messages.QuotaLevel(each.number, *reported)
            for each in list(self.active.values())
            if (reported := self.level_to_report(each, now_ms)) is not None
        ]
        return tuple(levels[:MAX_LEVELS])

    def level_to_report(
        self, use: account_use.AccountUse, now_ms: float
    ) -> tuple[float, float] | None:
        """Returns the tokens and the demand of a scarce quota, else None."""
        limiter = self.limiter
        level = limiter.level(use, now_ms)
        demand_per_s = limiter.demand_per_s(use, now_ms)
        limit = use.bucket.quota
        unreported = account_use.UNREPORTED_DEPTH_SHARE * limit.depth
        if (
            level < unreported
            or limiter.ratio(use, unreported, demand_per_s) < SAFE_RATIO
        ):
            use.repeats_left = ADDITIONAL_REPORTS
        elif use.repeats_left > 0:
            use.repeats_left -= 1
        else:
            if (
                level >= limit.depth
                and demand_per_s < IDLE_DEMAND_SHARE * limit.per_s
            ):
                del self.active[use.name]
            return None
        # The receivers add the whole rate within the horizon.
        missing_per_s = limit.per_s - limiter.rate_per_s(use)
        level -= missing_per_s * limiter.horizon_ms / MS_PER_SECOND
        return level, demand_per_s

    # Receiving

    def receive(
        self, message: messages.Heartbeat, now_ms: float, is_local: bool
    ) -> None:
        """Applies the counts and levels of a heartbeat.

        Args:
            message: The heartbeat.
            now_ms: The time.
            is_local: Whether its sender is in this failure domain.
        """
        limiter = self.limiter
        if not limiter.accounts.by_name:
            return
        if is_local and message.quota_levels is not None:
            self.apply_levels(message.quota_levels, now_ms)
        if not is_local and not self.is_source(message, now_ms):
            return
        increments = self.streams.apply(
            message.sender,
            message.quota_counts,
            now_ms,
            self.silent_ms if is_local else self.remote_silent_ms,
        )
        if increments:
            limiter.update_mode(now_ms)
        for each in increments:
            use = limiter.accounts.by_number.get(each.account)
            if use is not None:
                self.apply_increment(use, each, now_ms, is_local)

    def is_source(self, message: messages.Heartbeat, now_ms: float) -> bool:
        """Returns whether a collector's counts are those of its domain.

        Counts of two concurrent collectors must not be added up.
        """
        if not message.collecting:
            return False
        peer = message.sender.peer
        source = self.sources.get(peer.failure_domain)
        if source != peer.node_id:
            known = self.members.others.get(source) if source else None
            if (
                known is not None
                and not known.state.leaving
                and now_ms - self.streams.heard_ms(known.peer.node_id)
                <= self.remote_silent_ms
            ):
                return False
            self.sources[peer.failure_domain] = peer.node_id
        return True

    def apply_increment(
        self,
        use: account_use.AccountUse,
        increment: count_streams.Increment,
        now_ms: float,
        is_local: bool,
    ) -> None:
        """Applies what another process or failure domain has counted."""
        limiter = self.limiter
        use.demand.record(increment.offered, now_ms, limiter.demand_decay_ms)
        if is_local:
            use.domain_admitted += increment.admitted
            use.domain_offered += increment.offered
            self.queue(use, False)
        else:
            self.active[use.name] = use
        if limiter.mode is COLLECTOR:
            use.bucket.advance(now_ms)
            use.bucket.level -= increment.admitted
            if is_local:
                limiter.request_early(use, now_ms)

    def apply_levels(
        self, levels: Iterable[messages.QuotaLevel], now_ms: float
    ) -> None:
        """Applies the collector's report."""
        limiter = self.limiter
        limiter.update_mode(now_ms)
        collects = self.members.collecting_since_ms is not None
        if collects and limiter.mode is COLLECTOR:
            return
        last_ms = self.sent_ms[1]
        reported_ms = (
            last_ms if now_ms - last_ms >= ACKNOWLEDGED_MS else self.sent_ms[0]
        )
        oldest_ms = limiter.oldest_report_ms(now_ms)
        for use in list(self.active.values()):
            use.drop_reported(reported_ms)
            if not use.unreported and use.reported_ms < oldest_ms:
                del self.active[use.name]
        for each in levels:
            reported = limiter.accounts.by_number.get(each.account)
            if reported is not None:
                self.active[reported.name] = reported
                reported.reported_tokens = each.tokens
                reported.reported_demand_per_s = each.demand_per_s
                reported.reported_ms = now_ms
        self.levels_heard_ms = now_ms
        limiter.update_mode(now_ms)

    # Share

    def counted_processes(self, now_ms: float) -> int:
        """Returns how many processes this collector keeps count of.

        A process that has stopped as planned counts, as it uses nothing.
        """
        heard_domains = {self.members.domain}
        for domain, node_id in self.sources.items():
            silent_ms = now_ms - self.streams.heard_ms(node_id)
            if silent_ms <= self.remote_silent_ms:
                heard_domains.add(domain)
        count = 1
        for member in self.members.others.values():
            state = member.state
            if now_ms - member.alive_ms >= fleet_members.SENDING_MS:
                continue
            if state.gone:
                count += state.leaving
            elif member.peer.failure_domain == self.members.domain:
                count += now_ms - member.heard_ms <= self.silent_ms
            else:
                count += member.peer.failure_domain in heard_domains
        return count


def _count(
    use: account_use.AccountUse, admitted: int, offered: int
) -> messages.QuotaCount:
    return messages.QuotaCount(
        use.number,
        admitted % count_streams.WRAP,
        offered % count_streams.WRAP,
    )
