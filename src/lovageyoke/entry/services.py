"""Adapters that provide configured services to the caller application."""

from __future__ import annotations

import random

from lovageyoke.caller import api as caller_api
from lovageyoke.config import model
from lovageyoke.config import view
from lovageyoke.routing import api as routing_api
from lovageyoke.routing import registry


class Directory(caller_api.ServiceDirectory):
    """Looks up services in the configuration in force."""

    def __init__(self, config: view.ConfigView) -> None:
        self._config = config

    def service_for(
        self, host: str, path: str
    ) -> model.VersionedService | None:
        """Returns the service that matches a host and path, or None."""
        return self._config.service_for(host, path)


class PolicyFactory:
    """Creates the routing policy of each service.

    Attributes:
        failure_domain: The failure domain of this entry VM.
        rng: Generates the seeds of the policies.
    """

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self.failure_domain = failure_domain
        self.rng = rng

    def create(self, service: model.Service) -> routing_api.RoutingPolicy:
        """Returns a new policy for a service."""
        rng = random.Random(self.rng.getrandbits(64))  # noqa: S311
        return registry.create(
            service.routing.policy, service.routing, self.failure_domain, rng
        )
