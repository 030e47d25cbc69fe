"""Interface of load probes."""

from __future__ import annotations

import abc

from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api as transport_api


class Probe(abc.ABC):
    """Requests the load of an upstream."""

    @abc.abstractmethod
    async def probe(
        self, target: transport_api.Target
    ) -> routing_api.LoadReport | None:
        """Returns the upstream's load, or None if it sent no report.

        The caller cancels the probe on a timeout.
        """
