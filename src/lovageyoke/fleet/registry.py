"""Upstreams and evacuations by their entries in the store.

This module does no I/O. It accepts listings and changes in any order and
never reverts to an older position of a key. That a key is absent is known at
a position, too: a write from before that position is obsolete. An entry that
is deleted during or shortly after a store outage is retained until its
upstream has had time to register again; evacuations end at once. After a
return of the store from a copy, both are retained if the copy lacks them. An
entry that a late write brings back after its removal is doubtful: it isn't
used until it has stayed for longer than such a write can explain.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import math

from lovageyoke.errors import exceptions
from lovageyoke.fleet import entry_selection
from lovageyoke.fleet import key_state
from lovageyoke.fleet import lifetimes as fleet_lifetimes
from lovageyoke.fleet import snapshot
from lovageyoke.routing import model
from lovageyoke.store import positions
from lovageyoke.store import revisions

REREGISTER_MS = 2_200.0  # Live upstreams register again within 2 s.
MAX_RETENTION_MS = 1_800.0  # A deleted upstream gets no new requests after 2 s.
MAX_TOMBSTONES = 2_000


class Registry:
    """The entries of upstreams and evacuations, by key.

    Attributes:
        decode: Decodes an entry from its key and value.
        known: State of each key; deleted keys are kept as tombstones with
            their position.
        retained: Keys that were deleted during a store outage, or that a
            restored store lacks.
        doubtful: Keys whose entries may result from a late write.
        lifetimes: The lifetimes of upstreams that were removed.
        complete_position: The state of every key is known at this position;
            keys that aren't known were absent.
        outage_ms: When the store was last unavailable to the whole fleet.
        rejected: Number of invalid entries since the start.
        late_writes: Number of late writes after a removal since the start.
        on_rejected: Called with the error detail of an invalid entry.
        on_late_write: Called with the upstream of a late write that comes
            after a removal.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], model.Upstream | model.Evacuation],
        on_rejected: Callable[[str], None] = lambda _: None,
        on_late_write: Callable[[model.Upstream], None] = lambda _: None,
        heartbeat_ms: float = fleet_lifetimes.HEARTBEAT_MS,
    ) -> None:
        self.decode = decode
        self.known: dict[str, key_state.KeyState] = {}
        self.retained: set[str] = set()
        self.doubtful: set[str] = set()
        self.lifetimes = fleet_lifetimes.EndedLifetimes(heartbeat_ms)
        self.complete_position = positions.START
        self.outage_ms = -math.inf
        self.rejected = 0
        self.late_writes = 0
        self.on_rejected = on_rejected
        self.on_late_write = on_late_write

    def record_outage(self, at_ms: float) -> None:
        """Records that the store was unavailable."""
        self.outage_ms = max(self.outage_ms, at_ms)

    def in_outage(self, now_ms: float) -> bool:
        """Returns whether upstreams may not have registered again yet."""
        return now_ms - self.outage_ms < REREGISTER_MS

    def is_obsolete(self, key: str, position: positions.Position) -> bool:
        """Returns whether a key's state is known at a position or later."""
        known = self.known.get(key)
        known_position = known.position if known else positions.START
        return position <= max(known_position, self.complete_position)

    def put(
        self,
        key: str,
        value: bytes,
        position: positions.Position,
        now_ms: float,
    ) -> bool:
        """Applies a write; returns whether the upstreams changed."""
        if self.is_obsolete(key, position):
            return False
        decoded: model.Upstream | model.Evacuation | None = None
        try:
            decoded = self.decode(key, value)
        except exceptions.DecodeError as error:
            self.rejected += 1
            self.on_rejected(error.detail)
        return self.accept(
            key, key_state.KeyState(position, decoded, received_ms=now_ms)
        )

    def accept(self, key: str, state: key_state.KeyState) -> bool:
        """Accepts a key's new state; returns whether the upstreams changed.

        Args:
            key: The key.
            state: Its state as written. It is doubtful already if another
                process knows that it is.
        """
        known = self.known.get(key) or key_state.KeyState(positions.START)
        before = (known.in_use, known.doubtful_ms)
        if isinstance(state.value, model.Upstream):
            self.compare(known, state, state.value)
        elif known.upstream is not None:
            self.lifetimes.record(
                known.upstream, known.received_ms, state.received_ms
            )
        self.known[key] = state
        if state.doubtful_ms is not None:
            self.doubtful.add(key)
        return (state.in_use, state.doubtful_ms) != before

    def compare(
        self,
        known: key_state.KeyState,
        state: key_state.KeyState,
        upstream: model.Upstream,
    ) -> None:
        """Adjusts a key's new state to what is known of its upstream.

        Args:
            known: The state before.
            state: The new state.
            upstream: The upstream of the new state.
        """
        previous = known.upstream
        told_doubtful = state.doubtful_ms is not None
        # The sequence alone orders the writes of a start that is registered.
        continues = (
            previous is not None
            and known.is_registered
            and previous.key == upstream.key
        )
        late = told_doubtful or (
            not continues and self.lifetimes.is_late(upstream)
        )
        older = previous is not None and upstream.is_older_than(previous)
        hides = late and known.is_registered and not told_doubtful
        if previous is not None and (older or hides):
            # The store may do a late write of an upstream after a newer one.
            state.value = previous
            state.received_ms = known.received_ms
        elif previous is not None and upstream.key != previous.key:
            self.lifetimes.record(
                previous, known.received_ms, state.received_ms
            )
        if late and not hides:
            self.doubt(known, state, upstream)
        elif not late and not older:
            self.lifetimes.forget(upstream)

    def doubt(
        self,
        known: key_state.KeyState,
        state: key_state.KeyState,
        upstream: model.Upstream,
    ) -> None:
        """Marks a key's new state as that of a late write after a removal."""
        self.late_writes += 1
        self.on_late_write(upstream)
        if state.doubtful_ms is None:
            state.doubtful_ms = state.received_ms
        if known.doubtful_ms is not None:
            state.doubtful_ms = known.doubtful_ms
        previous = known.upstream
        if previous is not None and previous.key == upstream.key:
            state.deleted_ms = known.deleted_ms

    def remove(
        self, key: str, position: positions.Position, now_ms: float
    ) -> bool:
        """Applies a deletion; returns whether the upstreams changed."""
        if self.is_obsolete(key, position):
            return False
        known = self.known.get(key)
        if known is None or known.value is None:
            self.known[key] = key_state.KeyState(position)
            return False
        known.position = position
        was_doubtful = known.doubtful_ms is not None
        known.doubtful_ms = None
        if known.upstream is not None:
            self.lifetimes.record(known.upstream, known.received_ms, now_ms)
            if known.deleted_ms is not None:
                return False
            if self.in_outage(now_ms) and not was_doubtful:
                known.deleted_ms = now_ms
                self.retained.add(key)
                return False
        known.value = None
        return True

    def apply_listing(self, listing: revisions.Listing, now_ms: float) -> bool:
        """Applies a full listing; missing keys count as deleted."""
        changed = False
        self.enter_era(listing.position, now_ms)
        present = set()
        for item in listing.items:
            present.add(item.key)
            changed |= self.put(item.key, item.value, item.position, now_ms)
        return self.remove_missing(present, listing.position, now_ms) or changed

    def entries(self) -> Iterable[snapshot.Entry]:
        """Returns the valid entries, to be sent to other processes.

        Entries that were deleted during an outage are excluded: their
        deletion is not sent again, so a receiver would keep them forever.
        """
        for key, known in self.known.items():
            doubtful = known.doubtful_ms is not None
            present = known.deleted_ms is None or doubtful
            if known.value is not None and present:
                yield snapshot.Entry(key, known.position, known.value, doubtful)

    def apply_snapshot(self, whole: snapshot.Snapshot, now_ms: float) -> bool:
        """Applies a peer's snapshot; missing keys count as deleted.

        Returns:
            Whether the upstreams changed.
        """
        changed = False
        self.enter_era(whole.position, now_ms)
        present = set()
        for entry in whole.entries:
            present.add(entry.key)
            if not self.is_obsolete(entry.key, entry.position):
                state = key_state.KeyState(
                    entry.position, entry.value, received_ms=now_ms
                )
                if entry.doubtful:
                    state.doubtful_ms = now_ms
                changed |= self.accept(entry.key, state)
        return self.remove_missing(present, whole.position, now_ms) or changed

    def remove_missing(
        self, present: set[str], position: positions.Position, now_ms: float
    ) -> bool:
        """Removes the keys that a full listing at a position doesn't contain.

        A listing from before ``complete_position`` says nothing new.

        Returns:
            Whether the upstreams changed.
        """
        changed = False
        for key, known in list(self.known.items()):
            gone = key not in present and known.position < position
            was_present = (
                known.deleted_ms is None or known.doubtful_ms is not None
            )
            if gone and was_present and known.value is not None:
                if self.is_later_era(position):
                    self.retain(key, known, position, now_ms)
                else:
                    changed |= self.remove(key, position, now_ms)
        return changed

    def is_later_era(self, position: positions.Position) -> bool:
        """Returns whether a position is of a later era than what is known."""
        known = self.complete_position
        return known != positions.START and position.era > known.era

    def enter_era(self, position: positions.Position, now_ms: float) -> None:
        """Records a return of the store; its writers then write again."""
        if self.is_later_era(position):
            self.record_outage(now_ms)

    def retain(
        self,
        key: str,
        known: key_state.KeyState,
        position: positions.Position,
        now_ms: float,
    ) -> None:
        """Retains an entry that a restored store lacks.

        Its removal isn't known, so the same heartbeat may register it again.
        """
        known.position = position
        if known.doubtful_ms is not None and known.deleted_ms is None:
            # It wasn't in use.
            known.value = None
        elif known.deleted_ms is None:
            known.deleted_ms = now_ms
            self.retained.add(key)
        known.doubtful_ms = None

    def expire_retained(self, now_ms: float) -> bool:
        """Removes retained entries whose upstreams didn't register again.

        Also drops all tombstones if there are more than ``MAX_TOMBSTONES``
        keys.
        """
        outage = self.in_outage(now_ms)
        changed = False
        for key in list(self.retained):
            known = self.known.get(key)
            if known is None or known.deleted_ms is None:
                self.retained.discard(key)
            elif not outage or now_ms - known.deleted_ms >= MAX_RETENTION_MS:
                self.retained.discard(key)
                known.deleted_ms = None
                if known.doubtful_ms is None:
                    known.value = None
                changed = True
        if len(self.known) > MAX_TOMBSTONES:
            self.known = {
                key: each
                for key, each in self.known.items()
                if each.value is not None
            }
        return changed

    def confirm_doubtful(self, now_ms: float) -> list[model.Upstream]:
        """Confirms the entries that have stayed longer than a late write can.

        Returns:
            Their upstreams.
        """
        confirmed = []
        for key in list(self.doubtful):
            known = self.known.get(key)
            if known is None or known.doubtful_ms is None:
                self.doubtful.discard(key)
                continue
            # The store doesn't remove entries during an outage.
            since_ms = max(known.doubtful_ms, self.outage_ms)
            if now_ms - since_ms < self.lifetimes.confirmation_ms:
                continue
            self.doubtful.discard(key)
            known.doubtful_ms = None
            if known.upstream is not None:
                self.lifetimes.forget(known.upstream)
                confirmed.append(known.upstream)
        return confirmed

    def evacuated_domains(self) -> set[str]:
        """Returns the failure domains that are being evacuated."""
        return {
            each.value.failure_domain
            for each in self.known.values()
            if isinstance(each.value, model.Evacuation)
        }

    def upstreams(self) -> list[model.Upstream]:
        """Returns the upstreams; only the newest entry of each address.

        Those in evacuated failure domains are marked.
        """
        return entry_selection.select(
            self.known.values(), self.lifetimes, self.evacuated_domains()
        )
