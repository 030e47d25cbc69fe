"""Selects the process states to include in the next message.

Unchanged states are sent too, in round-robin order, so that the membership
lists of all processes converge.
"""

from __future__ import annotations

from lovageyoke.fleet import member as fleet_member
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.fleet import transmissions

MAX_CHANGED_STATES = 60  # Changed states per message.
ROUND_ROBIN_STATES = 3
# A message with this many changed states, as in a start of all, has no others.
BUSY_STATES = 10


class StateUpdates:
    """Queue of process states to send to one group of recipients.

    Attributes:
        members: The processes.
        own_domain_only: Whether only states of the own failure domain are
            sent.
        transmissions: Selects the processes by node id.
    """

    def __init__(
        self, members: fleet_members.Members, own_domain_only: bool
    ) -> None:
        self.members = members
        self.own_domain_only = own_domain_only
        self.transmissions = transmissions.TransmissionQueue()

    def queue(self, node_ids: set[str]) -> None:
        """Queues the states of processes that have changed."""
        self.transmissions.queue(node_ids)

    def queued(self) -> int:
        """Returns how many changed states are still to be sent."""
        return len(self.transmissions.pending) + len(self.members.changed_ids)

    def next_states(
        self, round_robin: bool, limit: int | None = None
    ) -> tuple[messages.MemberState, ...]:
        """Returns the states for the next message.

        Args:
            round_robin: Whether to add states in round-robin order.
            limit: Maximum number of changed states, None for
                ``MAX_CHANGED_STATES``.
        """
        most = MAX_CHANGED_STATES
        if limit is not None:
            most = min(most, limit)
        node_ids = self.transmissions.take(most)
        if round_robin and len(node_ids) < min(BUSY_STATES, most):
            node_ids.extend(
                self.transmissions.take_round_robin(
                    [
                        node_id
                        for node_id, member in self.members.others.items()
                        if self.includes(member)
                    ],
                    ROUND_ROBIN_STATES,
                )
            )
        found = (self.members.others.get(each) for each in node_ids)
        return tuple(
            each.state for each in found if each and self.includes(each)
        )

    def queue_all(self) -> None:
        """Queues the states of all processes."""
        self.queue(set(self.members.others))

    def includes(self, member: fleet_member.Member) -> bool:
        """Returns whether a process's state is sent to these recipients."""
        domain = member.peer.failure_domain
        return not self.own_domain_only or domain == self.members.domain
