"""Reports of rate limits and cold upstreams for the peers."""

from __future__ import annotations

from collections.abc import Iterator
import math

from lovageyoke.fleet import messages as fleet_messages
from lovageyoke.routing import load_view
from lovageyoke.routing import rate_limit

REPEAT_ENDED_MS = 60_000.0  # How long the end of a limit is repeated.


def age_ms(statement: rate_limit.Statement, now_ms: float) -> int:
    """Returns the age of a statement, 0 if nothing was stated."""
    if math.isinf(statement.stated_ms):
        return 0
    return max(0, round(now_ms - statement.stated_ms))


def is_repeated(view: load_view.UpstreamView, now_ms: float) -> bool:
    """Returns whether collectors keep sending the limit of an upstream."""
    limit = view.rate_limit
    if limit is None:
        return False
    if limit.cold_per_s is not None:
        return True
    ended = limit.statement.per_s is None
    return not ended or now_ms - limit.statement.stated_ms < REPEAT_ENDED_MS


def reports_of(
    view: load_view.UpstreamView, now_ms: float
) -> Iterator[fleet_messages.RateLimitReport]:
    """Yields what an upstream has stated, for a message."""
    upstream = view.upstream
    limit = view.rate_limit
    if limit is not None and limit.was_stated:
        yield fleet_messages.RateLimitReport(
            upstream.upstream_id,
            upstream.started_ms,
            limit.statement.per_s,
            age_ms(limit.statement, now_ms),
        )
    if view.cold is not None and math.isfinite(view.cold.stated_ms):
        yield fleet_messages.RateLimitReport(
            upstream.upstream_id,
            upstream.started_ms,
            None,
            max(0, round(now_ms - view.cold.stated_ms)),
            round(view.cold.cold_ms),
        )
