"""The newest statement of an upstream about its rate limit holds."""

from __future__ import annotations

from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.routing import rate_limit


def respond(
    limit: rate_limit.RateLimit,
    per_s: float | None,
    now_ms: float,
    *,
    sent_ms: float | None = None,
    source: rate_limit.Source = rate_limit.Source.RESPONSE,
) -> bool:
    return limit.apply_response(
        per_s,
        sent_ms=now_ms - 100.0 if sent_ms is None else sent_ms,
        now_ms=now_ms,
        source=source,
    )


def test_a_limit_holds_until_a_response_without_one() -> None:
    limit = rate_limit.RateLimit()
    assert_that(respond(limit, 2.6, 1_000.0), matchers.Equals(True))
    assert_that(respond(limit, 2.6, 2_000.0), matchers.Equals(False))
    assert_that(respond(limit, 4.0, 3_000.0), matchers.Equals(True))
    assert_that(limit.per_s, matchers.Equals(4.0))
    assert_that(respond(limit, None, 4_000.0), matchers.Equals(True))
    assert_that(limit.per_s, matchers.Is(None))


def test_a_response_to_an_older_request_does_not_end_a_limit() -> None:
    limit = rate_limit.RateLimit()
    respond(limit, 2.6, 1_000.0)
    respond(limit, None, 1_200.0, sent_ms=900.0)
    assert_that(limit.per_s, matchers.Equals(2.6))


def test_health_checks_that_never_state_limits_do_not_end_one() -> None:
    limit = rate_limit.RateLimit()
    respond(limit, 2.6, 1_000.0)
    check = rate_limit.Source.HEALTH_CHECK
    respond(limit, None, 2_000.0, source=check)
    assert_that(limit.per_s, matchers.Equals(2.6))
    respond(limit, 2.6, 3_000.0, source=check)
    respond(limit, None, 4_000.0, source=check)
    assert_that(limit.per_s, matchers.Is(None))


def test_an_older_statement_of_a_peer_does_not_replace_a_newer_one() -> None:
    limit = rate_limit.RateLimit()
    respond(limit, 2.6, 1_000.0)
    older = rate_limit.Statement(9.0, 900.0)
    assert_that(limit.apply_peer(older), matchers.Equals(False))
    assert_that(limit.per_s, matchers.Equals(2.6))
    newer = rate_limit.Statement(None, 1_200.0)
    assert_that(limit.apply_peer(newer), matchers.Equals(True))
    assert_that(limit.per_s, matchers.Is(None))
