"""Interface of probes."""

from __future__ import annotations

import abc

from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api as transport_api


class Probe(abc.ABC):
    """Asks an upstream for its load."""

    @abc.abstractmethod
    async def probe(
        self, target: transport_api.Target
    ) -> routing_api.LoadReport | None:
        """Returns the upstream's load, or None when it did not tell.

        The caller cancels a probe that takes too long.
        """
