"""Position of this process among all processes of its failure domain."""

from __future__ import annotations

from lovageyoke.fleet import members as fleet_members


def position(
    members: fleet_members.Members, key: str, failure_domain: str
) -> tuple[int | None, int]:
    """Returns this process's position for a duty that no two groups may have.

    Unlike in ``Members.duty_position``, processes that are gone keep their
    place, as they may have been cut off and still have the duty, until they
    are forgotten.

    Args:
        members: The processes of the fleet.
        key: Name of the duty.
        failure_domain: Failure domain of the duty.

    Returns:
        The position from 0, None if this process is in another failure domain
        or leaving; and the number of processes of the failure domain.
    """
    states = [
        each.state
        for each in members.of_domain(failure_domain)
        if not each.state.leaving
    ]
    if members.domain != failure_domain or members.own.leaving:
        return None, len(states)
    own_rank = fleet_members.duty_rank(key, members.own)
    before = sum(
        fleet_members.duty_rank(key, each) < own_rank for each in states
    )
    return before, len(states) + 1
