"""Deterministic subsets of the upstreams of large services.

With hundreds of upstreams and processes, each process would keep connections
to all upstreams and evaluate all of them for each request, while a few dozen
serve as well. Each upstream is in about the same number of subsets, and one
change of the list changes one member of a subset.
"""

from __future__ import annotations

from collections.abc import Iterable

from lovageyoke.routing import load_view

LOCAL_SIZE = 24  # In the process's failure domain.
REMOTE_SIZE = 8  # In other domains, for when the local one is full.
MAX_WHOLE_SIZE = 40  # Services up to this size aren't subsetted.


def choose(
    views: Iterable[load_view.UpstreamView], node_id: str, failure_domain: str
) -> list[load_view.UpstreamView]:
    """Returns the upstreams in the subset of a process.

    Args:
        views: The upstreams of a service.
        node_id: Id of the process.
        failure_domain: Failure domain of the process.
    """
    available = [each for each in views if each.upstream.accepts_requests]
    if len(available) <= MAX_WHOLE_SIZE:
        return available
    available.sort(key=lambda each: _rank(node_id, each))
    local = [
        each
        for each in available
        if each.upstream.failure_domain == failure_domain
    ][:LOCAL_SIZE]
    remote = [
        each
        for each in available
        if each.upstream.failure_domain != failure_domain
    ]
    return local + remote[: LOCAL_SIZE + REMOTE_SIZE - len(local)]


def _rank(node_id: str, view: load_view.UpstreamView) -> tuple[int, str]:
    upstream_id = view.upstream.upstream_id
    # The multiplicative hash spreads ids that differ in one character.
    number = load_view.short_id(f"{node_id}\0{upstream_id}")
    return number * 2_654_435_761 % 2**32, upstream_id
