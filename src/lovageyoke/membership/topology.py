"""Selects the neighbours with which an entry VM exchanges heartbeats.

A region of up to ``MESH_SIZE`` entry VMs is a full mesh. In a larger one, the
neighbours are the nearest entry VMs on both sides of a ring, so that the
neighbours of an entry VM are also neighbours of each other and can report
heartbeats received from it. A few links to other entry VMs, chosen by
rendezvous hashing, connect the regions in one graph of small diameter. The
number of neighbours doesn't grow with the fleet.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import xxhash

from lovageyoke.membership import messages
from lovageyoke.membership import rendezvous

MESH_SIZE = 16
RING_HALF = 5
LONG_LINKS = 4


@attrs.frozen
class Neighbours:
    """Entry VMs that heartbeats are sent to.

    Attributes:
        near: Mutual neighbours, whose liveness is monitored.
        far: Other receivers, not monitored here because their own
            neighbours monitor them.
    """

    near: tuple[str, ...] = ()
    far: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """All neighbours, near ones first."""
        return (*self.near, *self.far)


def choose(
    own: messages.MemberRecord, others: Iterable[messages.MemberRecord]
) -> Neighbours:
    """Returns the neighbours of an entry VM.

    Args:
        own: Record of the local entry VM.
        others: Records of the other entry VMs, without dead ones.
    """
    everyone = list(others)
    if len(everyone) < MESH_SIZE:
        return Neighbours(tuple(sorted(each.entry_id for each in everyone)))
    near = _near(own, everyone)
    rest = [each.entry_id for each in everyone if each.entry_id not in near]
    far = rendezvous.ranked(f"link\0{own.entry_id}", rest)[:LONG_LINKS]
    return Neighbours(tuple(sorted(near)), tuple(far))


def _near(
    own: messages.MemberRecord, others: list[messages.MemberRecord]
) -> set[str]:
    region = {each.entry_id for each in others if each.region == own.region}
    if len(region) < MESH_SIZE:
        return region
    ring = sorted((*region, own.entry_id), key=_ring_position)
    index = ring.index(own.entry_id)
    return {
        ring[(index + step) % len(ring)]
        for step in range(-RING_HALF, RING_HALF + 1)
        if step
    }


def _ring_position(entry_id: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(entry_id.encode()), entry_id)
