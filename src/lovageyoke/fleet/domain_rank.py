"""Positions of this process among all processes of its failure domain."""

from __future__ import annotations

from lovageyoke.fleet import members as fleet_members


class DomainRanks:
    """This process's positions for duties that no two groups may have.

    Unlike in ``Members.duty_position``, processes that are gone keep their
    place, as they may have been cut off and still have the duty, until they
    are forgotten. Positions are kept while the processes are the same; at a
    start the states of processes change with almost every message.

    Attributes:
        members: The processes of the fleet.
        changes: Number of changes of ``members`` that are included.
        node_ids: The other processes of the failure domain that aren't
            leaving.
        positions: The positions by duty.
    """

    def __init__(self, members: fleet_members.Members) -> None:
        self.members = members
        self.changes = -1
        self.node_ids: frozenset[str] = frozenset()
        self.positions: dict[str, int] = {}

    @property
    def size(self) -> int:
        """Number of processes that have a position."""
        return len(self.node_ids) + 1

    def position(self, key: str, failure_domain: str) -> int | None:
        """Returns this process's position for a duty.

        Args:
            key: Name of the duty.
            failure_domain: Failure domain of the duty.

        Returns:
            The position from 0; None if this process is in another failure
            domain or leaving.
        """
        members = self.members
        if members.domain != failure_domain or members.own.leaving:
            return None
        if self.changes != members.changes:
            self.changes = members.changes
            self.update()
        found = self.positions.get(key)
        if found is None:
            own_rank = fleet_members.duty_rank(key, members.own.peer.node_id)
            found = sum(
                fleet_members.duty_rank(key, each) < own_rank
                for each in self.node_ids
            )
            self.positions[key] = found
        return found

    def update(self) -> None:
        """Updates the processes; drops the positions if they differ."""
        node_ids = frozenset(
            each.peer.node_id
            for each in self.members.of_domain(self.members.domain)
            if not each.state.leaving
        )
        if node_ids != self.node_ids:
            self.node_ids = node_ids
            self.positions = {}
