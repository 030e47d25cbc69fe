"""Entries of a run, on one platform and one network."""

from __future__ import annotations

from collections.abc import Callable
import random

import anyio
import anyio.abc

from lovageyoke.clock import virtual
from lovageyoke.config import follower
from lovageyoke.config import store as config_store
from lovageyoke.config import view as config_view
from lovageyoke.idempotency import messages
from lovageyoke.idempotency import service
from lovageyoke.idempotency import shards
from lovageyoke.membership import api as membership_api
from lovageyoke.membership import static
from lovageyoke.peer import api as peer_api
from lovageyoke.peer import codec
from lovageyoke.peer import fake as fake_peer
from lovageyoke.peer import pending_reply
from lovageyoke.soak import entry as entry_lib
from lovageyoke.soak import gate as gate_lib
from lovageyoke.soak import invariants
from lovageyoke.soak import platform as soak_platform
from lovageyoke.soak import trace as trace_lib
from lovageyoke.store import fake as fake_platform
from lovageyoke.store import faults
from lovageyoke.store import store

ENTRY_COUNT = 5
SHARD_COUNT = 3
MAX_VIEW_LAG_MS = 3_000.0
LATE_COPY_SHARE = 0.05
MAX_LATE_COPY_MS = 5_000.0
MS_PER_SECOND = 1_000.0


class TracedNetwork(fake_peer.FakeNetwork):
    """Records each message as a step, and repeats some much later.

    Attributes:
        trace: The trace.
        rng: Chooses the messages that are repeated.
        tasks: Where the repeats wait.
    """

    trace: trace_lib.Trace
    rng: random.Random
    tasks: anyio.abc.TaskGroup

    def post_request(
        self, source: str, target: str, message: peer_api.Message
    ) -> pending_reply.PendingReply:
        """Sends a message and returns what will hold its reply."""
        self.trace.step("message", source, target, type(message).__name__)
        if self.rng.random() < LATE_COPY_SHARE:
            self.trace.fault("late copy of a message")
            self.tasks.start_soon(self._repeat, source, target, message)
        return super().post_request(source, target, message)

    async def _repeat(
        self, source: str, target: str, message: peer_api.Message
    ) -> None:
        delay_ms = self.rng.uniform(0, MAX_LATE_COPY_MS)
        await anyio.sleep(delay_ms / MS_PER_SECOND)
        super().post_request(source, target, message)


class Fleet:
    """Starts, crashes and replaces entries.

    Attributes:
        rng: Source of every random choice.
        clock: Virtual time.
        trace: Steps taken.
        ledger: Invariants.
        store: The platform's state.
        injector: Faults of the platform.
        delays: Delays of platform calls.
        network: The network between entries.
        entries: Running entries by id.
        serial: Entries started so far.
        on_not_run: Called with the identity of each request answered not-run.
    """

    def __init__(
        self, seed: int, tasks: anyio.abc.TaskGroup, ledger: invariants.Ledger
    ) -> None:
        self.rng = random.Random(seed)  # noqa: S311
        self.tasks = tasks
        self.clock = virtual.LoopClock()
        self.trace = trace_lib.Trace()
        self.ledger = ledger
        self.store = store.PlatformStore()
        self.injector = faults.FaultInjector(seed=seed)
        self.delays = soak_platform.Delays()
        self.network = TracedNetwork(
            self.clock,
            random.Random(seed + 1),  # noqa: S311
            fake_peer.Conditions(max_delay_ms=3.0),
            codec.Codec(messages.TYPES),
        )
        self.network.trace = self.trace
        self.network.rng = self.rng
        self.network.tasks = tasks
        self.entries: dict[str, entry_lib.SoakEntry] = {}
        self.serial = 0
        self.on_not_run: Callable[[str], None] | None = None
        self._members: dict[str, membership_api.Member] = {}

    def start_all(self) -> None:
        """Starts the first entries."""
        for _ in range(ENTRY_COUNT):
            self.start(f"e{self.serial}")

    def start(self, name: str) -> entry_lib.SoakEntry:
        """Starts a new incarnation of an entry."""
        self.serial += 1
        member = membership_api.Member(name, self.serial, "", "", "")
        self._members[name] = member
        view = static.StaticMembership(name, tuple(self._members.values()))
        entry = self._make_entry(name, view)
        if self.on_not_run is not None:
            entry.on_not_run = self.on_not_run
        self.entries[name] = entry
        self.network.isolated.discard(name)
        self.tasks.start_soon(entry.run)
        self.announce(member)
        return entry

    def crash(self, name: str) -> None:
        """Crashes an entry; the others learn of it in their own time."""
        entry = self.entries.pop(name)
        entry.crash()
        self.network.isolated.add(name)
        self.mark(name, membership_api.MemberState.DEAD)

    def mark(self, name: str, state: membership_api.MemberState) -> None:
        """Changes the state of a member."""
        old = self._members[name]
        member = membership_api.Member(name, old.incarnation, "", "", "", state)
        self._members[name] = member
        self.announce(member)

    def announce(self, member: membership_api.Member) -> None:
        """Tells every entry of a member, each after a delay of its own."""
        for name in list(self.entries):
            if name != member.entry_id:
                self.tasks.start_soon(self._tell, name, member)

    def suspect(self, observer: str, name: str, duration_ms: float) -> None:
        """Makes one entry believe for a while that another is dead."""
        self.tasks.start_soon(self._suspect, observer, name, duration_ms)

    async def _tell(self, name: str, member: membership_api.Member) -> None:
        lag_ms = self.rng.uniform(0, MAX_VIEW_LAG_MS)
        await anyio.sleep(lag_ms / MS_PER_SECOND)
        entry = self.entries.get(name)
        if entry is not None:
            current = self._members[member.entry_id]
            entry.view.replace(current)
            self.trace.step("view", name, current.entry_id, current.state)

    async def _suspect(
        self, observer: str, name: str, duration_ms: float
    ) -> None:
        entry = self.entries[observer]
        member = self._members[name]
        entry.view.replace(
            membership_api.Member(
                name,
                member.incarnation,
                "",
                "",
                "",
                membership_api.MemberState.DEAD,
            )
        )
        await anyio.sleep(duration_ms / MS_PER_SECOND)
        entry.view.replace(self._members[name])

    def _make_entry(
        self, name: str, view: static.StaticMembership
    ) -> entry_lib.SoakEntry:
        gate = gate_lib.Gate()
        clock = gate_lib.GatedClock(gate)
        rng = random.Random(self.rng.getrandbits(64))  # noqa: S311
        platform = soak_platform.DetachedPlatform(
            fake_platform.FakePlatform(self.store, self.clock, self.injector),
            gate,
            self.delays,
            rng=rng,
            tasks=self.tasks,
            trace=self.trace,
        )
        log = service.create(
            platform,
            view,
            gate_lib.GatedChannel(self.network.channel(name), gate),
            clock,
            rng=rng,
            options=shards.Options(shard_count=SHARD_COUNT),
        )
        return entry_lib.SoakEntry(
            name,
            self.serial,
            gate,
            log,
            view=view,
            config=config_store.ConfigStore(platform, clock, rng),
            follower=follower.ConfigFollower(
                platform,
                config_view.ConfigView(),
                membership=view,
                clock=clock,
                generator=rng,
            ),
            rng=rng,
            ledger=self.ledger,
            trace=self.trace,
        )
