"""Stops routing new requests to draining upstreams."""

from __future__ import annotations

from collections.abc import Callable

from lovageyoke.caller import routes as caller_routes
from lovageyoke.clock import api as clock_api
from lovageyoke.membership import drains as drains_lib
from lovageyoke.membership import listing as listing_lib

APPLY_INTERVAL_MS = 250.0
SEPARATOR = "/"


class DrainController:
    """Combines the drains from upstreams, peer heartbeats and the VM list.

    Attributes:
        drains: The known drains, exchanged with peers by heartbeats.
        routes: Routing state of each service.
    """

    def __init__(
        self,
        drains: drains_lib.Drains,
        routes: caller_routes.Routes,
        listing: listing_lib.Listing,
        announce: Callable[[], None],
        clock: clock_api.Clock,
    ) -> None:
        self.drains = drains
        self.routes = routes
        self._listing = listing
        self._announce = announce
        self._clock = clock
        self._applied: frozenset[str] = frozenset()
        self._read_ms: float | None = None

    def record_draining(self, service: str, upstream_id: str) -> None:
        """Records that an upstream is draining and announces a new drain."""
        key = service + SEPARATOR + upstream_id
        if self.drains.add(key, self._clock.now_ms()):
            self._announce()

    async def run(self) -> None:
        """Applies drains periodically until cancelled."""
        while True:
            self.read_vm_list()
            self.apply()
            await self._clock.sleep_ms(APPLY_INTERVAL_MS)

    def apply(self) -> None:
        """Updates routing to match the active drains."""
        now_ms = self._clock.now_ms()
        active = self.drains.active(now_ms)
        for key in self._applied - active:
            self._restore(key, now_ms)
        for key in active:
            service, _, upstream_id = key.partition(SEPARATOR)
            route = self.routes.by_name.get(service)
            if route is not None:
                route.drain(upstream_id, now_ms)
        self._applied = active

    def read_vm_list(self) -> None:
        """Records drains of upstreams that a newer VM list marks as leaving."""
        if self._listing.asked_ms == self._read_ms:
            return
        self._read_ms = self._listing.asked_ms
        leaving = self._listing.leaving()
        if not leaving:
            return
        for name, route in self.routes.by_name.items():
            for upstream_id in leaving & route.targets.keys():
                self.record_draining(name, upstream_id)

    def _restore(self, key: str, now_ms: float) -> None:
        service, _, upstream_id = key.partition(SEPARATOR)
        route = self.routes.by_name.get(service)
        if route is None or upstream_id not in route.targets:
            return
        configured = {
            each.upstream_id: each.draining for each in route.service.upstreams
        }
        if not configured.get(upstream_id, True):
            route.restore(upstream_id, now_ms)
