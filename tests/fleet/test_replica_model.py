"""Replicas agree with the store in any order of reads, messages and starts.

A model store keeps the whole history of each era. Its reads may be of any age,
and each call may be answered by a read replica of another age. Messages
between the processes are lost, duplicated and delivered late, and answers of
an earlier era arrive after those of a later one.
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
from fakes import positions
from lovageyoke.fleet import messages
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.observe import events
from lovageyoke.store import positions as store_positions
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
        # One history an era.
        self.histories: list[list[revisions.Change]] = [[]]
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
    def changes(self) -> list[revisions.Change]:
        return self.histories[-1]

    @property
    def position(self) -> store_positions.Position:
        return positions.at(len(self.changes), len(self.histories))

    def next_position(self) -> store_positions.Position:
        return self.position.with_revision(self.position.revision + 1)

    def write(self, key: str) -> None:
        value = b"x"
        if key == "config":
            self.version += 1
            value = b"%d" % self.version
        change = revisions.Change(key, self.next_position(), value)
        self.changes.append(change)

    def changes_after(
        self, position: store_positions.Position
    ) -> list[revisions.Change]:
        """Returns the changes of its era after a position."""
        return self.histories[position.era - 1][position.revision :]

    def state_at(
        self, position: store_positions.Position
    ) -> dict[str, revisions.Change]:
        """Returns the last change of each key that existed at a position."""
        found = {}
        for change in self.histories[position.era - 1][: position.revision]:
            found[change.key] = change
        return {key: each for key, each in found.items() if each.value}

    def listing(
        self, prefix: str, age: int, eras_ago: int = 0
    ) -> revisions.Listing:
        era = max(1, len(self.histories) - eras_ago)
        newest = len(self.histories[era - 1])
        position = positions.at(max(1, newest - age), era)
        items = tuple(
            revisions.Item(each.key, each.value or b"", each.position)
            for each in self.state_at(position).values()
            if each.key.startswith(prefix)
        )
        return revisions.Listing(items, position)

    # The store

    @stateful.rule(key=st.sampled_from([*KEYS, "config"]))
    def change(self, key: str) -> None:
        self.write(key)

    @stateful.rule(key=st.sampled_from(KEYS))
    def remove(self, key: str) -> None:
        if key in self.state_at(self.position):
            removal = revisions.Change(key, self.next_position(), None)
            self.changes.append(removal)

    @stateful.rule(age=AGE)
    def restore(self, age: int) -> None:
        """The store returns from a copy in which the operator writes again."""
        era = len(self.histories) + 1
        copy = self.changes[: max(1, len(self.changes) - age)]
        self.histories.append(
            [
                attrs.evolve(
                    each, position=positions.at(each.position.revision, era)
                )
                for each in copy
            ]
        )
        self.version -= 1
        self.write("config")

    # The processes

    @stateful.rule(index=PROCESS)
    def restart(self, index: int) -> None:
        self.replicas[index] = self.new_replica()

    @stateful.rule(
        index=PROCESS,
        upstreams=AGE,
        configuration=AGE,
        eras_ago=st.integers(0, 1),
    )
    def read_stale(
        self, index: int, upstreams: int, configuration: int, eras_ago: int
    ) -> None:
        self.replicas[index].apply_read(
            self.listing("up/", upstreams, eras_ago),
            self.listing("config", configuration, eras_ago),
            self.clock.now_ms(),
            stale=True,
        )

    @stateful.rule(index=PROCESS)
    def watch(self, index: int) -> None:
        replica = self.replicas[index]
        if replica.listed:
            # The store knows a watch by its revision only, not by its era.
            found = tuple(self.changes[replica.position.revision :])
            replica.apply_watch(
                revisions.Changes(found, self.position), self.clock.now_ms()
            )

    @stateful.rule(sender=PROCESS, receiver=PROCESS)
    def send_heartbeat(self, sender: int, receiver: int) -> None:
        replica = self.replicas[sender]
        since, changes = replica.recent.for_heartbeat(
            replica.position, self.clock.now_ms()
        )
        configuration = replica.configuration
        peer = messages.Peer(f"n{sender}", "10.0.0.1", 7540, "a:80", "a")
        heartbeat = messages.Heartbeat(
            messages.MemberState(peer),
            collecting=False,
            known=1,
            configuration_version=configuration.version if configuration else 0,
            position=replica.position,
            since=since,
            fresh_age_ms=0,
            changes=changes,
        )
        self.sent.append(Sent(receiver, heartbeat))

    @stateful.rule(sender=PROCESS, receiver=PROCESS)
    def send_snapshot(self, sender: int, receiver: int) -> None:
        request = messages.SnapshotRequest(self.replicas[receiver].position)
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
            replica.configurations.apply_update(sent.message)
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
            expected = set(self.state_at(replica.position))
            later = {each.key for each in self.changes_after(replica.position)}
            # What a restored store lacks is kept for a while.
            known = {
                key
                for key, each in replica.registry.known.items()
                if each.value is not None and each.deleted_ms is None
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
            change = self.state_at(replica.position).get("config")
            wanted = int(change.value or b"0") if change else 0
            known = max(
                replica.configuration.version,
                replica.configurations.newest_version,
            )
            assert_that(known, matchers.Not(matchers.LessThan(wanted)))


ReplicaModel.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
TestReplicaModel = ReplicaModel.TestCase
