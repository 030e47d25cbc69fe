"""Routing state of each service in the current configuration."""

from __future__ import annotations

from collections.abc import Set as AbstractSet

import attrs

from lovageyoke.caller import api
from lovageyoke.clock import api as clock_api
from lovageyoke.config import model
from lovageyoke.limits import admission as admission_module
from lovageyoke.limits import upstream as upstream_limits
from lovageyoke.retry import budget as retry_budget
from lovageyoke.retry import hedge
from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api as transport_api


@attrs.define
class Route:
    """A service's routing policy, its limits and its upstreams' addresses.

    Attributes:
        version: Version of the service that is in force.
        service: The service.
        policy: Selects its upstreams.
        admission: Queues requests while its upstreams are at capacity.
        budget: Limits its retries and hedges.
        latency: Its recent latencies.
        limits: Concurrency limit of each upstream.
        targets: Socket address of each upstream.
        drained: Upstreams that get no new requests.
        is_removed: Whether the service was removed; requests in flight go on.
    """

    version: int
    service: model.Service
    policy: routing_api.RoutingPolicy
    admission: admission_module.Admission
    budget: retry_budget.RetryBudget
    latency: hedge.RecentLatency
    limits: upstream_limits.UpstreamLimits = attrs.field(
        factory=upstream_limits.UpstreamLimits
    )
    targets: dict[str, transport_api.Target] = attrs.field(factory=dict)
    drained: set[str] = attrs.field(factory=set)
    is_removed: bool = False

    def update(
        self, version: int, service: model.Service, entries: int, now_ms: float
    ) -> None:
        """Applies a version of the service.

        Args:
            version: The version.
            service: The service.
            entries: Entry VMs that share its upstreams.
            now_ms: Current time in milliseconds.
        """
        self.version = version
        self.service = service
        self.budget.ratio = service.limits.retry_ratio
        self.targets = {
            upstream.upstream_id: transport_api.Target(
                upstream.upstream_id, upstream.address, upstream.port
            )
            for upstream in service.upstreams
        }
        self.drained = {
            upstream.upstream_id
            for upstream in service.upstreams
            if upstream.draining
        }
        self.policy.set_upstreams(service.upstreams, now_ms)
        self.limits.set_upstreams(service.upstreams, entries)
        self.admission.control.set_service(service)
        self._publish_capacity()

    def choose(
        self, now_ms: float, tried: AbstractSet[str], untried_only: bool
    ) -> str | None:
        """Returns an upstream with free capacity, None if there is none.

        Args:
            now_ms: Current time in milliseconds.
            tried: Upstreams to avoid.
            untried_only: Whether to use only upstreams that were not tried.
        """
        full = self.limits.full
        chosen = self.policy.choose(now_ms, tried | full if full else tried)
        if chosen is None and tried and not untried_only:
            chosen = self.policy.choose(now_ms, full)
        return chosen if chosen in self.targets else None

    def dispatched(self, upstream_id: str, now_ms: float) -> None:
        """Records that a request was sent to an upstream."""
        self.policy.dispatched(upstream_id, now_ms)
        self.limits.start(upstream_id)

    def completed(
        self, completion: routing_api.Completion, now_ms: float
    ) -> None:
        """Records the end of an exchange."""
        self.policy.completed(completion, now_ms)
        if completion.result is routing_api.Result.OK:
            self.latency.record(completion.latency_ms, now_ms)
        limit = self.limits.limits.get(completion.upstream_id)
        allowed = 0 if limit is None else limit.allowed
        self.limits.finish(completion, now_ms)
        if limit is not None and limit.allowed != allowed:
            self._publish_capacity()

    def drain(self, upstream_id: str, now_ms: float) -> bool:
        """Stops new requests to an upstream; returns whether it changed."""
        if upstream_id in self.drained or upstream_id not in self.targets:
            return False
        self.drained.add(upstream_id)
        self.policy.drain(upstream_id, now_ms)
        self._publish_capacity()
        return True

    def restore(self, upstream_id: str, now_ms: float) -> None:
        """Allows new requests to an upstream again."""
        self.drained.discard(upstream_id)
        self.policy.restore(upstream_id, now_ms)
        self._publish_capacity()

    def _publish_capacity(self) -> None:
        if self.is_removed:
            return
        usable = self.targets.keys() - self.drained
        self.admission.set_capacity(
            self.service.name, self.limits.capacity(usable)
        )


class Routes:
    """Holds a route per service, updated to the newest version.

    Attributes:
        by_name: Route of each service.
        entries: Entry VMs that share the upstreams.
    """

    def __init__(
        self,
        policies: api.PolicyFactory,
        admission: admission_module.Admission,
        clock: clock_api.Clock,
        entries: int,
    ) -> None:
        self.by_name: dict[str, Route] = {}
        self.entries = entries
        self._policies = policies
        self._admission = admission
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

    def remove(self, name: str) -> None:
        """Removes the route of a removed service."""
        route = self.by_name.pop(name, None)
        if route is not None:
            route.is_removed = True
            self._admission.remove_service(name)

    def set_entries(self, entries: int) -> None:
        """Sets how many entry VMs share the upstreams."""
        self.entries = entries
        for route in self.by_name.values():
            self._update(route, route.version, route.service)

    def _create(self, service: model.Service) -> Route:
        now_ms = self._clock.now_ms()
        return Route(
            -1,
            service,
            self._policies(service),
            self._admission,
            retry_budget.RetryBudget(now_ms),
            hedge.RecentLatency(now_ms),
        )

    def _update(
        self, route: Route, version: int, service: model.Service
    ) -> None:
        if service.routing != route.service.routing:
            route.policy = self._policies(service)
        route.update(version, service, self.entries, self._clock.now_ms())
