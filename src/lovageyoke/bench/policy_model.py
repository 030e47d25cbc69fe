"""Deployments and scenarios of the policy bench."""

from __future__ import annotations

import attrs

from lovageyoke.config import model

ENTRIES = 16
DOMAINS = ("domain-1", "domain-2", "domain-3")


@attrs.frozen
class Deployment:
    """A service and the network that it runs on.

    Attributes:
        name: Name on the command line.
        preset: Weight between probing cost and tail latency.
        upstreams: Upstreams of the service.
        one_way_ms: Delay between two failure domains.
        local_ms: Delay within a failure domain.
        service_ms: Mean time that an undisturbed slot needs for a request.
        load: Arrivals over what all slots can serve.
        probes_per_s: Probes that the whole fleet may send in a second.
    """

    name: str
    preset: model.Preset
    upstreams: int
    one_way_ms: float
    local_ms: float
    service_ms: float
    load: float
    probes_per_s: float

    @property
    def arrivals_per_ms(self) -> float:
        """Requests a millisecond over all entry VMs."""
        slots = self.upstreams * model.DEFAULT_SLOTS
        return self.load * slots / self.service_ms


DEPLOYMENTS = {
    "kridtpladsen": Deployment(
        "kridtpladsen",
        model.Preset.PROBE_COST,
        upstreams=20,
        one_way_ms=1.5,
        local_ms=0.1,
        service_ms=30.0,
        load=0.7,
        probes_per_s=16.0,
    ),
    "nanny": Deployment(
        "nanny",
        model.Preset.TAIL_LATENCY,
        upstreams=20,
        one_way_ms=0.5,
        local_ms=0.1,
        service_ms=30.0,
        load=0.7,
        probes_per_s=160.0,
    ),
}


@attrs.frozen
class Scenario:
    """What goes wrong in a run.

    Attributes:
        name: Name on the command line.
        swings: Whether neighbours take capacity and arrivals surge.
        straggler: Whether one upstream becomes ten times slower.
        drain: Whether one upstream drains and then leaves.
        cold_start: Whether two upstreams join cold.
    """

    name: str
    swings: bool = False
    straggler: bool = False
    drain: bool = False
    cold_start: bool = False


SCENARIOS = {
    each.name: each
    for each in (
        Scenario("steady"),
        Scenario("swings", swings=True),
        Scenario("straggler", straggler=True),
        Scenario("drain", drain=True),
        Scenario("cold-start", cold_start=True),
        Scenario("combined", True, True, True, True),
    )
}
