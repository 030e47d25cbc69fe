"""Replicas agree with the store in any order of reads, messages and starts.

A model store keeps its whole history. Its reads may be of any age, and each
call may be answered by a read replica of another age. Messages between the
processes are lost, duplicated and delivered late.
"""

from __future__ import annotations

import os

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import manual_clock
from lovageyoke.fleet import messages
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.observe import events
from lovageyoke.store import revisions

PROCESSES = 3
KEYS = [*(f"up/u{index}" for index in range(3)), "config-evacuate/a"]
PROCESS = st.integers(0, PROCESSES - 1)
AGE = st.integers(0, 6)  # In revisions.


@attrs.frozen
class Sent:
    """A message that may be delivered at any later time."""

    receiver: int
    message: messages.Message


class ReplicaModel(stateful.RuleBasedStateMachine):
    """Checks replicas against the history of the store."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = manual_clock.ManualClock()
        self.descriptor = os.open(os.devnull, os.O_WRONLY)
        self.log = events.EventLog(self.clock, "n1", self.descriptor)
        self.changes: list[revisions.Change] = []
        self.version = 0
        self.sent: list[Sent] = []
        self.replicas = [self.new_replica() for _ in range(PROCESSES)]
        self.write("config")

    def teardown(self) -> None:
        os.close(self.descriptor)

    def new_replica(self) -> fleet_replica.Replica:
        return fleet_replica.Replica(
            conftest.LAYOUT,
            self.log,
            on_configuration=lambda _: None,
            on_upstreams=lambda _: None,
            broadcast=lambda *_: None,
        )

    @property
    def revision(self) -> int:
        return len(self.changes)

    def write(self, key: str) -> None:
        revision = self.revision + 1
        value = b"x"
        if key == "config":
            self.version += 1
            value = b"%d" % self.version
        self.changes.append(revisions.Change(key, revision, value))

    def state_at(self, revision: int) -> dict[str, revisions.Change]:
        """Returns the last change of each key that existed at a revision."""
        found = {}
        for change in self.changes[:revision]:
            found[change.key] = change
        return {key: each for key, each in found.items() if each.value}

    def listing(self, prefix: str, age: int) -> revisions.Listing:
        revision = max(1, self.revision - age)
        items = tuple(
            revisions.Item(each.key, each.value or b"", each.revision)
            for each in self.state_at(revision).values()
            if each.key.startswith(prefix)
        )
        return revisions.Listing(items, revision)

    # The store

    @stateful.rule(key=st.sampled_from([*KEYS, "config"]))
    def change(self, key: str) -> None:
        self.write(key)

    @stateful.rule(key=st.sampled_from(KEYS))
    def remove(self, key: str) -> None:
        if key in self.state_at(self.revision):
            removal = revisions.Change(key, self.revision + 1, None)
            self.changes.append(removal)

    # The processes

    @stateful.rule(index=PROCESS)
    def restart(self, index: int) -> None:
        self.replicas[index] = self.new_replica()

    @stateful.rule(index=PROCESS, upstreams=AGE, configuration=AGE)
    def read_stale(
        self, index: int, upstreams: int, configuration: int
    ) -> None:
        self.replicas[index].apply_read(
            self.listing("up/", upstreams),
            self.listing("config", configuration),
            self.clock.now_ms(),
            stale=True,
        )

    @stateful.rule(index=PROCESS)
    def watch(self, index: int) -> None:
        replica = self.replicas[index]
        if replica.listed:
            found = tuple(self.changes[replica.revision :])
            replica.apply_watch(
                revisions.Changes(found, self.revision), self.clock.now_ms()
            )

    @stateful.rule(sender=PROCESS, receiver=PROCESS)
    def send_heartbeat(self, sender: int, receiver: int) -> None:
        replica = self.replicas[sender]
        since, changes = replica.recent.for_heartbeat(
            replica.revision, self.clock.now_ms()
        )
        configuration = replica.configuration
        peer = messages.Peer(f"n{sender}", "10.0.0.1", 7540, "a:80", "a")
        heartbeat = messages.Heartbeat(
            messages.MemberState(peer),
            collecting=False,
            known=1,
            configuration_version=configuration.version if configuration else 0,
            revision=replica.revision if replica.listed else 0,
            since_revision=since,
            fresh_age_ms=0,
            changes=changes,
        )
        self.sent.append(Sent(receiver, heartbeat))

    @stateful.rule(sender=PROCESS, receiver=PROCESS)
    def send_snapshot(self, sender: int, receiver: int) -> None:
        request = messages.SnapshotRequest(self.replicas[receiver].revision)
        answer = self.replicas[sender].snapshot_for(
            request, self.clock.now_ms()
        )
        self.sent += [Sent(receiver, each) for each in answer]

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        sent = data.draw(st.sampled_from(self.sent))
        replica = self.replicas[sent.receiver]
        now_ms = self.clock.now_ms()
        if isinstance(sent.message, messages.Heartbeat):
            replica.apply_heartbeat(sent.message, now_ms)
        elif isinstance(sent.message, messages.ConfigurationUpdate):
            replica.apply_configuration_update(sent.message)
        elif isinstance(sent.message, messages.SnapshotPart):
            replica.add_snapshot_part(sent.message, now_ms)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        self.sent.remove(data.draw(st.sampled_from(self.sent)))

    # What must always hold

    @stateful.invariant()
    def no_entry_is_older_than_its_replica(self) -> None:
        for replica in self.replicas:
            if not replica.listed:
                continue
            expected = set(self.state_at(replica.revision))
            later = {each.key for each in self.changes[replica.revision :]}
            known = {
                key
                for key, each in replica.registry.known.items()
                if each.value is not None
            }
            # Keys that change later may already have been changed.
            assert_that(
                known - later, matchers.Equals(expected - later - {"config"})
            )

    @stateful.invariant()
    def a_missing_configuration_is_noticed(self) -> None:
        for replica in self.replicas:
            if not replica.is_complete:
                continue
            assert replica.configuration is not None
            change = self.state_at(replica.revision).get("config")
            wanted = int(change.value or b"0") if change else 0
            known = max(replica.configuration.version, replica.newest_version)
            assert_that(known, matchers.Not(matchers.LessThan(wanted)))


ReplicaModel.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
TestReplicaModel = ReplicaModel.TestCase
