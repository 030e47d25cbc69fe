"""Messages survive their datagrams; anything else is refused."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
import pytest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.errors import exceptions
from lovageyoke.fleet import messages

PEER = messages.Peer("front-1", "10.1.0.1", 7540, "10.1.0.1:80", "a")

HEARTBEATS = st.builds(
    messages.Heartbeat,
    peer=st.just(PEER),
    started_ms=st.integers(0, 2**48),
    ready=st.booleans(),
    leaving=st.booleans(),
    configuration_version=st.integers(0, 2**40),
    store_ok=st.booleans(),
    trouble_age_ms=st.integers(0, 600_000),
    revision=st.integers(0, 2**40),
    since_revision=st.integers(0, 2**40),
    fresh_age_ms=st.integers(0, 600_000),
    changes=st.lists(
        st.builds(
            messages.EntryChange,
            key=st.text(max_size=20),
            revision=st.integers(0, 2**40),
            value=st.none() | st.binary(max_size=50),
        ),
        max_size=3,
    ).map(tuple),
    reports=st.lists(
        st.builds(
            messages.Report,
            upstream_id=st.text(max_size=12),
            running=st.integers(0, 1_000),
            waiting=st.integers(0, 1_000),
            slots=st.integers(0, 1_000),
            pace_percent=st.integers(0, 10_000),
            age_ms=st.integers(0, 600_000),
            failures=st.integers(0, 100),
        ),
        max_size=3,
    ).map(tuple),
    waiting=st.lists(
        st.tuples(st.text(max_size=9), st.integers(0, 99)), max_size=2
    ).map(tuple),
)
OTHERS = st.sampled_from(
    [
        messages.Introduction((PEER,)),
        messages.ConfigurationNews(3, 4, b"packed"),
    ]
)


@hypothesis.given(HEARTBEATS | OTHERS)
def test_a_message_survives_its_datagram(message: messages.Message) -> None:
    relayed = messages.encode(message, relay=True)
    assert_that(messages.decode(relayed), matchers.Equals(message))
    assert_that(
        messages.unrelayed(relayed), matchers.Equals(messages.encode(message))
    )
    direct = messages.encode(message)
    assert_that(messages.unrelayed(direct), matchers.Is(None))


@hypothesis.given(st.binary(max_size=100))
def test_any_other_datagram_is_refused(datagram: bytes) -> None:
    with pytest.raises(exceptions.DecodeError):
        messages.decode(datagram)
