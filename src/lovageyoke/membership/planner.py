"""Plans the next write to the roster of probe slots."""

from __future__ import annotations

from collections.abc import Set as AbstractSet

import attrs

from lovageyoke.membership import roster as roster_lib
from lovageyoke.membership import share as share_lib


@attrs.frozen
class PlannerInput:
    """Inputs of the planner besides the roster.

    Attributes:
        peer_address: Peer address of this process.
        min_capacity: Minimum capacity of the roster.
        leaving: Whether this process is stopping.
        reclaimer: Whether this process reclaims the slots of others. Normally
            only one process does, to avoid conflicting writes.
        presumed_dead: Holders presumed to have exited. A false positive
            costs the holder its share until it next reads the roster, and
            never makes the shares sum to more than one.
    """

    peer_address: str
    min_capacity: int = 1
    leaving: bool = False
    reclaimer: bool = False
    presumed_dead: AbstractSet[roster_lib.Holder] = frozenset()


def next_roster(
    share: share_lib.ProbeShare, inputs: PlannerInput, now_ms: float
) -> roster_lib.Roster | None:
    """Returns the roster to write next, or None if there is no change.

    Args:
        share: Share of this process, with the newest roster it has read.
        inputs: The other inputs.
        now_ms: The current time in milliseconds.
    """
    if inputs.leaving:
        return _leave(share)
    own = _own_slot(share, inputs)
    if own is not None or share.roster.slot_of(share.holder) is None:
        return own
    if inputs.reclaimer:
        reclaimed = _reclaim(share, inputs, now_ms)
        if reclaimed is not None:
            return reclaimed
    if share.confirms_growth(now_ms):
        return share.roster.confirm()
    return share.roster.compact(share.holder, inputs.min_capacity)


def _leave(share: share_lib.ProbeShare) -> roster_lib.Roster | None:
    if share.roster.slot_of(share.holder) is None:
        return None
    return share.roster.remove([share.holder])


def _own_slot(
    share: share_lib.ProbeShare, inputs: PlannerInput
) -> roster_lib.Roster | None:
    if is_superseded(share):
        return None
    slot = share.roster.slot_of(share.holder)
    if slot is None:
        return share.roster.join(
            share.holder, inputs.peer_address, inputs.min_capacity
        )
    if slot.revoked:
        return share.roster.set_revoked([share.holder], revoked=False)
    return None


def is_superseded(share: share_lib.ProbeShare) -> bool:
    """Returns whether a later incarnation of this entry VM has a slot."""
    entry_id, incarnation = share.holder
    return any(
        each.entry_id == entry_id and each.incarnation > incarnation
        for each in share.roster.slots
    )


def _reclaim(
    share: share_lib.ProbeShare, inputs: PlannerInput, now_ms: float
) -> roster_lib.Roster | None:
    lapsed = share.lapsed(now_ms)
    if lapsed:
        return share.roster.remove(lapsed)
    presumed_dead = {
        each.holder
        for each in share.roster.slots
        if each.holder in inputs.presumed_dead and not each.revoked
    }
    if presumed_dead - {share.holder}:
        return share.roster.set_revoked(
            presumed_dead - {share.holder}, revoked=True
        )
    return None
