"""A process follows a store that returns from an older copy."""

from __future__ import annotations

import pytest
from tests.node import conftest
from testtools import matchers
from testtools.assertions import assert_that

pytestmark = pytest.mark.anyio

VERSIONS = range(4, 10)  # Written after the copy was made.
REQUESTS = 12


@pytest.mark.parametrize("passes_former_revision", [False, True])
async def test_a_drain_after_a_return_is_followed(
    harness: conftest.ProcessHarness, *, passes_former_revision: bool
) -> None:
    # Guards against review/11: requests reached upstreams that drained after
    # the store had returned from a copy.
    store = harness.store
    copy = store.copy()
    for version in VERSIONS:
        store.put("op/config", conftest.configuration(version))
    await harness.wait_until(lambda: harness.version() == VERSIONS[-1])
    store.restore(copy)
    draining, other = harness.upstreams
    key = f"servers/{draining.upstream_id}"
    store.put(key, draining.entry("draining"))
    if passes_former_revision:
        for version in VERSIONS:
            store.put("op/config", conftest.configuration(version))
    await harness.wait_until(
        lambda: harness.node.loads.by_id[draining.upstream_id].upstream.draining
    )
    before = len(draining.arrived_s)
    for index in range(REQUESTS):
        answer = await harness.send_request(identity=f"after-{index}")
        assert_that(answer.status_code, matchers.Equals(200))
    assert_that(draining.arrived_s, matchers.HasLength(before))
    assert_that(len(other.arrived_s), matchers.GreaterThan(REQUESTS - 1))
    assert_that(harness.version(), matchers.Equals(VERSIONS[-1]))
