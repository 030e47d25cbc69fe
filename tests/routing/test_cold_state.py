"""An upstream is taken as cold for at least as long as it is."""

from __future__ import annotations

from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.routing import cold_state
from lovageyoke.routing import rate_limit


def check(state: cold_state.ColdState, cold_ms: float, now_ms: float) -> bool:
    return state.apply_check(cold_ms, sent_ms=now_ms - 5.0, now_ms=now_ms)


def test_an_entry_only_lengthens_the_time() -> None:
    state = cold_state.ColdState()
    state.apply_entry(3_000.0, 0.0)
    state.apply_entry(500.0, 1_000.0)
    assert_that(state.end_ms, matchers.Equals(3_000.0))


def test_a_health_check_tells_the_time_left_as_of_now() -> None:
    state = cold_state.ColdState()
    state.apply_entry(3_000.0, 0.0)
    assert_that(check(state, 1_200.0, 100.0), matchers.Equals(True))
    assert_that(state.end_ms, matchers.Equals(1_300.0))
    # The same end once more doesn't concern the peers.
    assert_that(check(state, 1_100.0, 205.0), matchers.Equals(False))
    assert_that(state.end_ms, matchers.Equals(1_305.0))
    assert_that(check(state, 0.0, 400.0), matchers.Equals(True))
    assert_that(state.is_cold(400.0), matchers.Equals(False))


def test_an_upstream_that_becomes_cold_again_is_noticed() -> None:
    state = cold_state.ColdState()
    check(state, 300.0, 0.0)
    assert_that(check(state, 3_000.0, 200.0), matchers.Equals(True))
    assert_that(state.is_cold(3_100.0), matchers.Equals(True))
    assert_that(check(state, 2_000.0, 9_000.0), matchers.Equals(True))


def test_a_response_older_than_a_statement_does_not_end_the_time() -> None:
    state = cold_state.ColdState()
    state.apply_peer(3_000.0, 100.0)
    late = state.apply_check(0.0, sent_ms=90.0, now_ms=120.0)
    assert_that(late, matchers.Equals(False))
    assert_that(state.is_cold(3_000.0), matchers.Equals(True))


def test_a_response_older_than_an_entry_does_not_end_the_time() -> None:
    # Guards against a check in flight while the upstream becomes cold again.
    state = cold_state.ColdState()
    state.apply_entry(3_000.0, 100.0)
    for cold_ms in (0.0, 50.0):
        late = state.apply_check(cold_ms, sent_ms=90.0, now_ms=120.0)
        assert_that(late, matchers.Equals(False))
    assert_that(state.end_ms, matchers.Equals(3_100.0))


def test_an_entry_read_late_does_not_hide_a_longer_statement() -> None:
    # Guards against ordering by when an entry was read: it may be old.
    state = cold_state.ColdState()
    state.apply_entry(500.0, 0.0)
    assert_that(state.apply_peer(3_000.0, -100.0), matchers.Equals(True))
    assert_that(state.end_ms, matchers.Equals(2_900.0))


def test_a_delayed_statement_neither_prolongs_nor_revives_the_time() -> None:
    # Guards against two collectors that relay a statement to each other.
    state = cold_state.ColdState()
    state.apply_peer(3_000.0, 100.0)
    for delay_ms in (60.0, 400.0, 900.0):
        repeated = state.apply_peer(3_000.0, 100.0 + delay_ms)
        assert_that(repeated, matchers.Equals(False))
    assert_that(state.end_ms, matchers.Equals(3_100.0))
    assert_that(state.apply_peer(0.0, 1_000.0), matchers.Equals(True))
    assert_that(state.apply_peer(3_000.0, 100.0), matchers.Equals(False))
    assert_that(state.is_cold(1_001.0), matchers.Equals(False))


def test_of_statements_without_a_known_order_the_longer_one_holds() -> None:
    state = cold_state.ColdState()
    state.apply_peer(0.0, 100.0)
    assert_that(state.apply_peer(3_000.0, 80.0), matchers.Equals(True))
    assert_that(state.apply_peer(0.0, 120.0), matchers.Equals(False))


def test_the_lower_of_two_limits_binds() -> None:
    limit = rate_limit.RateLimit()
    assert_that(limit.per_s, matchers.Is(None))
    limit.cold_per_s = 5.0
    assert_that(limit.per_s, matchers.Equals(5.0))
    limit.statement = rate_limit.Statement(2.6, 0.0)
    assert_that(limit.per_s, matchers.Equals(2.6))
    limit.statement = rate_limit.Statement(30.0, 0.0)
    assert_that(limit.per_s, matchers.Equals(5.0))
    limit.cold_per_s = None
    assert_that(limit.per_s, matchers.Equals(30.0))
