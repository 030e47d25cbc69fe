"""Selects the addresses that callers should connect to."""

from __future__ import annotations

import math
import random

import attrs

from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages

MAX_ADDRESSES = 64
MIN_NEAR = 2  # With fewer ready processes nearby, others are included.
LIFETIME_MS = 2_000.0  # Callers notice leaving processes within this time.


@attrs.frozen
class AddressQuery:
    """A caller's query for addresses.

    Attributes:
        host: Host that the caller wants to reach.
        region: Region of the caller.
        failure_domain: Failure domain of the caller.
    """

    host: str
    region: str
    failure_domain: str


def addresses(
    members: fleet_members.Members,
    query: AddressQuery,
    own_ready: bool,
    now_ms: float,
    rng: random.Random,
) -> list[str]:
    """Returns the addresses of ready processes, preferring nearby ones.

    Processes of other failure domains are included if fewer than
    ``MIN_NEAR`` are ready in the caller's domain.

    Args:
        members: The processes.
        query: The caller's query.
        own_ready: Whether this process accepts callers.
        now_ms: The time.
        rng: Samples if there are more than ``MAX_ADDRESSES``.
    """
    near: list[messages.MemberState] = []
    far: list[messages.MemberState] = []
    states = [each.state for each in members.live(now_ms)]
    if own_ready:
        states.append(members.own)
    for state in states:
        if state is not members.own and (not state.ready or state.leaving):
            continue
        is_near = state.peer.failure_domain == query.failure_domain
        (near if is_near else far).append(state)
    found = near if len(near) >= MIN_NEAR else near + far
    return sorted(each.peer.front for each in _some(found, rng))


def _some(
    states: list[messages.MemberState], rng: random.Random
) -> list[messages.MemberState]:
    """Samples at most ``MAX_ADDRESSES``, weighted by capacity."""
    if len(states) <= MAX_ADDRESSES:
        return states

    def draw(state: messages.MemberState) -> float:
        # Weighted sampling without replacement (Efraimidis and Spirakis).
        return math.log(1.0 - rng.random()) / max(1, state.capacity)

    return sorted(states, key=draw)[-MAX_ADDRESSES:]
