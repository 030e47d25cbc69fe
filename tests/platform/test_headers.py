"""Header values are decoded; malformed ones count as absent."""

from __future__ import annotations

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.errors import exceptions
from lovageyoke.platform import headers
from lovageyoke.routing import load_view


def test_load_with_pace() -> None:
    report = headers.decode_load(b"3,1,6,700")
    assert_that(report, matchers.Equals(load_view.LoadReport(3, 1, 6, 7.0)))


def test_load_without_pace() -> None:
    report = headers.decode_load(b"3,0,8")
    assert_that(report, matchers.Equals(load_view.LoadReport(3, 0, 8, None)))


@pytest.mark.parametrize("value", [None, b"", b"3,0", b"a,b,c", b"-1,0,6"])
def test_malformed_load_is_none(value: bytes | None) -> None:
    assert_that(headers.decode_load(value), matchers.Is(None))


@pytest.mark.parametrize(
    ("value", "expected"),
    [(b"1200", 1_200.0), (b"-5", 0.0), (b"soon", None), (None, None)],
)
def test_deadline(value: bytes | None, expected: float | None) -> None:
    assert_that(headers.decode_deadline(value), matchers.Equals(expected))


@pytest.mark.parametrize(
    ("value", "expected"),
    [(b"2.6", 2.6), (b" 14 ", 14.0), (b"0", 0.0), (b"0.05", 0.05)],
)
def test_rate_limit(value: bytes, expected: float) -> None:
    found = headers.decode_rate_limit([(b"server-limit", value)])
    assert_that(found, matchers.Equals(expected))


def test_a_response_without_a_rate_limit_states_none() -> None:
    found = headers.decode_rate_limit([(b"content-length", b"3")])
    assert_that(found, matchers.Is(None))


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"soon",
        b"-1",
        b"-0",
        b"nan",
        b"inf",
        b"1e400",
        b"1" * 400,
        b"2,6",
        b"2.6 3",
        b".5",
        b"\xd9\xa3",
    ],
)
def test_a_malformed_rate_limit_is_an_error(value: bytes) -> None:
    with pytest.raises(exceptions.DecodeError):
        headers.decode_rate_limit([(b"server-limit", value)])


def test_two_rate_limits_in_one_response_are_an_error() -> None:
    twice = [(b"server-limit", b"2"), (b"server-limit", b"2")]
    with pytest.raises(exceptions.DecodeError):
        headers.decode_rate_limit(twice)


@pytest.mark.parametrize(
    ("value", "cold_ms"),
    [
        (b"0", 0.0),
        (b" 2873 ", 2_873.0),
        (b"12.5", 12.5),
        (b"999999999", 86_400_000.0),
        (None, None),
        (b"", None),
        (b"-1", None),
        (b"inf", None),
        (b"1e400", None),
        (b"3s", None),
    ],
)
def test_the_cold_time_is_decoded_or_ignored(
    value: bytes | None, cold_ms: float | None
) -> None:
    found = headers.decode_cold_time(value)
    assert_that(found, matchers.Equals(cold_ms))
