"""Member states as seen by the local entry VM."""

from __future__ import annotations

import attrs

from lovageyoke.membership import api
from lovageyoke.membership import evidence as evidence_lib
from lovageyoke.membership import listing as listing_lib
from lovageyoke.membership import messages
from lovageyoke.membership import record_queue as record_queue_lib
from lovageyoke.membership import table as table_lib
from lovageyoke.membership import timing as timing_lib
from lovageyoke.membership import topology

MAX_MEMBERS = 10_000

State = api.MemberState


class Members:
    """Derives member states from records, evidence and the platform's list.

    The state of a neighbour follows from local evidence. Other members have
    the state that their neighbours publish, unless their whole region is
    silent, for example in a network partition.

    Attributes:
        own: Record of the local entry VM.
        timing: Intervals and timeouts.
        table: Records of all entry VMs, including the local one.
        evidence: Liveness evidence of the near neighbours.
        regions: Liveness evidence of other regions.
        listing: Latest VM list of the platform.
        record_queue: Changed records to send to the neighbours.
        neighbours: Entry VMs that heartbeats are sent to.
        states: State of each entry VM as seen by the local one.
        version: Incremented when ``states`` or a record changes.
    """

    def __init__(
        self,
        own: messages.MemberRecord,
        now_ms: float,
        timing: timing_lib.Timing,
    ) -> None:
        self.own = own
        self.timing = timing
        self.table = table_lib.Table()
        self.evidence = evidence_lib.Evidence()
        self.regions = evidence_lib.Evidence()
        self.listing = listing_lib.Listing()
        self.record_queue = record_queue_lib.RecordQueue()
        self.neighbours = topology.Neighbours()
        self.states: dict[str, State] = {}
        self.version = 0
        self._silent_regions: frozenset[str] = frozenset()
        self._dead_since_ms: dict[str, float] = {}
        self._by_address: dict[str, str] = {}
        self._changed = True
        self.publish(own, now_ms)

    def republish(self, own: messages.MemberRecord, now_ms: float) -> None:
        """Publishes the local record with the next sequence number."""
        self.own = attrs.evolve(own, sequence=own.sequence + 1)
        self.publish(self.own, now_ms)

    def publish(self, record: messages.MemberRecord, now_ms: float) -> None:
        """Merges a record and queues it for dissemination if it is newer."""
        known = self.table.get(record.entry_id)
        if not self.table.merge(record):
            return
        self.version += 1
        if known is None or record.incarnation > known.incarnation:
            self.evidence.forget(record.entry_id, now_ms)
        self._record_death(record, now_ms)
        was_member = known is not None and known.state is not State.DEAD
        if was_member is not (record.state is not State.DEAD):
            self._changed = True
        self.record_queue.add(record.entry_id, len(self.neighbours.all))
        self._assign_address(record, now_ms)
        self._evaluate(record.entry_id, now_ms)

    def accepts(self, record: messages.MemberRecord, now_ms: float) -> bool:
        """Returns whether to accept a record of another entry VM."""
        known = self.table.get(record.entry_id)
        if known is None:
            return len(self.table.records) < MAX_MEMBERS
        if table_lib.precedence(record) <= table_lib.precedence(known):
            return False
        if record.incarnation > known.incarnation:
            return True
        if record.state not in (State.SUSPECT, State.DEAD):
            return True
        return not self._received_recently(record.entry_id, now_ms)

    def evaluate_all(self, now_ms: float) -> None:
        """Updates the members whose state may change with time."""
        if self._changed:
            self._choose_neighbours(now_ms)
        for entry_id in self.neighbours.near:
            self._evaluate(entry_id, now_ms)
        limit_ms = 2 * self.timing.suspect_ms
        silent = self.regions.silent(now_ms, limit_ms)
        if silent != self._silent_regions:
            self._silent_regions = silent
            for entry_id in list(self.table.records):
                self._evaluate(entry_id, now_ms)

    def evaluate(self, entry_id: str, now_ms: float) -> None:
        """Updates the state of one member after new evidence."""
        self._evaluate(entry_id, now_ms)

    def remove_tombstones(self, now_ms: float) -> None:
        """Removes the tombstones that are older than ``tombstone_ms``."""
        for entry_id, dead_since_ms in list(self._dead_since_ms.items()):
            if now_ms - dead_since_ms > self.timing.tombstone_ms:
                self.table.forget(entry_id)
                self.states.pop(entry_id, None)
                del self._dead_since_ms[entry_id]

    def needs_listing(self, now_ms: float) -> bool:
        """Returns whether the list may show that a neighbour is dead."""
        return any(
            self.evidence.silence_ms(each, now_ms) > self.timing.suspect_ms
            for each in self.neighbours.near
        )

    def _record_death(
        self, record: messages.MemberRecord, now_ms: float
    ) -> None:
        if record.state is State.DEAD:
            self._dead_since_ms[record.entry_id] = now_ms
        else:
            self._dead_since_ms.pop(record.entry_id, None)

    def _assign_address(
        self, record: messages.MemberRecord, now_ms: float
    ) -> None:
        if not record.peer_address or record.state is State.DEAD:
            return
        other_id = self._by_address.get(record.peer_address)
        other = self.table.get(other_id) if other_id else None
        if other is not None and other.entry_id != record.entry_id:
            if other.incarnation > record.incarnation:
                self.evidence.invalidate(record.entry_id, now_ms)
                return
            self.evidence.invalidate(other.entry_id, now_ms)
            self._evaluate(other.entry_id, now_ms)
        self._by_address[record.peer_address] = record.entry_id

    def _choose_neighbours(self, now_ms: float) -> None:
        self._changed = False
        others = [
            each
            for each in self.table
            if each.state is not State.DEAD
            and each.entry_id != self.own.entry_id
        ]
        self.neighbours = topology.choose(self.own, others)
        self.evidence.expect(self.neighbours.near, now_ms)
        elsewhere = {each.region for each in others} - {self.own.region}
        self.regions.expect(elsewhere if self.neighbours.far else (), now_ms)

    def _evaluate(self, entry_id: str, now_ms: float) -> None:
        record = self.table.records[entry_id]
        state = self._evaluated_state(record, now_ms)
        if self.states.get(entry_id) is state:
            return
        self.states[entry_id] = state
        self.version += 1
        if state is State.DEAD or self._is_own_suspicion(record, state):
            self.publish(attrs.evolve(record, state=state), now_ms)

    def _is_own_suspicion(
        self, record: messages.MemberRecord, state: State
    ) -> bool:
        watched = self.evidence.is_expected(record.entry_id)
        is_alive = record.state is State.ALIVE
        return watched and is_alive and state is State.SUSPECT

    def _evaluated_state(
        self, record: messages.MemberRecord, now_ms: float
    ) -> State:
        entry_id = record.entry_id
        if entry_id == self.own.entry_id or record.state is State.DEAD:
            return record.state
        if not self.evidence.is_expected(entry_id):
            return self._remote_state(record)
        silence_ms = self.evidence.silence_ms(entry_id, now_ms)
        missing = self.listing.lacks(entry_id, now_ms - silence_ms)
        if missing and silence_ms > self.timing.dead_ms:
            return State.DEAD
        if record.state is State.LEAVING:
            return State.LEAVING
        if silence_ms > self.timing.suspect_ms:
            return State.SUSPECT
        return State.ALIVE

    def _remote_state(self, record: messages.MemberRecord) -> State:
        unreachable = record.region in self._silent_regions
        if record.state is State.ALIVE and unreachable:
            return State.SUSPECT
        return record.state

    def _received_recently(self, entry_id: str, now_ms: float) -> bool:
        age_ms = self.evidence.direct_age_ms(entry_id, now_ms)
        return age_ms <= self.timing.suspect_ms
