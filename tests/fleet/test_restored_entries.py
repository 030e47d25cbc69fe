"""What is known of upstreams and evacuations outlasts a return of the store.

The store lost its latest writes; their writers write them again.
"""

from __future__ import annotations

import pytest
from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import positions
from lovageyoke.fleet import registry as fleet_registry
from lovageyoke.routing import model
from lovageyoke.store import revisions

RETENTION_MS = fleet_registry.MAX_RETENTION_MS
RETURN_MS = 5_000.0
COPY = 50  # Revision of the copy.
LAST = 119  # Revision before the return.


def decode(key: str, value: bytes) -> model.Upstream | model.Evacuation:
    if key.startswith("evacuate/"):
        return model.Evacuation(key.removeprefix("evacuate/"))
    return conftest.decode_lifetime(key, value)


def return_with(
    registry: fleet_registry.Registry, items: dict[str, bytes]
) -> None:
    """Lets the store return at ``RETURN_MS`` from a copy with these items."""
    position = positions.at(COPY, 2)
    listed = tuple(
        revisions.Item(key, value, positions.at(index, 2))
        for index, (key, value) in enumerate(items.items())
    )
    registry.apply_listing(revisions.Listing(listed, position), RETURN_MS)
    registry.complete_position = position


@pytest.fixture
def registry() -> fleet_registry.Registry:
    made = fleet_registry.Registry(decode)
    for key in ("u1", "u2", "u3"):
        made.put(key, b"7 4 ready", positions.at(LAST - 9), 1_000.0)
    made.complete_position = positions.at(LAST - 9)
    return made


COPIED = {"u1": b"7 4 ready", "u2": b"7 4 ready"}


def used(registry: fleet_registry.Registry) -> list[str]:
    return sorted(
        each.upstream_id
        for each in registry.upstreams()
        if each.accepts_requests
    )


def test_an_upstream_that_the_copy_lacks_is_kept_for_a_while(
    registry: fleet_registry.Registry,
) -> None:
    # Guards against upstreams that live and get no request after a return
    # until they have registered again.
    return_with(registry, COPIED)
    assert_that(used(registry), matchers.Equals(["u1", "u2", "u3"]))
    registry.expire_retained(RETURN_MS + RETENTION_MS - 1.0)
    assert_that(used(registry), matchers.Equals(["u1", "u2", "u3"]))
    registry.expire_retained(RETURN_MS + RETENTION_MS)
    assert_that(used(registry), matchers.Equals(["u1", "u2"]))


@pytest.mark.parametrize("value", [b"7 4 ready", b"7 6 ready"])
def test_an_upstream_that_registers_again_after_a_return_is_used(
    registry: fleet_registry.Registry, value: bytes
) -> None:
    # Guards against a live upstream that is taken for one that was removed,
    # as it writes what the copy lacks with the same sequence number.
    return_with(registry, COPIED)
    registry.put("u3", value, positions.at(COPY + 1, 2), RETURN_MS + 900.0)
    registry.expire_retained(RETURN_MS + RETENTION_MS)
    assert_that(used(registry), matchers.Equals(["u1", "u2", "u3"]))
    assert_that(registry.late_writes, matchers.Equals(0))


def test_an_upstream_whose_removal_the_copy_lacks_gets_no_request(
    registry: fleet_registry.Registry,
) -> None:
    # Guards against requests to an upstream that has left: the copy shows it.
    registry.remove("u1", positions.at(LAST), 2_000.0)
    return_with(registry, COPIED)
    assert_that(used(registry), matchers.Equals(["u2", "u3"]))


def test_an_upstream_whose_drain_the_copy_lacks_gets_no_request(
    registry: fleet_registry.Registry,
) -> None:
    # Guards against requests to an upstream that drains: the copy shows it
    # ready, with fewer heartbeats.
    registry.put("u1", b"7 5 draining", positions.at(LAST), 2_000.0)
    return_with(registry, COPIED)
    assert_that(used(registry), matchers.Equals(["u2", "u3"]))


def test_an_earlier_lifetime_in_the_copy_does_not_replace_the_later_one(
    registry: fleet_registry.Registry,
) -> None:
    # Guards against an upstream that started again under its id.
    registry.put("u1", b"9 1 ready", positions.at(LAST), 2_000.0)
    return_with(registry, COPIED)
    (upstream,) = (
        each for each in registry.upstreams() if each.upstream_id == "u1"
    )
    assert_that(upstream.started_ms, matchers.Equals(9))


def test_an_evacuation_that_the_copy_lacks_holds_for_a_while(
    registry: fleet_registry.Registry,
) -> None:
    # Guards against requests to an evacuated domain until the operator has
    # written the evacuation again.
    registry.put("evacuate/a", b"", positions.at(LAST), 2_000.0)
    return_with(registry, COPIED)
    assert_that(registry.evacuated_domains(), matchers.Equals({"a"}))
    registry.expire_retained(RETURN_MS + RETENTION_MS)
    assert_that(registry.evacuated_domains(), matchers.Equals(set()))


def test_returns_in_a_row_do_not_prolong_the_use_of_an_upstream(
    registry: fleet_registry.Registry,
) -> None:
    # Guards against an upstream that crashed and is kept again at each return.
    return_with(registry, COPIED)
    again = revisions.Listing((), positions.at(COPY, 3))
    registry.apply_listing(again, RETURN_MS + 1_000.0)
    registry.expire_retained(RETURN_MS + RETENTION_MS)
    assert_that(used(registry), matchers.Not(matchers.Contains("u3")))


def test_an_entry_that_is_kept_is_not_sent_to_others(
    registry: fleet_registry.Registry,
) -> None:
    # Guards against a receiver that would keep it forever.
    return_with(registry, COPIED)
    keys = {each.key for each in registry.entries()}
    assert_that(keys, matchers.Equals({"u1", "u2"}))
