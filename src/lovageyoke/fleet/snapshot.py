"""Transfers all entries from one process to another.

The entries are those of upstreams and of evacuations.

A process that starts or has missed changes requests a snapshot from a peer,
which reduces the number of calls to the store.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import Any
import zlib

import attrs
import cbor2

from lovageyoke.errors import exceptions
from lovageyoke.fleet import messages
from lovageyoke.routing import model
from lovageyoke.routing import model_checks
from lovageyoke.schema import decoding

PART_ENTRIES = 150  # A part stays well below the size of a datagram.
MAX_PARTS = 400
MAX_INCOMPLETE = 4  # Snapshots that are received at the same time.
MAX_PART_BYTES = 1_000_000  # Decompressed.
# The fields of an upstream in its entry come before those that each process
# derives.
_UPSTREAM_FIELDS = len(attrs.fields(model.Upstream)) - 1
REPACK_MS = 100.0  # Entries retained in an outage end without a new revision.


@attrs.frozen
class Entry:
    """An entry of an upstream or an evacuation.

    Attributes:
        key: Key of the entry in the store.
        revision: Revision of its last change.
        value: The upstream or the evacuation that it names.
        doubtful: Whether it may result from a late write after its removal.
    """

    key: str
    revision: int
    value: model.Upstream | model.Evacuation
    doubtful: bool = False


@attrs.frozen
class Snapshot:
    """All entries at one revision.

    Attributes:
        revision: The revision.
        fresh_age_ms: Time since the store confirmed the revision.
        entries: The entries.
    """

    revision: int
    fresh_age_ms: int
    entries: tuple[Entry, ...]


def pack(
    snapshot: Snapshot, configuration_version: int = 0
) -> list[messages.SnapshotPart]:
    """Splits a snapshot into messages.

    The entries are sorted, so that the parts of two processes with the same
    entries are the same.

    Args:
        snapshot: The snapshot.
        configuration_version: Version that the sender follows, 0 for none.
    """
    entries = sorted(snapshot.entries, key=lambda each: each.key)
    chunks = [
        _pack_entries(entries[start : start + PART_ENTRIES])
        for start in range(0, len(entries), PART_ENTRIES)
    ] or [_pack_entries(())]
    digest = zlib.crc32(b"".join(chunks))
    return [
        messages.SnapshotPart(
            snapshot.revision,
            snapshot.fresh_age_ms,
            digest,
            number,
            len(chunks),
            chunk,
            configuration_version,
        )
        for number, chunk in enumerate(chunks)
    ]


class PackedSnapshot:
    """The last snapshot sent; in a start many processes ask for the same.

    Attributes:
        key: Its revision and configuration version.
        packed_ms: When it was packed.
        packed: Its parts.
    """

    def __init__(self) -> None:
        self.key = (-1, -1)
        self.packed_ms = -math.inf
        self.packed: list[messages.SnapshotPart] = []

    def parts(
        self,
        entries: Iterable[Entry],
        revision: int,
        configuration_version: int,
        fresh_age_ms: int,
        now_ms: float,
    ) -> list[messages.SnapshotPart]:
        """Returns the parts of a snapshot, packed at most ``REPACK_MS`` ago.

        Args:
            entries: All entries.
            revision: Their revision.
            configuration_version: Version that the sender follows.
            fresh_age_ms: Time since the store confirmed the revision.
            now_ms: The time.
        """
        key = (revision, configuration_version)
        if key != self.key or now_ms - self.packed_ms > REPACK_MS:
            whole = Snapshot(revision, fresh_age_ms, tuple(entries))
            self.packed = pack(whole, configuration_version)
            self.key = key
            self.packed_ms = now_ms
        return [
            attrs.evolve(each, fresh_age_ms=fresh_age_ms)
            for each in self.packed
        ]


class SnapshotAssembler:
    """Reassembles a snapshot from its parts.

    Attributes:
        revision: Newest revision of the received parts.
        parts: The received parts of that revision by index, by digest.
    """

    def __init__(self) -> None:
        self.revision = -1
        self.parts: dict[int, dict[int, messages.SnapshotPart]] = {}

    def add(self, part: messages.SnapshotPart) -> Snapshot | None:
        """Adds a part; returns the snapshot once it is complete.

        Raises:
            DecodeError: The part's index or the contents of a part are
                invalid.
        """
        if not 0 <= part.part < part.parts <= MAX_PARTS:
            raise exceptions.DecodeError("snapshot part index out of range")
        if part.revision < self.revision:
            return None
        if part.revision > self.revision:
            self.revision = part.revision
            self.parts = {}
        received = self.parts.setdefault(part.digest, {})
        received[part.part] = part
        if len(received) < part.parts:
            self.drop_oldest()
            return None
        self.parts = {}
        entries = [
            entry
            for number in sorted(received)
            for entry in _unpack_entries(received[number].packed)
        ]
        return Snapshot(part.revision, part.fresh_age_ms, tuple(entries))

    def drop_oldest(self) -> None:
        """Drops the oldest snapshots beyond ``MAX_INCOMPLETE``."""
        while len(self.parts) > MAX_INCOMPLETE:
            del self.parts[next(iter(self.parts))]


def _pack_entries(entries: Sequence[Entry]) -> bytes:
    rows = [[each.key, each.revision, _value_fields(each)] for each in entries]
    return zlib.compress(cbor2.dumps(rows), 1)


def _value_fields(entry: Entry) -> object:
    if isinstance(entry.value, model.Evacuation):
        return entry.value.failure_domain
    fields = list(attrs.astuple(entry.value)[:_UPSTREAM_FIELDS])
    # Earlier versions ignore what follows the fields of the upstream.
    return [*fields, True] if entry.doubtful else fields


@decoding.total("snapshot part")
def _unpack_entries(packed: bytes) -> list[Entry]:
    unpacker = zlib.decompressobj()
    raw = unpacker.decompress(packed, MAX_PART_BYTES)
    if unpacker.unconsumed_tail:
        raise ValueError("decompressed part is too large")
    return [_entry(*row) for row in cbor2.loads(raw)]


def _entry(key: str, revision: int, fields: list[Any] | str) -> Entry:
    value: model.Upstream | model.Evacuation
    doubtful = False
    if isinstance(fields, str):
        value = model.Evacuation(decoding.text(fields))
    else:
        value = model_checks.check_upstream(
            model.Upstream(*fields[:_UPSTREAM_FIELDS])
        )
        doubtful = fields[_UPSTREAM_FIELDS:] == [True]
    if not isinstance(key, str):
        raise ValueError("expected a text string")
    return Entry(key, decoding.integer(revision), value, doubtful)
