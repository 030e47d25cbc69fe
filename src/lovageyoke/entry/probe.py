"""Probes upstreams over the connection pool that requests use."""

from __future__ import annotations

from lovageyoke.clock import api as clock_api
from lovageyoke.probing import api
from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api as transport_api
from lovageyoke.transport import load_header

PROBE_DEADLINE_MS = 1_000.0


class UpstreamProbe(api.Probe):
    """Requests a load report at the probe path of a service.

    Attributes:
        paths: Probe path by target.
    """

    def __init__(
        self, transport: transport_api.Transport, clock: clock_api.Clock
    ) -> None:
        self.paths: dict[transport_api.Target, bytes] = {}
        self._transport = transport
        self._clock = clock

    async def probe(
        self, target: transport_api.Target
    ) -> routing_api.LoadReport | None:
        """Returns the load of an upstream, or None if it reports none."""
        path = self.paths.get(target)
        if path is None:
            return None
        request = transport_api.Request(
            b"GET", path, ((b"host", target.address.encode()),), b"", True
        )
        deadline_ms = self._clock.now_ms() + PROBE_DEADLINE_MS
        exchange = await self._transport.send(target, request, deadline_ms)
        try:
            while await exchange.read():
                pass
            return load_header.find_report(exchange.head)
        finally:
            exchange.close()
