"""Entries never revert to older revisions and survive store outages."""

from __future__ import annotations

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import positions
from lovageyoke.errors import exceptions
from lovageyoke.fleet import registry as fleet_registry
from lovageyoke.routing import model
from lovageyoke.store import revisions

REREGISTER_MS = fleet_registry.REREGISTER_MS
DRAIN_BOUND_MS = 2_000.0


def decode(key: str, value: bytes) -> model.Upstream:
    if value == b"bad":
        raise exceptions.DecodeError("bad entry")
    host = value.decode()
    return model.Upstream(key, 1, "maps", host, 80, "a", 6)


@pytest.fixture
def registry() -> fleet_registry.Registry:
    made = fleet_registry.Registry(decode)
    made.put("u1", b"h1", positions.at(5), 0.0)
    return made


def ids(registry: fleet_registry.Registry) -> list[str]:
    return sorted(each.upstream_id for each in registry.upstreams())


def test_an_older_change_is_ignored(
    registry: fleet_registry.Registry,
) -> None:
    assert_that(
        registry.remove("u1", positions.at(4), 0.0), matchers.Equals(False)
    )
    assert_that(
        registry.put("u1", b"bad", positions.at(5), 0.0), matchers.Equals(False)
    )
    assert_that(ids(registry), matchers.Equals(["u1"]))


def test_a_deletion_is_not_undone_by_an_older_write(
    registry: fleet_registry.Registry,
) -> None:
    assert_that(
        registry.remove("u1", positions.at(7), 0.0), matchers.Equals(True)
    )
    assert_that(
        registry.put("u1", b"h1", positions.at(6), 0.0), matchers.Equals(False)
    )
    assert_that(ids(registry), matchers.Equals([]))


def test_an_invalid_entry_is_rejected(
    registry: fleet_registry.Registry,
) -> None:
    registry.put("u2", b"bad", positions.at(6), 0.0)
    assert_that(registry.rejected, matchers.Equals(1))
    assert_that(ids(registry), matchers.Equals(["u1"]))


def test_an_entry_deleted_in_an_outage_is_retained_for_a_while(
    registry: fleet_registry.Registry,
) -> None:
    registry.record_outage(1_000.0)
    registry.remove("u1", positions.at(7), 2_500.0)
    assert_that(ids(registry), matchers.Equals(["u1"]))
    registry.expire_retained(1_000.0 + REREGISTER_MS - 1.0)
    assert_that(ids(registry), matchers.Equals(["u1"]))
    assert_that(
        registry.expire_retained(1_000.0 + REREGISTER_MS), matchers.Equals(True)
    )
    assert_that(ids(registry), matchers.Equals([]))


def test_no_trouble_keeps_an_entry_beyond_the_bound_on_drains(
    registry: fleet_registry.Registry,
) -> None:
    registry.record_outage(1_000.0)
    registry.remove("u1", positions.at(7), 1_100.0)
    registry.record_outage(2_000.0)
    last_ms = 1_100.0 + fleet_registry.MAX_RETENTION_MS
    registry.expire_retained(last_ms - 1.0)
    assert_that(ids(registry), matchers.Equals(["u1"]))
    assert_that(registry.expire_retained(last_ms), matchers.Equals(True))
    assert_that(ids(registry), matchers.Equals([]))
    assert_that(
        fleet_registry.MAX_RETENTION_MS, matchers.LessThan(DRAIN_BOUND_MS)
    )


def test_a_late_heartbeat_does_not_undo_that_an_upstream_drains() -> None:
    def decode_heartbeat(key: str, value: bytes) -> model.Upstream:
        born, sequence, state = value.decode().split()
        return model.Upstream(
            key,
            int(born),
            "maps",
            "10.0.0.1",
            80,
            "a",
            6,
            draining=state == "draining",
            sequence=int(sequence),
        )

    registry = fleet_registry.Registry(decode_heartbeat)
    registry.put("u1", b"7 4 ready", positions.at(5), 0.0)
    registry.put("u1", b"7 6 draining", positions.at(6), 0.0)
    registry.put("u1", b"7 5 ready", positions.at(7), 0.0)
    (upstream,) = registry.upstreams()
    assert_that(upstream.draining, matchers.Equals(True))
    registry.put("u1", b"9 1 ready", positions.at(8), 0.0)
    (upstream,) = registry.upstreams()
    assert_that(upstream.draining, matchers.Equals(False))


def test_an_upstream_that_registers_again_stays(
    registry: fleet_registry.Registry,
) -> None:
    registry.record_outage(1_000.0)
    registry.remove("u1", positions.at(7), 1_100.0)
    registry.put("u1", b"h1", positions.at(8), 0.0)
    registry.expire_retained(1_000.0 + REREGISTER_MS)
    assert_that(ids(registry), matchers.Equals(["u1"]))


def test_a_listing_removes_missing_keys(
    registry: fleet_registry.Registry,
) -> None:
    listing = revisions.Listing(
        (revisions.Item("u2", b"h2", positions.at(6)),), positions.at(9)
    )
    assert_that(registry.apply_listing(listing, 0.0), matchers.Equals(True))
    assert_that(ids(registry), matchers.Equals(["u2"]))


def test_a_listing_does_not_remove_newer_entries(
    registry: fleet_registry.Registry,
) -> None:
    registry.apply_listing(revisions.Listing((), positions.at(4)), 0.0)
    assert_that(ids(registry), matchers.Equals(["u1"]))


def test_the_newest_entry_of_an_address_is_used(
    registry: fleet_registry.Registry,
) -> None:
    registry.put("u9", b"h1", positions.at(6), 0.0)
    assert_that(ids(registry), matchers.Equals(["u9"]))
