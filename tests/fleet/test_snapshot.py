"""Snapshots are reassembled from parts; invalid parts are rejected."""

from __future__ import annotations

import random
import zlib

import attrs
import cbor2
import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import positions
from lovageyoke.errors import exceptions
from lovageyoke.fleet import messages
from lovageyoke.fleet import snapshot
from lovageyoke.routing import model


def entry_of(index: int) -> snapshot.Entry:
    upstream = model.Upstream(
        f"i-{index}",
        index,
        "maps",
        "10.0.0.1",
        index + 1,
        "a",
        6,
        index % 2 == 0,
    )
    return snapshot.Entry(f"up/{index:04}", positions.at(index + 1), upstream)


def snapshot_of(entries: int, revision: int = 900) -> snapshot.Snapshot:
    made = tuple(entry_of(index) for index in range(entries))
    return snapshot.Snapshot(positions.at(revision), 12, made)


@pytest.mark.parametrize("entries", [0, 1, 150, 151, 720])
def test_a_snapshot_is_reassembled_from_reordered_and_duplicate_parts(
    entries: int,
) -> None:
    whole = snapshot_of(entries)
    parts = snapshot.pack(whole)
    arrived = parts[:-1] + parts[:-1]
    random.Random(entries).shuffle(arrived)  # noqa: S311
    assembler = snapshot.SnapshotAssembler()
    for part in arrived:
        assert_that(assembler.add(part), matchers.Is(None))
    assert_that(assembler.add(parts[-1]), matchers.Equals(whole))
    most = max(len(each.packed) for each in parts)
    assert_that(most, matchers.LessThan(60_000))


def test_parts_of_two_revisions_are_not_mixed() -> None:
    old = snapshot.pack(snapshot_of(200, 900))
    new = snapshot.pack(snapshot_of(200, 901))
    assembler = snapshot.SnapshotAssembler()
    assert_that(assembler.add(old[0]), matchers.Is(None))
    assert_that(assembler.add(new[1]), matchers.Is(None))
    assert_that(assembler.add(old[1]), matchers.Is(None))
    found = assembler.add(new[0])
    assert found is not None
    assert_that(found.position, matchers.Equals(positions.at(901)))


def test_parts_of_two_senders_lose_no_entry() -> None:
    whole = snapshot_of(360)
    shuffled = list(whole.entries)
    random.Random(1).shuffle(shuffled)  # noqa: S311
    first = snapshot.pack(whole)
    second = snapshot.pack(attrs.evolve(whole, entries=tuple(shuffled)))
    assembler = snapshot.SnapshotAssembler()
    found = [assembler.add(each) for each in (first[0], second[1], first[2])]
    assert_that(found[-1], matchers.Equals(whole))


def test_parts_of_different_snapshots_at_one_revision_are_not_mixed() -> None:
    first = snapshot.pack(snapshot_of(301))
    fewer = snapshot_of(301)
    second = snapshot.pack(attrs.evolve(fewer, entries=fewer.entries[1:]))
    assembler = snapshot.SnapshotAssembler()
    for part in (first[0], second[1], first[2]):
        assert_that(assembler.add(part), matchers.Is(None))
    found = assembler.add(first[1])
    assert found is not None
    assert_that(found.entries, matchers.HasLength(301))


def test_incomplete_snapshots_are_bounded() -> None:
    assembler = snapshot.SnapshotAssembler()
    for digest in range(100):
        part = messages.SnapshotPart(positions.at(3), 0, digest, 0, 2, b"")
        assert_that(assembler.add(part), matchers.Is(None))
    kept = matchers.HasLength(snapshot.MAX_INCOMPLETE)
    assert_that(assembler.parts, kept)


@pytest.mark.parametrize(
    "packed",
    [
        b"no zlib",
        zlib.compress(b"no cbor"),
        zlib.compress(cbor2.dumps([["key", 1, ["too", "few"]]])),
        zlib.compress(cbor2.dumps(7)),
        zlib.compress(b"0" * 5_000_000),
    ],
)
def test_an_invalid_part_is_rejected(packed: bytes) -> None:
    part = messages.SnapshotPart(positions.at(3), 0, 0, 0, 1, packed)
    with pytest.raises(exceptions.DecodeError):
        snapshot.SnapshotAssembler().add(part)


@pytest.mark.parametrize(("part", "parts"), [(-1, 1), (1, 1), (0, 10**9)])
def test_a_part_index_out_of_range_is_rejected(part: int, parts: int) -> None:
    message = messages.SnapshotPart(positions.at(3), 0, 0, part, parts, b"")
    with pytest.raises(exceptions.DecodeError):
        snapshot.SnapshotAssembler().add(message)


def test_a_snapshot_for_many_processes_is_packed_once() -> None:
    entries = snapshot_of(3).entries
    made = snapshot.PackedSnapshot()
    first = made.parts(entries, positions.at(900), 1, 5, 0.0)
    repeated = made.parts(iter(()), positions.at(900), 1, 9, snapshot.REPACK_MS)
    expected = [attrs.evolve(each, fresh_age_ms=9) for each in first]
    assert_that(repeated, matchers.Equals(expected))
    for position, version, now_ms in (
        (positions.at(901), 1, 0.0),
        (positions.at(900), 2, 0.0),
        (positions.at(900), 1, snapshot.REPACK_MS + 1.0),
    ):
        made = snapshot.PackedSnapshot()
        made.parts(entries, positions.at(900), 1, 5, 0.0)
        (part,) = made.parts(entries[1:], position, version, 5, now_ms)
        assert_that(part.position, matchers.Equals(position))
        assert_that(part.packed, matchers.Not(matchers.Equals(first[0].packed)))
