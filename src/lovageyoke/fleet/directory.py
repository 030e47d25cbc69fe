"""Which addresses callers are told to connect to."""

from __future__ import annotations

import random

import attrs

from lovageyoke.fleet import members as fleet_members

MAX_ADDRESSES = 64
MIN_NEAR = 2  # With fewer ready processes nearby, others are named too.
LIFETIME_MS = 2_000.0  # How fast callers learn of processes that leave.


@attrs.frozen
class AddressQuery:
    """What a caller asks.

    Attributes:
        host: Host that it wants to reach.
        region: Its region.
        failure_domain: Its failure domain.
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
    """Returns the addresses of ready processes, near ones if there are some.

    Args:
        members: The processes.
        query: What the caller asks.
        own_ready: Whether this process takes callers.
        now_ms: The time.
        rng: Picks among too many.
    """
    near: list[str] = []
    far: list[str] = []
    if own_ready:
        own = members.own
        chosen = near if own.failure_domain == query.failure_domain else far
        chosen.append(own.front)
    for member in members.live(now_ms):
        heartbeat = member.heartbeat
        if heartbeat is None or not heartbeat.ready or heartbeat.leaving:
            continue
        is_near = member.peer.failure_domain == query.failure_domain
        (near if is_near else far).append(member.peer.front)
    found = near if len(near) >= MIN_NEAR else near + far
    if len(found) > MAX_ADDRESSES:
        found = rng.sample(found, MAX_ADDRESSES)
    return sorted(found)
