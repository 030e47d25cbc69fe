"""Selects the upstreams to use from the states of their keys."""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs

from lovageyoke.fleet import key_state
from lovageyoke.fleet import lifetimes as fleet_lifetimes
from lovageyoke.routing import model
from lovageyoke.store import positions

# If less than this share of a service's entries is certain, the doubtful ones
# are used, too: many live upstreams register again after a long outage.
PANIC_THRESHOLD = 0.5


def select(
    states: Iterable[key_state.KeyState],
    lifetimes: fleet_lifetimes.EndedLifetimes,
    evacuated: set[str],
) -> list[model.Upstream]:
    """Returns the upstreams; only the newest entry of each address.

    Args:
        states: The states of all keys.
        lifetimes: The lifetimes that were removed.
        evacuated: The failure domains that are being evacuated; their
            upstreams are marked.
    """
    newest: dict[
        tuple[str, int], tuple[positions.Position, model.Upstream]
    ] = {}
    for position, upstream in _usable(list(states), lifetimes):
        address = (upstream.host, upstream.port)
        other = newest.get(address)
        if other is None or other[0] < position:
            newest[address] = (position, upstream)
    return [
        attrs.evolve(upstream, evacuated=True)
        if upstream.failure_domain in evacuated
        else upstream
        for _, upstream in newest.values()
    ]


def _usable(
    states: list[key_state.KeyState],
    lifetimes: fleet_lifetimes.EndedLifetimes,
) -> Iterable[tuple[positions.Position, model.Upstream]]:
    """Yields the upstreams that may be used, each with its position."""
    doubtful: list[tuple[positions.Position, model.Upstream]] = []
    certain: collections.Counter[str] = collections.Counter()
    for state in states:
        if state.upstream is None:
            continue
        if state.in_use is not None:
            certain[state.upstream.service] += 1
            yield state.position, state.upstream
        elif not lifetimes.is_obsolete(state.upstream):
            doubtful.append((state.position, state.upstream))
    total = certain + collections.Counter(each.service for _, each in doubtful)
    for position, upstream in doubtful:
        service = upstream.service
        if certain[service] < PANIC_THRESHOLD * total[service]:
            yield position, upstream
