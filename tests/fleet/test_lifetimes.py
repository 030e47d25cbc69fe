"""Late writes don't bring back upstreams whose entries were removed."""

from __future__ import annotations

import attrs
import pytest
from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import positions
from lovageyoke.fleet import codec
from lovageyoke.fleet import lifetimes as fleet_lifetimes
from lovageyoke.fleet import messages
from lovageyoke.fleet import registry as fleet_registry
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.observe import events
from lovageyoke.store import revisions

HEARTBEAT_MS = 1_500.0
CONFIRMATION_MS = fleet_lifetimes.EndedLifetimes(HEARTBEAT_MS).confirmation_ms
SERVICE = ("u2", "u3", "u4")  # Other upstreams that stay.


@attrs.define
class Entries:
    """Writes entries to a registry at rising revisions."""

    registry: fleet_registry.Registry
    revision: int = 0

    def put(self, value: str, now_ms: float, key: str = "u1") -> None:
        self.revision += 1
        self.registry.put(
            key, value.encode(), positions.at(self.revision), now_ms
        )

    def remove(self, now_ms: float, key: str = "u1") -> None:
        self.revision += 1
        self.registry.remove(key, positions.at(self.revision), now_ms)

    @property
    def used(self) -> bool:
        return any(
            each.upstream_id == "u1" and each.accepts_requests
            for each in self.registry.upstreams()
        )


@pytest.fixture
def entries() -> Entries:
    made = Entries(
        fleet_registry.Registry(
            conftest.decode_lifetime, heartbeat_ms=HEARTBEAT_MS
        ),
        10,
    )
    for key in SERVICE:
        made.put("7 1 ready", 0.0, key)
    made.put("7 4 ready", 0.0)
    return made


def test_an_older_heartbeat_after_a_removal_does_not_undo_it(
    entries: Entries,
) -> None:
    # Guards against review/10: requests reached an upstream that had left.
    entries.remove(1_000.0)
    entries.put("7 3 ready", 2_500.0)
    assert_that(entries.used, matchers.Equals(False))
    entries.remove(7_000.0)
    assert_that(entries.used, matchers.Equals(False))
    assert_that(entries.registry.late_writes, matchers.Equals(1))


def test_a_late_heartbeat_that_the_store_did_not_report_changes_nothing(
    entries: Entries,
) -> None:
    # Guards against a late write whose sequence number is above the last one
    # reported, as the store doesn't report unchanged heartbeats.
    entries.remove(30_100.0)
    entries.put("7 23 ready", 32_000.0)
    assert_that(entries.used, matchers.Equals(False))


def test_a_heartbeat_sent_after_the_removal_counts_at_once(
    entries: Entries,
) -> None:
    entries.remove(30_100.0)
    entries.put("7 25 ready", 31_000.0)
    assert_that(entries.used, matchers.Equals(True))


def test_a_new_lifetime_is_used_at_once(entries: Entries) -> None:
    entries.remove(1_000.0)
    entries.put("9 1 ready", 1_100.0)
    assert_that(entries.used, matchers.Equals(True))


def test_a_late_write_of_an_earlier_lifetime_does_not_replace_the_new_one(
    entries: Entries,
) -> None:
    # Guards against a late write that ends the use of a live upstream.
    entries.put("9 1 draining", 1_000.0)
    entries.put("7 4 ready", 2_000.0)
    (found,) = (
        each
        for each in entries.registry.upstreams()
        if each.upstream_id == "u1"
    )
    assert_that(found.started_ms, matchers.Equals(9))


def test_an_entry_that_stays_is_confirmed(entries: Entries) -> None:
    # Guards against a live upstream that is left out for good.
    entries.remove(1_000.0)
    entries.put("7 3 ready", 2_000.0)
    registry = entries.registry
    before = registry.confirm_doubtful(2_000.0 + CONFIRMATION_MS - 1.0)
    assert_that(before, matchers.Equals([]))
    (confirmed,) = registry.confirm_doubtful(2_000.0 + CONFIRMATION_MS)
    assert_that(confirmed.upstream_id, matchers.Equals("u1"))
    assert_that(entries.used, matchers.Equals(True))


def test_late_writes_alone_never_last_until_the_confirmation() -> None:
    last_write_ms = fleet_lifetimes.LATE_WRITE_MS
    removed_ms = last_write_ms + 3 * HEARTBEAT_MS
    assert_that(removed_ms, matchers.LessThan(CONFIRMATION_MS))


def test_an_outage_of_the_store_confirms_nothing(entries: Entries) -> None:
    entries.remove(1_000.0)
    entries.put("7 3 ready", 2_000.0)
    entries.registry.record_outage(13_000.0)
    confirmed = entries.registry.confirm_doubtful(2_000.0 + CONFIRMATION_MS)
    assert_that(confirmed, matchers.Equals([]))


def test_a_late_write_does_not_prolong_the_use_after_an_outage(
    entries: Entries,
) -> None:
    # Guards against an entry that lapses in an outage and is written late.
    entries.registry.record_outage(1_000.0)
    entries.remove(1_100.0)
    entries.put("7 3 ready", 1_500.0)
    assert_that(entries.used, matchers.Equals(True))
    entries.registry.expire_retained(1_100.0 + fleet_registry.MAX_RETENTION_MS)
    assert_that(entries.used, matchers.Equals(False))


def test_a_late_write_after_an_invalid_entry_does_not_undo_draining(
    entries: Entries,
) -> None:
    # Guards against another writer's entry that hides what was known.
    entries.put("7 4 draining", 400.0)
    entries.put("", 500.0)
    entries.put("7 3 ready", 1_000.0)
    assert_that(entries.used, matchers.Equals(False))


