"""Route table: maps host and path to a service."""

from __future__ import annotations

import bisect

from lovageyoke.config import model

ANY_HOST = ""
MAX_PREFIX_CHARACTERS = 1_024

Selector = tuple[str, str]


class RouteIndex:
    """Finds the service of a request.

    A service without hosts matches any host, and one without path prefixes
    any path. An exact host takes precedence over a match on any host; within
    a host, the longest prefix wins. Prefixes match whole path segments. Among
    services with the same selector, the first in alphabetical order wins.
    """

    def __init__(self) -> None:
        self._names: dict[str, dict[str, list[str]]] = {}

    def add(self, service: model.Service) -> None:
        """Adds the selectors of a service."""
        for host, prefix in selectors(service):
            names = self._names.setdefault(host, {}).setdefault(prefix, [])
            if service.name not in names:
                bisect.insort(names, service.name)

    def remove(self, service: model.Service) -> None:
        """Removes the selectors of a service that was added."""
        for host, prefix in set(selectors(service)):
            prefixes = self._names[host]
            prefixes[prefix].remove(service.name)
            if not prefixes[prefix]:
                del prefixes[prefix]
            if not prefixes:
                del self._names[host]

    def find(self, host: str, path: str) -> str | None:
        """Returns the name of the service that matches a request, or None.

        Args:
            host: Value of the Host header.
            path: Path of the request, without its query.
        """
        shortened = _shorten(path)
        for table_host in (host_name(host), ANY_HOST):
            prefixes = self._names.get(table_host)
            if prefixes is not None:
                found = _find_prefix(prefixes, shortened)
                if found is not None:
                    return found
        return None

    def services_with_same_selector(self, service: model.Service) -> set[str]:
        """Returns the names of other services that share a selector."""
        found: set[str] = set()
        for host, prefix in selectors(service):
            found.update(self._names.get(host, {}).get(prefix, ()))
        return found - {service.name}


def selectors(service: model.Service) -> list[Selector]:
    """Returns the pairs of host and path prefix that select a service."""
    hosts = service.hosts or (ANY_HOST,)
    prefixes = service.path_prefixes or ("/",)
    return [(host, prefix.rstrip("/")) for host in hosts for prefix in prefixes]


def host_name(host: str) -> str:
    """Returns the host of a Host header in lower case, without the port."""
    if host.startswith("["):
        return host[1:].partition("]")[0].lower()
    return host.partition(":")[0].lower()


def _shorten(path: str) -> str:
    if len(path) <= MAX_PREFIX_CHARACTERS:
        return path
    return path[: MAX_PREFIX_CHARACTERS + 1].rpartition("/")[0]


def _find_prefix(prefixes: dict[str, list[str]], path: str) -> str | None:
    candidate = path
    while True:
        names = prefixes.get(candidate)
        if names:
            return names[0]
        if not candidate:
            return None
        candidate = candidate.rpartition("/")[0]
