"""Tests of the sources of drains."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from lovageyoke.config import model
from lovageyoke.entry import drains
from lovageyoke.membership import drains as drains_lib
from lovageyoke.membership import listing
from lovageyoke.store import api as platform_api

LEAVING = platform_api.Vm("u1", "127.0.0.1", platform_api.VmState.LEAVING)
LIVE = platform_api.Vm("u1", "127.0.0.1", platform_api.VmState.LIVE)
SERVICE = model.Service(
    "maps", "t", upstreams=(model.Upstream("u1", "127.0.0.1", 1, "a"),)
)


class FakeRoute:
    """Records what it is told."""

    def __init__(self):
        self.service = SERVICE
        self.targets = {"u1": None}
        self.calls = []

    def drain(self, upstream_id, now_ms):
        self.calls.append(("drain", upstream_id))

    def restore(self, upstream_id, now_ms):
        self.calls.append(("restore", upstream_id))


class FakeRoutes:
    def __init__(self):
        self.by_name = {"maps": FakeRoute()}


@pytest.fixture
def scene(clock):
    return Scene(clock)


class Scene:
    def __init__(self, clock):
        self.clock = clock
        self.routes = FakeRoutes()
        self.calls = self.routes.by_name["maps"].calls
        self.known = drains_lib.Drains()
        self.listing = listing.Listing()
        self.announced = 0
        self.keeper = drains.DrainKeeper(
            self.known, self.routes, self.listing, self.announce, clock
        )

    def announce(self):
        self.announced += 1

    def step(self):
        self.keeper.read_list()
        self.keeper.apply()


def test_a_leaving_vm_is_drained_and_announced_once(scene):
    scene.listing.replace((LEAVING,), 1.0)
    scene.step()
    scene.step()
    assertions.assert_that(scene.calls, matchers.Contains(("drain", "u1")))
    assertions.assert_that(scene.announced, matchers.Equals(1))


def test_a_live_vm_is_not_drained(scene):
    scene.listing.replace((LIVE,), 1.0)
    scene.step()
    assertions.assert_that(scene.calls, matchers.Equals([]))


def test_a_drain_that_peers_told_is_applied_and_ends(scene):
    scene.keeper.seen("maps", "u1")
    scene.step()
    scene.clock.advance(drains_lib.DEFAULT_EXPIRY_MS + 1)
    scene.step()
    assertions.assert_that(
        scene.calls, matchers.Equals([("drain", "u1"), ("restore", "u1")])
    )
