"""Increments of cumulative counts are right whatever happens to messages."""

from __future__ import annotations

import pytest
from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.fleet import count_streams
from lovageyoke.fleet import messages

SILENT_MS = 500.0


@pytest.fixture
def streams() -> count_streams.CountStreams:
    return count_streams.CountStreams()


class Sender:
    """Sends cumulative counts of one account and adds up the increments."""

    def __init__(
        self, streams: count_streams.CountStreams, state_of: conftest.StateOf
    ) -> None:
        self.streams = streams
        self.state_of = state_of
        self.admitted = 0
        self.offered = 0

    def send(
        self, sequence: int, *counts: int, now_ms: float, started_ms: int = 1
    ) -> None:
        state = self.state_of(sequence=sequence, started_ms=started_ms)
        sent = [messages.QuotaCount(7, *counts)] if counts else []
        found = self.streams.apply(state, sent, now_ms, SILENT_MS)
        self.admitted += sum(each.admitted for each in found)
        self.offered += sum(each.offered for each in found)


@pytest.fixture
def sender(
    streams: count_streams.CountStreams, state_of: conftest.StateOf
) -> Sender:
    return Sender(streams, state_of)


def check(sender: Sender, admitted: int, offered: int) -> None:
    found = sender.admitted, sender.offered
    assert_that(found, matchers.Equals((admitted, offered)))


def test_lost_repeated_and_reordered_messages_change_nothing(
    sender: Sender,
) -> None:
    sender.send(1, 2, 3, now_ms=0.0)
    sender.send(4, 6, 9, now_ms=90.0)
    sender.send(2, 3, 4, now_ms=91.0)
    sender.send(4, 6, 9, now_ms=92.0)
    check(sender, 6, 9)


def test_a_refund_is_a_negative_increment(sender: Sender) -> None:
    sender.send(1, 5, 5, now_ms=0.0)
    sender.send(2, 4, 5, now_ms=40.0)
    check(sender, 4, 5)


def test_counts_wrap(sender: Sender) -> None:
    sender.send(1, 0, 0, now_ms=0.0)
    sender.send(2, 2**31 - 1, 2**31 - 1, now_ms=1.0)
    sender.send(3, 2**32 - 2, 2**32 - 2, now_ms=2.0)
    sender.send(4, 3, 3, now_ms=3.0)
    check(sender, 2**32 + 3, 2**32 + 3)


def test_a_restarted_process_counts_from_zero(sender: Sender) -> None:
    sender.send(1, 5, 8, now_ms=0.0)
    sender.send(1, 2, 2, now_ms=40.0, started_ms=9)
    sender.send(2, 6, 9, now_ms=41.0)  # Sent before the restart.
    check(sender, 7, 10)


def test_an_account_that_is_listed_again_counts_from_zero(
    sender: Sender,
) -> None:
    # Guards against a negative increment, which would refill the quota.
    sender.send(1, 50, 80, now_ms=0.0)
    sender.send(2, 1, 2, now_ms=40.0)
    check(sender, 51, 82)


def test_what_a_long_known_process_counted_before_is_no_increment(
    sender: Sender,
) -> None:
    # Guards against a new collector that takes all earlier requests of a
    # process for recent ones.
    sender.send(5_000, 900, 950, now_ms=0.0)
    check(sender, 1, 1)
    sender.send(5_001, 903, 955, now_ms=40.0)
    check(sender, 4, 6)


def test_what_a_silent_process_counted_is_no_increment(sender: Sender) -> None:
    # Guards against a debt after a partition, in which each part has used its
    # share.
    sender.send(1, 5, 5, now_ms=0.0)
    sender.send(9, now_ms=5_000.0)
    sender.send(10, 80, 90, now_ms=5_040.0)
    check(sender, 5, 5)
    sender.send(11, 81, 92, now_ms=5_080.0)
    check(sender, 6, 7)
