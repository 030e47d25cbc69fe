"""The routing state of each service in force."""

from __future__ import annotations

import attrs

from lovageyoke.caller import api
from lovageyoke.clock import api as clock_api
from lovageyoke.config import model
from lovageyoke.retry import budget as retry_budget
from lovageyoke.retry import hedge
from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api as transport_api


@attrs.define
class Route:
    """A service's routing policy and the addresses of its upstreams.

    Attributes:
        version: Version of the service that is in force.
        service: The service.
        policy: Chooses among its upstreams.
        targets: Socket address of each upstream.
        budget: Bounds its retries and hedges.
        latency: Its recent latencies.
    """

    version: int
    service: model.Service
    policy: routing_api.RoutingPolicy
    targets: dict[str, transport_api.Target]
    budget: retry_budget.RetryBudget
    latency: hedge.RecentLatency


class Routes:
    """Keeps one route for each service, as its newest version says."""

    def __init__(
        self, policies: api.PolicyFactory, clock: clock_api.Clock
    ) -> None:
        self.by_name: dict[str, Route] = {}
        self._policies = policies
        self._clock = clock

    def route(self, versioned: model.VersionedService) -> Route | None:
        """Returns the route of a service, None when it was removed."""
        service = versioned.service
        if service is None:
            return None
        route = self.by_name.get(service.name)
        if route is None:
            route = self._create(service)
            self.by_name[service.name] = route
        if versioned.version > route.version:
            self._update(route, versioned.version, service)
        return route

    def _create(self, service: model.Service) -> Route:
        now_ms = self._clock.now_ms()
        return Route(
            -1,
            service,
            self._policies(service),
            {},
            retry_budget.RetryBudget(now_ms),
            hedge.RecentLatency(now_ms),
        )

    def _update(
        self, route: Route, version: int, service: model.Service
    ) -> None:
        if service.routing != route.service.routing:
            route.policy = self._policies(service)
        route.budget.ratio = service.limits.retry_ratio
        route.version = version
        route.service = service
        route.targets = {
            upstream.upstream_id: transport_api.Target(
                upstream.upstream_id, upstream.address, upstream.port
            )
            for upstream in service.upstreams
        }
        route.policy.set_upstreams(service.upstreams, self._clock.now_ms())
