"""Fixtures: peers, member states, heartbeats, a store and a follower."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import ipaddress
import os
import random
import zlib

import attrs
import pytest

from fakes import manual_clock
from fakes import positions
from fakes import revision_store
from lovageyoke.errors import exceptions
from lovageyoke.fleet import follower as fleet_follower
from lovageyoke.fleet import layout as fleet_layout
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.observe import events
from lovageyoke.routing import model

PeerOf = Callable[..., messages.Peer]
StateOf = Callable[..., messages.MemberState]
HeartbeatOf = Callable[..., messages.Heartbeat]
STATE_FIELDS = {each.name for each in attrs.fields(messages.MemberState)}


def decode_upstream(key: str, value: bytes) -> model.Upstream:
    if value == b"bad":
        raise exceptions.DecodeError("bad entry")
    name = key.removeprefix("up/")
    draining = value.rstrip() == b"draining"
    # Distinct names have distinct addresses.
    host = str(ipaddress.IPv4Address(zlib.crc32(name.encode())))
    return model.Upstream(name, 1, "maps", host, 80, "a", 6, draining)


def decode_lifetime(key: str, value: bytes) -> model.Upstream:
    """Decodes a start time, a sequence number and a state."""
    if not value:
        raise exceptions.DecodeError("empty entry")
    started, sequence, state = value.decode().split()
    return model.Upstream(
        key,
        int(started),
        "maps",
        f"10.0.0.{key[-1]}",
        80,
        "a",
        6,
        draining=state == "draining",
        sequence=int(sequence),
    )


def decode_configuration(value: bytes) -> model.Configuration:
    if not value.isdigit():
        raise exceptions.DecodeError("no configuration")
    return model.Configuration(int(value), (), {}, model.CallerLimits())


def decode_evacuation(key: str) -> model.Evacuation:
    domain = key.removeprefix("config-evacuate/")
    if not domain:
        raise exceptions.DecodeError("no failure domain")
    return model.Evacuation(domain)


LAYOUT = fleet_layout.Layout(
    "up/",
    "config",
    "config-evacuate/",
    "config",
    "",
    decode_upstream,
    decode_evacuation,
    decode_configuration,
)


@pytest.fixture
def peer_of() -> PeerOf:
    def make(name: str, domain: str = "a") -> messages.Peer:
        return messages.Peer(name, "10.0.0.1", 7540, f"{name}:80", domain)

    return make


@pytest.fixture
def state_of(peer_of: PeerOf) -> StateOf:
    def make(
        name: str = "n2", domain: str = "a", **changes: object
    ) -> messages.MemberState:
        fields: dict[str, object] = {
            "started_ms": 1,
            "sequence": 1,
            "ready": True,
            "capacity": 100,
        }
        fields.update(changes)
        return messages.MemberState(peer_of(name, domain), **fields)  # type: ignore[arg-type]

    return make


@pytest.fixture
def heartbeat_of(state_of: StateOf) -> HeartbeatOf:
    def make(
        name: str = "n2", domain: str = "a", **changes: object
    ) -> messages.Heartbeat:
        fields: dict[str, object] = {
            "collecting": False,
            "known": 1,
            "configuration_version": 0,
            "fresh_age_ms": 0,
        }
        era = changes.pop("era", positions.ERA)
        for name_of, field in (
            ("revision", "position"),
            ("since_revision", "since"),
        ):
            fields[field] = positions.at(changes.pop(name_of, 0), era)
        state = {key: changes.pop(key) for key in STATE_FIELDS & set(changes)}
        fields.update(changes)
        sender = state_of(name, domain, **state)
        return messages.Heartbeat(sender, **fields)  # type: ignore[arg-type]

    return make


@pytest.fixture
def members(state_of: StateOf) -> fleet_members.Members:
    return fleet_members.Members(state_of("n1"))


@pytest.fixture
def store() -> revision_store.RevisionStore:
    return revision_store.RevisionStore()


@pytest.fixture
def log(clock: manual_clock.ManualClock) -> Iterator[events.EventLog]:
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield events.EventLog(clock, "n1", descriptor)
    os.close(descriptor)


class FollowerHarness:
    """A follower that records its callbacks."""

    def __init__(
        self,
        store: revision_store.RevisionStore,
        members: fleet_members.Members,
        clock: manual_clock.ManualClock,
        log: events.EventLog,
    ) -> None:
        self.versions: list[int] = []
        self.upstreams: list[str] = []
        self.draining: list[str] = []
        self.sent: list[tuple[messages.ConfigurationUpdate, bool]] = []
        self.asked: list[int] = []
        self.has_peer = False
        self.change_count = 0
        self.clock = clock
        self.replica = fleet_replica.Replica(
            LAYOUT,
            log,
            on_configuration=lambda each: self.versions.append(each.version),
            on_upstreams=self.take,
            broadcast=lambda update, from_peer: self.sent.append(
                (update, from_peer)
            ),
        )
        self.follower = fleet_follower.Follower(
            store=store,
            replica=self.replica,
            members=members,
            clock=clock,
            log=log,
            rng=random.Random(1),  # noqa: S311
            on_changes=self.count_change,
            send_request=self.ask,
        )

    def count_change(self) -> None:
        self.change_count += 1

    def ask(self, request: messages.SnapshotRequest) -> bool:
        if self.has_peer:
            self.asked.append(request.position.revision)
        return self.has_peer

    async def start_alone(self) -> None:
        """Starts the process without peers, so that it reads the store."""
        self.clock.advance(fleet_follower.DISCOVERY_MS)
        await self.follower.step()

    def take(self, upstreams: list[model.Upstream]) -> None:
        self.upstreams = sorted(each.upstream_id for each in upstreams)
        self.draining = [
            each.upstream_id for each in upstreams if each.draining
        ]


@pytest.fixture
def harness(
    store: revision_store.RevisionStore,
    members: fleet_members.Members,
    clock: manual_clock.ManualClock,
    log: events.EventLog,
) -> FollowerHarness:
    store.put("config", b"3")
    store.put("up/u1", b"x")
    store.put("up/u2", b"x")
    return FollowerHarness(store, members, clock, log)
