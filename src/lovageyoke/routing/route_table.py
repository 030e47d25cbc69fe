"""Route lookup and weighted traffic splits."""

from __future__ import annotations

from collections.abc import Iterable

from lovageyoke.routing import model


class RouteTable:
    """Matches requests by host and longest path prefix.

    Attributes:
        by_host: Routes by prefix, for each host.
    """

    def __init__(self, routes: Iterable[model.Route]) -> None:
        self.by_host: dict[str, dict[str, model.Route]] = {}
        for route in routes:
            prefixes = self.by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> model.Route | None:
        """Returns the route with the longest prefix of ``path``, if any.

        Args:
            host: Value of the Host header; a port is ignored.
            path: The request's path, without its query.
        """
        prefixes = self.by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedRoundRobin:
    """Splits a route's requests by smooth weighted round-robin.

    Short sequences of requests are also split as configured, not only the
    long-term average.

    Attributes:
        current_weights: Current weight of each target, by targets.
    """

    def __init__(self) -> None:
        self.current_weights: dict[tuple[model.Target, ...], list[float]] = {}

    def pick(self, route: model.Route, start: float = 0.0) -> str:
        """Returns the service that takes the next request of ``route``.

        Args:
            route: The route.
            start: Number in [0, 1) that offsets the initial weights, so that
                processes started together don't choose in lockstep.
        """
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        current = self.current_weights.get(targets)
        if current is None:
            current = [start * target.weight for target in targets]
            self.current_weights[targets] = current
        total = 0.0
        for index, target in enumerate(targets):
            current[index] += target.weight
            total += target.weight
        chosen = max(range(len(targets)), key=current.__getitem__)
        current[chosen] -= total
        return targets[chosen].service

    def keep_only(self, routes: Iterable[model.Route]) -> None:
        """Drops the weights of splits that no route uses."""
        used = {route.targets for route in routes}
        for targets in [
            each for each in self.current_weights if each not in used
        ]:
            del self.current_weights[targets]
