"""The routing policies by name."""

from __future__ import annotations

import random

from lovageyoke.config import model
from lovageyoke.errors import exceptions
from lovageyoke.routing import api
from lovageyoke.routing import baselines
from lovageyoke.routing import pool
from lovageyoke.routing import tracking

BASELINES: dict[str, type[tracking.TrackingPolicy]] = {
    "random": baselines.RandomPolicy,
    "round-robin": baselines.RoundRobinPolicy,
    "least-in-flight": baselines.LeastInFlightPolicy,
    "power-of-two": baselines.PowerOfTwoPolicy,
}
POOL = "pool"
NAMES = (POOL, *BASELINES)


def create(
    name: str,
    routing: model.Routing,
    own_failure_domain: str,
    rng: random.Random,
) -> api.RoutingPolicy:
    """Creates a routing policy.

    Args:
        name: One of ``NAMES``.
        routing: Routing settings of the service.
        own_failure_domain: Where this entry VM runs.
        rng: Source of random numbers; the policy keeps it.

    Raises:
        IntentError: No policy has that name.
    """
    if name == POOL:
        return pool.PoolPolicy(routing, own_failure_domain, rng)
    if name in BASELINES:
        return BASELINES[name](rng)
    raise exceptions.IntentError(
        (f"routing.policy: {name!r} is not one of {', '.join(NAMES)}",)
    )
