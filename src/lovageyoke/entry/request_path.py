"""The components of an entry VM that process requests."""

from __future__ import annotations

import random

from lovageyoke.caller import app as caller_app
from lovageyoke.clock import api as clock_api
from lovageyoke.config import model as config_model
from lovageyoke.entry import drains
from lovageyoke.entry import fleet as fleet_lib
from lovageyoke.entry import frontend
from lovageyoke.entry import observer as observer_lib
from lovageyoke.entry import probe as entry_probe
from lovageyoke.entry import service_controller as service_controller_lib
from lovageyoke.entry import services
from lovageyoke.limits import admission
from lovageyoke.limits import control
from lovageyoke.limits import upstream
from lovageyoke.probing import prober as prober_lib
from lovageyoke.settings import model
from lovageyoke.transport import pool


class RequestPath:
    """Routing, limits, connections and probes.

    Attributes:
        transport: Pools connections to upstreams.
        app: Forwards requests to the services.
        observer: Counts responses.
        frontend: The application served to callers.
        drains: Stops routing new requests to draining upstreams.
        prober: Probes upstreams within the probe budget.
        service_controller: Applies the configuration to routing and probing.
    """

    def __init__(
        self,
        settings: model.Settings,
        fleet: fleet_lib.Fleet,
        clock: clock_api.Clock,
        rng: random.Random,
    ) -> None:
        self.transport = pool.PooledTransport(clock)
        admission_control = control.AdmissionControl(
            settings.limits.max_in_flight
        )
        self.app = caller_app.create(
            services.Directory(fleet.view),
            services.PolicyFactory(settings.entry.failure_domain, rng).create,
            self.transport,
            fleet.claims,
            clock,
            admission=admission.Admission(admission_control, clock),
            on_drain=self._on_draining,
        )
        log_requests = settings.log.requests
        self.observer = observer_lib.RequestObserver(clock, log_requests)
        self.frontend = frontend.CallerFrontend(
            self.app, fleet.address_selector, self.observer, clock
        )
        self.drains = drains.DrainController(
            fleet.drains,
            self.app.routes,
            fleet.membership.state.members.listing,
            fleet.membership.announce,
            clock,
        )
        probe = entry_probe.UpstreamProbe(self.transport, clock)
        self.prober = prober_lib.Prober(
            probe, fleet.membership.view, clock, self._on_draining
        )
        self.service_controller = service_controller_lib.ServiceController(
            fleet.view, self.app.routes, self.prober, probe
        )

    def in_use(self) -> int:
        """Returns the number of admitted requests that are in flight."""
        return self.app.admission.control.in_use

    def set_entries(self, entries: int) -> None:
        """Sets how many entry VMs share the upstreams."""
        if entries == self.app.routes.entries:
            return
        self.app.routes.set_entries(entries)
        self.transport.connection_share = upstream.connection_share(
            config_model.DEFAULT_CONNECTIONS, entries
        )

    def _on_draining(self, service: str, upstream_id: str) -> None:
        self.drains.record_draining(service, upstream_id)