def test_doubtful_entries_are_used_if_few_others_are_left(
    entries: Entries,
) -> None:
    # Guards against refusals after an outage that many live upstreams missed.
    for key in ("u1", *SERVICE):
        entries.remove(30_100.0, key)
        entries.put("7 20 ready", 31_000.0, key)
    assert_that(entries.used, matchers.Equals(True))
    entries.remove(32_000.0)
    entries.put("7 3 ready", 33_000.0)
    assert_that(entries.used, matchers.Equals(False))


def test_the_oldest_removals_are_forgotten_first() -> None:
    ended = fleet_lifetimes.EndedLifetimes()
    most = fleet_lifetimes.MAX_LIFETIMES
    for index in range(most + 1):
        ended.record(
            conftest.decode_lifetime(f"u{index}", b"7 4 ready"), 0.0, 0.0
        )
    assert_that(ended.ended, matchers.HasLength(most))
    oldest = conftest.decode_lifetime("u0", b"7 4 ready")
    assert_that(ended.is_late(oldest), matchers.Equals(False))
    newest = conftest.decode_lifetime(f"u{most}", b"7 4 ready")
    assert_that(ended.is_late(newest), matchers.Equals(True))


def new_replica(log: events.EventLog) -> fleet_replica.Replica:
    layout = attrs.evolve(
        conftest.LAYOUT, decode_upstream=conftest.decode_lifetime
    )
    return fleet_replica.Replica(
        layout,
        log,
        on_configuration=lambda _: None,
        on_upstreams=lambda _: None,
        broadcast=lambda *_: None,
    )


def write(
    replica: fleet_replica.Replica, value: bytes | None, revision: int
) -> None:
    change = revisions.Change("up/u1", positions.at(revision), value)
    replica.apply_watch(
        revisions.Changes((change,), positions.at(revision)), 0.0
    )


def read_all(replica: fleet_replica.Replica) -> None:
    items = tuple(
        revisions.Item(f"up/{key}", b"7 1 ready", positions.at(1))
        for key in SERVICE
    )
    replica.apply_read(
        revisions.Listing(items, positions.at(1)),
        revisions.Listing((), positions.at(1)),
        0.0,
        stale=False,
    )


def transfer(
    sender: fleet_replica.Replica, receiver: fleet_replica.Replica
) -> None:
    for each in sender.snapshot_for(
        messages.SnapshotRequest(positions.at(0)), 0.0
    ):
        message = codec.decode(codec.encode(each))
        if isinstance(message, messages.RemovedUpstreams):
            receiver.apply_removed(message)
        elif isinstance(message, messages.SnapshotPart):
            receiver.add_snapshot_part(message, 0.0)


def used_ids(replica: fleet_replica.Replica) -> list[str]:
    return sorted(each.upstream_id for each in replica.registry.upstreams())


@pytest.fixture
def sender(log: events.EventLog) -> fleet_replica.Replica:
    """A replica that knows of a removal at revision 6."""
    made = new_replica(log)
    read_all(made)
    write(made, b"7 4 ready", 5)
    write(made, None, 6)
    return made


def test_a_process_that_starts_learns_of_removals_from_its_peer(
    log: events.EventLog, sender: fleet_replica.Replica
) -> None:
    # Guards against a start between a removal and a late write.
    receiver = new_replica(log)
    transfer(sender, receiver)
    write(receiver, b"7 3 ready", 7)
    assert_that(used_ids(receiver), matchers.HasLength(len(SERVICE)))


def test_a_process_that_starts_does_not_take_a_late_write_for_an_upstream(
    log: events.EventLog, sender: fleet_replica.Replica
) -> None:
    # Guards against a start after a late write.
    write(sender, b"7 3 ready", 7)
    receiver = new_replica(log)
    transfer(sender, receiver)
    assert_that(used_ids(receiver), matchers.HasLength(len(SERVICE)))


def test_a_peer_that_missed_a_removal_does_not_undo_it(
    log: events.EventLog, sender: fleet_replica.Replica
) -> None:
    behind = new_replica(log)
    read_all(behind)
    write(behind, b"7 4 ready", 5)
    # Its snapshot is newer only by a revision that is given out again.
    behind.advance(positions.at(9))
    behind.registry.known["up/u1"].position = positions.at(8)
    transfer(behind, sender)
    assert_that(used_ids(sender), matchers.HasLength(len(SERVICE)))


def test_a_removal_that_a_peer_remembers_hides_no_later_heartbeat(
    log: events.EventLog,
) -> None:
    # Guards against an upstream that drains but has been removed before.
    replica = new_replica(log)
    read_all(replica)
    write(replica, b"7 4 ready", 5)
    ended = fleet_lifetimes.EndedLifetime("up/u1", 7, 4, 20)
    replica.apply_removed(messages.RemovedUpstreams((ended,)))
    write(replica, b"7 5 draining", 6)
    draining = [
        each.upstream_id
        for each in replica.registry.upstreams()
        if each.draining
    ]
    assert_that(draining, matchers.Equals(["up/u1"]))


def test_a_removal_holds_when_revisions_are_given_out_again(
    log: events.EventLog, sender: fleet_replica.Replica
) -> None:
    # Guards against a store that comes back from an older copy.
    restored = new_replica(log)
    for each in sender.registry.lifetimes.newest(1):
        restored.registry.lifetimes.add(each)
    read_all(restored)
    write(restored, b"7 3 ready", 4)
    assert_that(used_ids(restored), matchers.HasLength(len(SERVICE)))
