"""Membership view backed by the membership state machine."""

from __future__ import annotations

from lovageyoke.clock import api as clock_api
from lovageyoke.membership import api
from lovageyoke.membership import rendezvous
from lovageyoke.membership import share as share_lib
from lovageyoke.membership import state as state_lib

State = api.MemberState


class LiveMembership(api.MembershipView):
    """Membership view of a state machine and a probe share.

    Attributes:
        state: The membership state machine.
        share: The probe share.
    """

    def __init__(
        self,
        state: state_lib.MembershipState,
        share: share_lib.ProbeShare,
        clock: clock_api.Clock,
    ) -> None:
        self.state = state
        self.share = share
        self._clock = clock
        self._version = -1
        self._members: tuple[api.Member, ...] = ()
        self._owners: dict[int, str | None] = {}

    def self_id(self) -> str:
        """Returns the id of the local entry VM."""
        return self.state.own.entry_id

    def members(self) -> tuple[api.Member, ...]:
        """Returns all members not known to be dead, including the local one."""
        self._refresh()
        return self._members

    def owner(self, shard: int) -> str | None:
        """Returns the id of the entry VM that should own a claim log shard.

        Only alive members own shards. Two entry VMs may temporarily disagree,
        so the claim log must fence a former owner.
        """
        self._refresh()
        if shard not in self._owners:
            candidates = [
                each.entry_id
                for each in self._members
                if each.state is State.ALIVE
            ]
            self._owners[shard] = rendezvous.owner(str(shard), candidates)
        return self._owners[shard]

    def probe_divisor(self, now_ms: float) -> int:
        """Returns the divisor of the local share of each probe budget."""
        if self.state.paused or self.state.is_overdue(now_ms):
            return api.NO_SHARE_DIVISOR
        return self.share.divisor(now_ms)

    def _refresh(self) -> None:
        now_ms = self._clock.now_ms()
        if self.state.is_overdue(now_ms):
            self.state.detect_pause(now_ms)
        members = self.state.members
        if members.version == self._version:
            return
        self._version = members.version
        self._owners = {}
        self._members = tuple(
            self._member(entry_id)
            for entry_id, state in sorted(members.states.items())
            if state is not State.DEAD
        )

    def _member(self, entry_id: str) -> api.Member:
        record = self.state.members.table.records[entry_id]
        return api.Member(
            entry_id=entry_id,
            incarnation=record.incarnation,
            caller_address=record.caller_address,
            peer_address=record.peer_address,
            failure_domain=record.failure_domain,
            state=self.state.members.states[entry_id],
            region=record.region,
            load=self.state.loads.get(entry_id, 0),
        )
