"""Upstreams and evacuations by their entries in the store.

This module does no I/O. It accepts listings and changes in any order and
never reverts to an older revision of a key. That a key is absent is known at
a revision, too: a write from before that revision is obsolete. An entry that
is deleted during or shortly after a store outage is retained until its
upstream has had time to register again; evacuations end at once.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import math

import attrs

from lovageyoke.errors import exceptions
from lovageyoke.fleet import snapshot
from lovageyoke.routing import model
from lovageyoke.store import revisions

REREGISTER_MS = 2_200.0  # Live upstreams register again within 2 s.
MAX_RETENTION_MS = 1_800.0  # A deleted upstream gets no new requests after 2 s.
MAX_TOMBSTONES = 2_000


@attrs.define
class KeyState:
    """State of a key.

    Attributes:
        revision: Revision of its last change.
        value: The upstream or the evacuation, None if the entry is invalid or
            deleted.
        deleted_ms: When the entry was deleted during a store outage; None if
            it wasn't.
    """

    revision: int
    value: model.Upstream | model.Evacuation | None = None
    deleted_ms: float | None = None

    @property
    def upstream(self) -> model.Upstream | None:
        """The upstream, None if there is none."""
        return self.value if isinstance(self.value, model.Upstream) else None


class Registry:
    """The entries of upstreams and evacuations, by key.

    Attributes:
        decode: Decodes an entry from its key and value.
        known: State of each key; deleted keys are kept as tombstones with
            their revision.
        retained: Keys that were deleted during a store outage.
        complete_revision: The state of every key is known at this revision;
            keys that aren't known were absent.
        outage_ms: When the store was last unavailable to the whole fleet.
        rejected: Number of invalid entries since the start.
        on_rejected: Called with the error detail of an invalid entry.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], model.Upstream | model.Evacuation],
        on_rejected: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.decode = decode
        self.known: dict[str, KeyState] = {}
        self.retained: set[str] = set()
        self.complete_revision = 0
        self.outage_ms = -math.inf
        self.rejected = 0
        self.on_rejected = on_rejected

    def record_outage(self, at_ms: float) -> None:
        """Records that the store was unavailable."""
        self.outage_ms = max(self.outage_ms, at_ms)

    def in_outage(self, now_ms: float) -> bool:
        """Returns whether upstreams may not have registered again yet."""
        return now_ms - self.outage_ms < REREGISTER_MS

    def is_obsolete(self, key: str, revision: int) -> bool:
        """Returns whether a key's state is known at a revision or later."""
        known = self.known.get(key)
        known_revision = known.revision if known is not None else 0
        return revision <= max(known_revision, self.complete_revision)

    def put(self, key: str, value: bytes, revision: int) -> bool:
        """Applies a write; returns whether the upstreams changed."""
        if self.is_obsolete(key, revision):
            return False
        known = self.known.get(key)
        before = known.value if known else None
        decoded: model.Upstream | model.Evacuation | None = None
        try:
            decoded = self.decode(key, value)
        except exceptions.DecodeError as error:
            self.rejected += 1
            self.on_rejected(error.detail)
        if (
            isinstance(decoded, model.Upstream)
            and isinstance(before, model.Upstream)
            and decoded.is_older_than(before)
        ):
            # The store may do a late write of an upstream after a newer one.
            decoded = before
        self.known[key] = KeyState(revision, decoded)
        return decoded != before

    def remove(self, key: str, revision: int, now_ms: float) -> bool:
        """Applies a deletion; returns whether the upstreams changed."""
        if self.is_obsolete(key, revision):
            return False
        known = self.known.get(key)
        if known is None or known.value is None:
            self.known[key] = KeyState(revision)
            return False
        known.revision = revision
        if known.upstream is not None and self.in_outage(now_ms):
            known.deleted_ms = now_ms
            self.retained.add(key)
            return False
        known.value = None
        return True

    def apply_listing(self, listing: revisions.Listing, now_ms: float) -> bool:
        """Applies a full listing; missing keys count as deleted."""
        changed = False
        present = set()
        for item in listing.items:
            present.add(item.key)
            changed |= self.put(item.key, item.value, item.revision)
        return self.remove_missing(present, listing.revision, now_ms) or changed

    def entries(self) -> Iterable[snapshot.Entry]:
        """Returns the valid entries, to be sent to other processes.

        Entries that were deleted during an outage are excluded: their
        deletion is not sent again, so a receiver would keep them forever.
        """
        for key, known in self.known.items():
            if known.value is not None and known.deleted_ms is None:
                yield snapshot.Entry(key, known.revision, known.value)

    def apply_snapshot(self, whole: snapshot.Snapshot, now_ms: float) -> bool:
        """Applies a peer's snapshot; missing keys count as deleted.

        Returns:
            Whether the upstreams changed.
        """
        changed = False
        present = set()
        for entry in whole.entries:
            present.add(entry.key)
            if not self.is_obsolete(entry.key, entry.revision):
                known = self.known.get(entry.key)
                before = known.value if known else None
                self.known[entry.key] = KeyState(entry.revision, entry.value)
                changed |= entry.value != before
        return self.remove_missing(present, whole.revision, now_ms) or changed

    def remove_missing(
        self, present: set[str], revision: int, now_ms: float
    ) -> bool:
        """Removes the keys that a full listing at a revision doesn't contain.

        A listing from before ``complete_revision`` says nothing new.

        Returns:
            Whether the upstreams changed.
        """
        changed = False
        for key, known in list(self.known.items()):
            gone = key not in present and known.revision < revision
            gone = gone and known.deleted_ms is None
            if gone and known.value is not None:
                changed |= self.remove(key, revision, now_ms)
        return changed

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
                known.value = None
                changed = True
        if len(self.known) > MAX_TOMBSTONES:
            self.known = {
                key: each
                for key, each in self.known.items()
                if each.value is not None
            }
        return changed

    def evacuated_domains(self) -> set[str]:
        """Returns the failure domains that are being evacuated."""
        return {
            each.value.failure_domain
            for each in self.known.values()
            if isinstance(each.value, model.Evacuation)
        }

    def upstreams(self) -> Iterable[model.Upstream]:
        """Returns the upstreams; only the newest entry of each address.

        Those in evacuated failure domains are marked.
        """
        evacuated = self.evacuated_domains()
        newest: dict[tuple[str, int], KeyState] = {}
        for known in self.known.values():
            upstream = known.upstream
            if upstream is None:
                continue
            address = (upstream.host, upstream.port)
            other = newest.get(address)
            if other is None or other.revision < known.revision:
                newest[address] = known
        return [
            attrs.evolve(each.upstream, evacuated=True)
            if each.upstream.failure_domain in evacuated
            else each.upstream
            for each in newest.values()
            if each.upstream is not None
        ]
