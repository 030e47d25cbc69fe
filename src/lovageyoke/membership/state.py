"""Membership state machine without I/O.

Its inputs are messages, platform lists and the current time; its outputs are
messages to send.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

import attrs
from loguru import logger

from lovageyoke.errors import exceptions
from lovageyoke.membership import api
from lovageyoke.membership import incarnation
from lovageyoke.membership import members as members_lib
from lovageyoke.membership import messages
from lovageyoke.membership import payload as payload_lib
from lovageyoke.membership import roster
from lovageyoke.membership import table as table_lib
from lovageyoke.membership import timing as timing_lib
from lovageyoke.peer import api as peer_api
from lovageyoke.store import api as platform_api

JITTER = 0.1
MAX_CONTACTS_PER_TICK = 3

State = api.MemberState


@attrs.frozen
class OutgoingMessage:
    """A message to be sent.

    Attributes:
        entry_id: The receiver.
        address: Its peer address; "" if unknown.
        message: The message.
    """

    entry_id: str
    address: str
    message: peer_api.Message


class MembershipState:
    """Membership state machine of the local entry VM.

    Neither the platform's list nor silence alone removes a member. A member
    is suspected if none of its neighbours receives its heartbeats, and dead
    if it is also missing from a list requested after it fell silent.

    Attributes:
        members: Member states as seen by the local entry VM.
        generations: Roster generations reported by each process.
        loads: Loads reported by each entry VM, in percent.
        load: Load of the local entry VM, in percent.
        generation: Roster generation read by the local entry VM.
        superseded: Whether another process took over the local entry id.
        paused: Set when a pause is detected; the caller that handles it
            clears it.
        urgent: Whether to send heartbeats to all neighbours at the next tick.
    """

    def __init__(
        self,
        own: messages.MemberRecord,
        rng: random.Random,
        now_ms: float,
        payload_providers: tuple[payload_lib.PayloadProvider, ...] = (),
        timing: timing_lib.Timing | None = None,
    ) -> None:
        self.timing = timing or timing_lib.Timing()
        self.members = members_lib.Members(own, now_ms, self.timing)
        self.payload_providers = {each.name: each for each in payload_providers}
        self.generations: dict[roster.Holder, int] = {}
        self.loads: dict[str, int] = {}
        self.load = 0
        self.generation = 0
        self.superseded = False
        self.paused = False
        self.urgent = True
        self._rng = rng
        self._started_ms = now_ms
        self._ticked_ms = now_ms
        self._due_ms: dict[str, float] = {}
        self._contacts: dict[str, str] = {}
        self._synced_ms = float("-inf")
        self._broadcast_ms = float("-inf")

    @property
    def own(self) -> messages.MemberRecord:
        """Record of the local entry VM."""
        return self.members.own

    @property
    def holder(self) -> roster.Holder:
        """Identity of this process in the probe roster."""
        return (self.own.entry_id, self.own.incarnation)

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Returns the messages to send; call it every ``tick_ms``."""
        self.detect_pause(now_ms)
        self.members.evaluate_all(now_ms)
        self.members.remove_tombstones(now_ms)
        if self.urgent and now_ms - self._broadcast_ms >= self.timing.urgent_ms:
            return self._broadcast(now_ms)
        sends = [self._heartbeat_to(each, now_ms) for each in self._due(now_ms)]
        return sends + self._heartbeat_contacts(now_ms)

    def receive(
        self, source: str, message: peer_api.Message, now_ms: float
    ) -> list[OutgoingMessage]:
        """Handles a message of another entry VM; returns messages to send."""
        if source == self.own.entry_id:
            return []
        match message:
            case messages.Heartbeat():
                return self._on_heartbeat(source, message, now_ms)
            case messages.SyncRequest():
                records = self.members.table.differing(message.buckets)
                return [self._send(source, messages.SyncReply(records))]
            case messages.SyncReply():
                self._on_records(message.records, now_ms)
            case messages.Superseded():
                self._on_superseded(message, now_ms)
        return []

    def list_vms(
        self,
        vms: Iterable[platform_api.Vm],
        asked_ms: float,
        now_ms: float,
    ) -> None:
        """Applies the platform's list of VMs.

        Args:
            vms: The VMs in the list.
            asked_ms: When the list was requested.
            now_ms: The current time in milliseconds.
        """
        self.members.listing.replace(vms, asked_ms)
        for record in list(self.members.table):
            if self.members.listing.is_leaving(record.entry_id):
                self._on_listed_as_leaving(record, now_ms)

    def set_contacts(self, addresses: dict[str, str]) -> None:
        """Sets the addresses of entry VMs to contact, by entry id.

        Known members are left out.
        """
        known = self.members.states
        self._contacts = {
            entry_id: address
            for entry_id, address in addresses.items()
            if entry_id not in known
        }

    def leave(self, now_ms: float) -> None:
        """Announces that this entry VM is leaving; it continues to serve."""
        if self.own.state is State.ALIVE:
            self._republish(State.LEAVING, now_ms)

    def final_messages(self, now_ms: float) -> list[OutgoingMessage]:
        """Returns the final messages, which declare this process dead."""
        self._republish(State.DEAD, now_ms)
        return self._broadcast(now_ms)

    def is_overdue(self, now_ms: float) -> bool:
        """Returns whether the time since the last tick implies a pause."""
        return now_ms - self._ticked_ms > self.timing.pause_ms

    def detect_pause(self, now_ms: float) -> None:
        """Restarts all timeouts if this process was paused.

        Silence during the pause is no evidence against other members.
        """
        pause_ms = now_ms - self._ticked_ms
        paused = self.is_overdue(now_ms)
        self._ticked_ms = now_ms
        if not paused:
            return
        logger.warning(
            "process was paused for {:.0f} ms; restarting failure detection",
            pause_ms,
        )
        self.paused = True
        self.members.evidence.restart(now_ms)
        self.members.regions.restart(now_ms)
        self._republish(self.own.state, now_ms)

    def _on_heartbeat(
        self, source: str, heartbeat: messages.Heartbeat, now_ms: float
    ) -> list[OutgoingMessage]:
        self._on_records(heartbeat.records, now_ms)
        self._on_payloads(source, heartbeat, now_ms)
        known = self.members.table.get(source)
        if known is None or heartbeat.incarnation > known.incarnation:
            return self._request_sync(source, now_ms)
        if heartbeat.incarnation < known.incarnation:
            return self._notify_superseded(source, known, now_ms)
        return self._on_known(source, heartbeat, known, now_ms)

    def _on_known(
        self,
        source: str,
        heartbeat: messages.Heartbeat,
        known: messages.MemberRecord,
        now_ms: float,
    ) -> list[OutgoingMessage]:
        self.members.evidence.record_heartbeat(source, now_ms)
        self.members.evidence.merge_ages(heartbeat.ages, now_ms)
        self.members.regions.record_heartbeat(known.region, now_ms)
        self.members.regions.merge_ages(heartbeat.regions, now_ms)
        self.generations[(source, heartbeat.incarnation)] = heartbeat.generation
        self.loads[source] = heartbeat.load
        self._contacts.pop(source, None)
        sends = self._apply_sender_state(source, heartbeat, known, now_ms)
        self.members.evaluate(source, now_ms)
        if heartbeat.digest != self.members.table.digest:
            sends.extend(self._request_sync(source, now_ms))
        return sends

    def _apply_sender_state(
        self,
        source: str,
        heartbeat: messages.Heartbeat,
        known: messages.MemberRecord,
        now_ms: float,
    ) -> list[OutgoingMessage]:
        updated = attrs.evolve(
            known, sequence=heartbeat.sequence, state=heartbeat.state
        )
        if table_lib.precedence(updated) > table_lib.precedence(known):
            self.members.publish(updated, now_ms)
            return []
        if known.state in (State.SUSPECT, State.DEAD):
            return [self._heartbeat_to(source, now_ms, (known,))]
        return []

    def _notify_superseded(
        self, source: str, known: messages.MemberRecord, now_ms: float
    ) -> list[OutgoingMessage]:
        age_ms = self.members.evidence.evidence_age_ms(source, now_ms)
        uptime_ms = now_ms - self._started_ms
        if age_ms <= uptime_ms:
            notice = messages.Superseded(known.incarnation, int(age_ms))
        elif uptime_ms > incarnation.MIN_UPTIME_MS:
            notice = messages.Superseded(known.incarnation, None)
        else:
            return []
        return [self._send(source, notice)]

    def _on_payloads(
        self, source: str, heartbeat: messages.Heartbeat, now_ms: float
    ) -> None:
        for name, payload in heartbeat.payloads.items():
            provider = self.payload_providers.get(name)
            if provider is None:
                continue
            try:
                changed = provider.receive(source, payload, now_ms)
            except exceptions.DecodeError as error:
                logger.warning(
                    "ignoring invalid payload from {}: {}", source, error.detail
                )
                continue
            self.urgent = self.urgent or changed

    def _on_records(
        self, records: Iterable[messages.MemberRecord], now_ms: float
    ) -> None:
        for record in records:
            if record.entry_id == self.own.entry_id:
                self._on_own_record(record, now_ms)
            elif self.members.accepts(record, now_ms):
                self.members.publish(record, now_ms)

    def _on_own_record(
        self, record: messages.MemberRecord, now_ms: float
    ) -> None:
        if record.incarnation != self.own.incarnation:
            return
        if self.own.state is State.DEAD:
            return
        if table_lib.precedence(record) <= table_lib.precedence(self.own):
            return
        is_leaving = record.state is State.LEAVING
        state = State.LEAVING if is_leaving else self.own.state
        self.members.own = attrs.evolve(self.own, sequence=record.sequence)
        self._republish(state, now_ms)

    def _on_superseded(
        self, message: messages.Superseded, now_ms: float
    ) -> None:
        if message.incarnation <= self.own.incarnation:
            return
        uptime_ms = now_ms - self._started_ms
        match incarnation.resolve_conflict(uptime_ms, message.age_ms):
            case incarnation.Resolution.YIELD:
                self.superseded = True
            case incarnation.Resolution.OUTBID:
                higher = message.incarnation + 1
                self.members.own = attrs.evolve(self.own, incarnation=higher)
                self._republish(self.own.state, now_ms)

    def _on_listed_as_leaving(
        self, record: messages.MemberRecord, now_ms: float
    ) -> None:
        if record.entry_id == self.own.entry_id:
            self.leave(now_ms)
        elif record.state in (State.ALIVE, State.SUSPECT):
            leaving = attrs.evolve(record, state=State.LEAVING)
            self.members.publish(leaving, now_ms)
            self.urgent = True

    def _republish(self, state: State, now_ms: float) -> None:
        self.members.republish(attrs.evolve(self.own, state=state), now_ms)
        self.urgent = True

    def _due(self, now_ms: float) -> list[str]:
        due = []
        for entry_id in self.members.neighbours.all:
            if entry_id not in self._due_ms:
                phase_ms = self._rng.uniform(0, self.timing.heartbeat_ms)
                self._due_ms[entry_id] = now_ms + phase_ms
            if self._due_ms[entry_id] <= now_ms:
                due.append(entry_id)
        return due

    def _broadcast(self, now_ms: float) -> list[OutgoingMessage]:
        self.urgent = False
        self._broadcast_ms = now_ms
        return [
            self._heartbeat_to(each, now_ms)
            for each in self.members.neighbours.all
        ]

    def _heartbeat_contacts(self, now_ms: float) -> list[OutgoingMessage]:
        contacts = sorted(self._contacts)
        count = min(len(contacts), MAX_CONTACTS_PER_TICK)
        chosen = self._rng.sample(contacts, count)
        heartbeat = self._heartbeat(now_ms, (self.own,)) if chosen else None
        return [
            OutgoingMessage(each, self._contacts[each], heartbeat)
            for each in chosen
            if heartbeat is not None
        ]

    def _request_sync(
        self, source: str, now_ms: float
    ) -> list[OutgoingMessage]:
        if now_ms - self._synced_ms < self.timing.sync_ms:
            return []
        self._synced_ms = now_ms
        buckets = self.members.table.bucket_digests()
        return [self._send(source, messages.SyncRequest(buckets))]

    def _heartbeat_to(
        self,
        entry_id: str,
        now_ms: float,
        records: tuple[messages.MemberRecord, ...] = (),
    ) -> OutgoingMessage:
        jitter = self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._due_ms[entry_id] = now_ms + self.timing.heartbeat_ms * jitter
        return self._send(entry_id, self._heartbeat(now_ms, records))

    def _heartbeat(
        self, now_ms: float, records: tuple[messages.MemberRecord, ...]
    ) -> messages.Heartbeat:
        payloads = {
            name: payload
            for name, provider in self.payload_providers.items()
            if (payload := provider.payload(now_ms))
        }
        return messages.Heartbeat(
            incarnation=self.own.incarnation,
            sequence=self.own.sequence,
            state=self.own.state,
            generation=self.generation,
            digest=self.members.table.digest,
            ages=self.members.evidence.direct_ages(now_ms),
            regions=self.members.regions.all_ages(now_ms),
            load=self.load,
            records=records
            + self.members.record_queue.take(self.members.table),
            payloads=payloads,
        )

    def _send(
        self, entry_id: str, message: peer_api.Message
    ) -> OutgoingMessage:
        record = self.members.table.get(entry_id)
        return OutgoingMessage(
            entry_id, record.peer_address if record else "", message
        )
