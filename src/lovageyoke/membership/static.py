"""Membership of a fixed list of entry VMs."""

from __future__ import annotations

from lovageyoke.membership import api
from lovageyoke.membership import rendezvous

OWNER_STATES = (api.MemberState.ALIVE, api.MemberState.SUSPECT)


class StaticMembership(api.MembershipView):
    """Membership view that changes only through ``replace``.

    Attributes:
        entry_id: Id of the local entry VM.
        listed: All members, by entry id.
    """

    def __init__(self, entry_id: str, members: tuple[api.Member, ...]) -> None:
        self.entry_id = entry_id
        self.listed = {each.entry_id: each for each in members}
        if entry_id not in self.listed:
            raise ValueError(f"{entry_id} is not among the members")

    def self_id(self) -> str:
        """Returns the id of the local entry VM."""
        return self.entry_id

    def members(self) -> tuple[api.Member, ...]:
        """Returns the members that are not dead."""
        return tuple(
            each
            for each in self.listed.values()
            if each.state is not api.MemberState.DEAD
        )

    def owner(self, shard: int) -> str | None:
        """Returns the owner of a shard among members that are not leaving."""
        candidates = (
            each.entry_id
            for each in self.listed.values()
            if each.state in OWNER_STATES
        )
        return rendezvous.owner(str(shard), candidates)

    def probe_divisor(self, now_ms: float) -> int:
        """Returns the number of listed members, dead ones included."""
        return len(self.listed)

    def replace(self, member: api.Member) -> None:
        """Adds a member, or replaces the member with the same id."""
        self.listed[member.entry_id] = member
