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
from lovageyoke.store import positions

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
        position: Position of its last change.
        value: The upstream or the evacuation that it names.
        doubtful: Whether it may result from a late write after its removal.
    """

    key: str
    position: positions.Position
    value: model.Upstream | model.Evacuation
    doubtful: bool = False


@attrs.frozen
class Snapshot:
    """All entries at one position.

    Attributes:
        position: The position.
        fresh_age_ms: Time since the store confirmed the position.
        entries: The entries, all of the same era.
    """

    position: positions.Position
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
            snapshot.position,
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
        key: Its position and configuration version.
        packed_ms: When it was packed.
        packed: Its parts.
    """

    def __init__(self) -> None:
        self.key: tuple[positions.Position, int] | None = None
        self.packed_ms = -math.inf
        self.packed: list[messages.SnapshotPart] = []

    def parts(
        self,
        entries: Iterable[Entry],
        position: positions.Position,
        configuration_version: int,
        fresh_age_ms: int,
        now_ms: float,
    ) -> list[messages.SnapshotPart]:
        """Returns the parts of a snapshot, packed at most ``REPACK_MS`` ago.

        Args:
            entries: All entries.
            position: Their position.
            configuration_version: Version that the sender follows.
            fresh_age_ms: Time since the store confirmed the position.
            now_ms: The time.
        """
        key = (position, configuration_version)
        if key != self.key or now_ms - self.packed_ms > REPACK_MS:
            whole = Snapshot(position, fresh_age_ms, tuple(entries))
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
        position: Newest position of the received parts.
        parts: The received parts of that position by index, by digest.
    """

    def __init__(self) -> None:
        self.position = positions.START
        self.parts: dict[int, dict[int, messages.SnapshotPart]] = {}

    def add(self, part: messages.SnapshotPart) -> Snapshot | None:
        """Adds a part; returns the snapshot once it is complete.

        Raises:
            DecodeError: The part's index or the contents of a part are
                invalid.
        """
        if not 0 <= part.part < part.parts <= MAX_PARTS:
            raise exceptions.DecodeError("snapshot part index out of range")
        if part.position < self.position:
            return None
        if part.position > self.position:
            self.position = part.position
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
            for entry in _unpack_entries(received[number])
        ]
        return Snapshot(part.position, part.fresh_age_ms, tuple(entries))

    def drop_oldest(self) -> None:
        """Drops the oldest snapshots beyond ``MAX_INCOMPLETE``."""
        while len(self.parts) > MAX_INCOMPLETE:
            del self.parts[next(iter(self.parts))]


def _pack_entries(entries: Sequence[Entry]) -> bytes:
    rows = [
        [each.key, each.position.revision, _value_fields(each)]
        for each in entries
    ]
    return zlib.compress(cbor2.dumps(rows), 1)


def _value_fields(entry: Entry) -> object:
    if isinstance(entry.value, model.Evacuation):
        return entry.value.failure_domain
    fields = list(attrs.astuple(entry.value)[:_UPSTREAM_FIELDS])
    # Earlier versions ignore what follows the fields of the upstream.
    return [*fields, True] if entry.doubtful else fields


@decoding.total("snapshot part")
def _unpack_entries(part: messages.SnapshotPart) -> list[Entry]:
    unpacker = zlib.decompressobj()
    raw = unpacker.decompress(part.packed, MAX_PART_BYTES)
    if unpacker.unconsumed_tail:
        raise ValueError("decompressed part is too large")
    return [_entry(part.position, *row) for row in cbor2.loads(raw)]


def _entry(
    whole: positions.Position, key: str, revision: int, fields: list[Any] | str
) -> Entry:
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
    position = whole.with_revision(decoding.integer(revision))
    return Entry(key, position, value, doubtful)
