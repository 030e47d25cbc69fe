"""Messages round-trip through the codec; invalid datagrams are rejected."""

from __future__ import annotations

import math

import attrs
import cbor2
import hypothesis
from hypothesis import strategies as st
import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import positions
from lovageyoke.errors import exceptions
from lovageyoke.fleet import codec
from lovageyoke.fleet import lifetimes
from lovageyoke.fleet import messages

PEER = messages.Peer("front-1", "10.1.0.1", 7540, "10.1.0.1:80", "a")
STATES = st.builds(
    messages.MemberState,
    peer=st.just(PEER),
    started_ms=st.integers(0, 2**48),
    sequence=st.integers(0, 2**40),
    ready=st.booleans(),
    leaving=st.booleans(),
    store_ok=st.booleans(),
    capacity=st.integers(0, 1_000),
    gone=st.booleans(),
)
COUNTS = st.lists(
    st.tuples(st.text(max_size=9), st.integers(0, 99)), max_size=2
).map(tuple)
REVISIONS = st.integers(0, 2**40)


def in_era(heartbeat: messages.Heartbeat, era: int) -> messages.Heartbeat:
    """Returns a heartbeat whose positions are of one era."""
    return attrs.evolve(
        heartbeat,
        position=positions.at(heartbeat.position.revision, era),
        since=positions.at(heartbeat.since.revision, era),
        changes=tuple(
            attrs.evolve(
                each, position=positions.at(each.position.revision, era)
            )
            for each in heartbeat.changes
        ),
    )


HEARTBEATS = st.builds(
    messages.Heartbeat,
    sender=STATES,
    collecting=st.booleans(),
    known=st.integers(0, 5_000),
    configuration_version=st.integers(0, 2**40),
    position=st.builds(positions.at, REVISIONS),
    since=st.builds(positions.at, REVISIONS),
    fresh_age_ms=st.integers(0, 600_000),
    changes=st.lists(
        st.builds(
            messages.EntryChange,
            key=st.text(max_size=20),
            position=st.builds(positions.at, REVISIONS),
            value=st.none() | st.binary(max_size=50),
        ),
        max_size=3,
    ).map(tuple),
    reports=st.lists(
        st.builds(
            messages.Report,
            number=st.integers(0, 2**32 - 1),
            running=st.integers(0, 255),
            waiting=st.integers(0, 255),
            slots=st.integers(0, 255),
            pace_percent=st.integers(0, 65_535),
            age_ms=st.integers(0, 65_535),
            failures=st.integers(0, 255),
        ),
        max_size=3,
    ).map(tuple),
    waiting=COUNTS,
    members=st.lists(STATES, max_size=3).map(tuple),
    domains=COUNTS,
    rate_limits=st.lists(
        st.builds(
            messages.RateLimitReport,
            upstream_id=st.text(max_size=20),
            started_ms=st.integers(0, 2**48),
            per_s=st.none() | st.floats(0.0, 1e9),
            age_ms=st.integers(0, 600_000),
            cold_ms=st.none() | st.integers(0, 86_400_000),
        ),
        max_size=3,
    ).map(tuple),
    quota_counts=st.lists(
        st.builds(
            messages.QuotaCount,
            account=st.integers(0, 2**32 - 1),
            admitted=st.integers(0, 2**32 - 1),
            offered=st.integers(0, 2**32 - 1),
        ),
        max_size=3,
    ).map(tuple),
    quota_levels=st.none()
    | st.lists(
        st.builds(
            messages.QuotaLevel,
            account=st.integers(0, 2**32 - 1),
            tokens=st.floats(-1e9, 1e9, width=32),
            demand_per_s=st.floats(0.0, 1e9, width=32),
        ),
        max_size=3,
    ).map(tuple),
)
OTHERS = st.sampled_from(
    [
        messages.Introduction((messages.MemberState(PEER, 4),)),
        messages.ConfigurationUpdate(3, 4, b"packed"),
        messages.SnapshotRequest(positions.at(7)),
        messages.RemovedUpstreams(
            (lifetimes.EndedLifetime("i-1", 1_786_149_753_000, 4, 9),)
        ),
        messages.SnapshotPart(positions.at(7), 20, 2**32 - 1, 1, 3, b"packed"),
    ]
)


@hypothesis.given(st.builds(in_era, HEARTBEATS, st.integers(0, 99)) | OTHERS)
def test_a_message_round_trips(message: messages.Message) -> None:
    datagram = codec.encode(message)
    assert_that(codec.decode(datagram), matchers.Equals(message))


