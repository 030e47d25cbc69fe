"""Applies the configuration in force to routing and probing."""

from __future__ import annotations

from lovageyoke.caller import routes as caller_routes
from lovageyoke.config import model
from lovageyoke.config import view as config_view
from lovageyoke.entry import probe as entry_probe
from lovageyoke.probing import presets
from lovageyoke.probing import prober as prober_lib


class ServiceController:
    """Applies each configuration change to routing and probing.

    Attributes:
        routes: Routing state of each service.
        prober: Probes the upstreams of the services.
    """

    def __init__(
        self,
        view: config_view.ConfigView,
        routes: caller_routes.Routes,
        prober: prober_lib.Prober,
        probe: entry_probe.UpstreamProbe,
    ) -> None:
        self.routes = routes
        self.prober = prober
        self._probe = probe
        self._view = view

    async def run(self) -> None:
        """Applies changes until cancelled."""
        subscription = self._view.subscribe()
        try:
            for name in tuple(self._view.services()):
                self.apply(name)
            async for change in subscription:
                for name in change.names:
                    self.apply(name)
        finally:
            self._view.unsubscribe(subscription)

    def apply(self, name: str) -> None:
        """Applies the current configuration of one service."""
        self._remove_paths(name)
        versioned = self._view.service(name)
        if versioned is None or versioned.service is None:
            self.routes.remove(name)
            self.prober.remove(name)
            return
        route = self.routes.route(versioned)
        if route is not None:
            self._probe_service(versioned.service, route)

    def _probe_service(
        self, service: model.Service, route: caller_routes.Route
    ) -> None:
        path = service.routing.probe_path.encode()
        for target in route.targets.values():
            self._probe.paths[target] = path
        self.prober.add(
            service.name,
            route.policy,
            service.routing.probes_per_s,
            presets.PARAMETERS[service.routing.preset],
            route.targets,
        )

    def _remove_paths(self, name: str) -> None:
        known = self.prober.services.get(name)
        if known is not None:
            for target in known.targets.values():
                self._probe.paths.pop(target, None)
