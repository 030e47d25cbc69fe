"""Table of member records, with digests for comparing two tables."""

from __future__ import annotations

from collections.abc import Iterator
import struct

import xxhash

from lovageyoke.membership import api
from lovageyoke.membership import messages

BUCKETS = 64
BUCKET_BYTES = 4
BUCKET_MASK = 0xFFFF_FFFF
BUCKETS_FORMAT = f">{BUCKETS}I"

STATE_ORDER = {
    api.MemberState.ALIVE: 0,
    api.MemberState.SUSPECT: 1,
    api.MemberState.LEAVING: 2,
    api.MemberState.DEAD: 3,
}


def precedence(record: messages.MemberRecord) -> tuple[int, int, int]:
    """Returns the sort key of a record; newer records sort higher."""
    return (record.incarnation, record.sequence, STATE_ORDER[record.state])


def record_hash(record: messages.MemberRecord) -> int:
    """Returns a 64-bit hash of the id and the precedence of a record."""
    text = f"{record.entry_id}\0{record.incarnation}\0{record.sequence}"
    return xxhash.xxh3_64_intdigest(f"{text}\0{record.state.value}".encode())


def bucket_of(entry_id: str) -> int:
    """Returns the bucket index of an entry id."""
    return xxhash.xxh3_64_intdigest(entry_id.encode()) % BUCKETS


class Table:
    """The newest known record of each entry VM.

    Dead members are kept as tombstones so that an older record doesn't
    resurrect them. Tombstones are excluded from the digests, because each
    entry VM removes them at a different time.

    Attributes:
        records: The records by entry id.
        digest: Digest of all members that are not dead.
    """

    def __init__(self) -> None:
        self.records: dict[str, messages.MemberRecord] = {}
        self.digest = 0
        self._buckets = [0] * BUCKETS
        self._members: list[set[str]] = [set() for _ in range(BUCKETS)]

    def __iter__(self) -> Iterator[messages.MemberRecord]:
        return iter(self.records.values())

    def get(self, entry_id: str) -> messages.MemberRecord | None:
        """Returns the record of an entry VM, or None if it is unknown."""
        return self.records.get(entry_id)

    def merge(self, record: messages.MemberRecord) -> bool:
        """Merges a record; returns whether it was newer."""
        known = self.records.get(record.entry_id)
        if known is not None and precedence(known) >= precedence(record):
            return False
        self.forget(record.entry_id)
        self.records[record.entry_id] = record
        self._members[bucket_of(record.entry_id)].add(record.entry_id)
        self._toggle(record)
        return True

    def forget(self, entry_id: str) -> None:
        """Removes the record of an entry VM."""
        record = self.records.pop(entry_id, None)
        if record is not None:
            self._members[bucket_of(entry_id)].discard(entry_id)
            self._toggle(record)

    def bucket_digests(self) -> bytes:
        """Returns the digests of all buckets, four bytes each."""
        digests = [each & BUCKET_MASK for each in self._buckets]
        return struct.pack(BUCKETS_FORMAT, *digests)

    def differing(self, buckets: bytes) -> tuple[messages.MemberRecord, ...]:
        """Returns the records in buckets that differ from ``buckets``."""
        if len(buckets) != BUCKETS * BUCKET_BYTES:
            return ()
        theirs = struct.unpack(BUCKETS_FORMAT, buckets)
        return tuple(
            self.records[entry_id]
            for index, digest in enumerate(theirs)
            if digest != self._buckets[index] & BUCKET_MASK
            for entry_id in sorted(self._members[index])
        )

    def _toggle(self, record: messages.MemberRecord) -> None:
        if record.state is api.MemberState.DEAD:
            return
        digest = record_hash(record)
        self.digest ^= digest
        self._buckets[bucket_of(record.entry_id)] ^= digest