@hypothesis.given(st.binary(max_size=100))
def test_an_invalid_datagram_is_rejected(datagram: bytes) -> None:
    with pytest.raises(exceptions.DecodeError):
        codec.decode(datagram)


@hypothesis.given(HEARTBEATS, st.data())
def test_a_corrupt_datagram_is_rejected_or_decoded(
    message: messages.Heartbeat, data: st.DataObject
) -> None:
    damaged = bytearray(codec.encode(message))
    place = data.draw(st.integers(0, len(damaged) - 1))
    damaged[place] = data.draw(st.integers(0, 255))
    try:
        codec.decode(bytes(damaged))
    except exceptions.DecodeError:
        return


def test_report_values_are_clamped() -> None:
    report = messages.Report(1, 1_000, 1_000, 6, 70_000, 600_000, 300)
    heartbeat = messages.Heartbeat(
        messages.MemberState(PEER),
        False,
        1,
        0,
        positions.at(0),
        positions.at(0),
        0,
        reports=(report,),
    )
    decoded = codec.decode(codec.encode(heartbeat))
    assert isinstance(decoded, messages.Heartbeat)
    cut = messages.Report(1, 255, 255, 6, 65_535, 65_535, 255)
    assert_that(decoded.reports, matchers.Equals((cut,)))


def heartbeat_fields(*limits: list[object]) -> list[object]:
    heartbeat = messages.Heartbeat(
        messages.MemberState(PEER),
        False,
        1,
        0,
        positions.at(0),
        positions.at(0),
        0,
    )
    fields = cbor2.loads(codec.encode(heartbeat))
    assert isinstance(fields, list)
    return [*fields[:14], list(limits)]


@pytest.mark.parametrize("per_s", [-1.0, math.inf, math.nan, "fast", [1]])
def test_an_invalid_rate_limit_is_rejected(per_s: object) -> None:
    datagram = cbor2.dumps(heartbeat_fields(["u1", 1, per_s, 0]))
    with pytest.raises(exceptions.DecodeError):
        codec.decode(datagram)


def test_a_heartbeat_of_a_version_without_rate_limits_is_decoded() -> None:
    decoded = codec.decode(cbor2.dumps(heartbeat_fields()[:-1]))
    assert isinstance(decoded, messages.Heartbeat)
    assert_that(decoded.rate_limits, matchers.Equals(()))


def test_a_heartbeat_of_a_version_without_quotas_is_decoded() -> None:
    decoded = codec.decode(cbor2.dumps(heartbeat_fields()))
    assert isinstance(decoded, messages.Heartbeat)
    assert_that(decoded.quota_counts, matchers.Equals(()))
    assert_that(decoded.quota_levels, matchers.Is(None))


@pytest.mark.parametrize("levels", [b"short", "text", 7])
@pytest.mark.parametrize("counts", [b"short", "text", 7])
def test_invalid_quotas_are_rejected(counts: object, levels: object) -> None:
    for added in ([counts, None], [b"", levels]):
        datagram = cbor2.dumps([*heartbeat_fields(), *added])
        with pytest.raises(exceptions.DecodeError):
            codec.decode(datagram)


@pytest.mark.parametrize("value", [math.inf, math.nan])
def test_a_quota_out_of_range_is_rejected(value: float) -> None:
    # Guards against tokens that no later message can correct.
    for level in ((1, value, 0.0), (1, 0.0, value)):
        heartbeat = messages.Heartbeat(
            messages.MemberState(PEER),
            True,
            1,
            0,
            positions.at(0),
            positions.at(0),
            0,
            quota_levels=(messages.QuotaLevel(*level),),
        )
        with pytest.raises(exceptions.DecodeError):
            codec.decode(codec.encode(heartbeat))


def test_state_of_a_version_without_eras_is_of_the_first_era() -> None:
    # Guards against an earlier version's revisions taken for those of an era.
    heartbeat = codec.decode(cbor2.dumps(heartbeat_fields()))
    assert isinstance(heartbeat, messages.Heartbeat)
    assert_that(heartbeat.position, matchers.Equals(positions.at(0, 0)))
    for message in (
        messages.SnapshotRequest(positions.at(7, 2)),
        messages.SnapshotPart(positions.at(7, 2), 20, 9, 0, 1, b"packed"),
    ):
        fields = cbor2.loads(codec.encode(message))
        decoded = codec.decode(cbor2.dumps(fields[:-1]))
        assert isinstance(decoded, type(message))
        assert_that(decoded.position, matchers.Equals(positions.at(7, 0)))
