"""Task that keeps this entry VM's configuration up to date."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import random

import anyio
import anyio.abc
import attrs

from lovageyoke.clock import api as clock_api
from lovageyoke.config import assignment
from lovageyoke.config import dissemination
from lovageyoke.config import exchange
from lovageyoke.config import groups
from lovageyoke.config import source as sources
from lovageyoke.config import updates
from lovageyoke.config import view as views
from lovageyoke.errors import exceptions
from lovageyoke.membership import api as membership_api
from lovageyoke.peer import api as peer_api
from lovageyoke.store import api

POLL_INTERVAL_MS = 2_000.0
ASSIGN_INTERVAL_MS = 500.0
BOOTSTRAP_PULL_INTERVAL_MS = 500.0
SWEEP_INTERVAL_MS = 250.0
MAX_INITIAL_READERS = 16
BOOTSTRAP_DELAY_MS = 300.0
PLATFORM_START_TIMEOUT_MS = 5_000.0
BOOTSTRAP_PEERS = 8

Role = tuple[str, int]
GroupTask = Callable[[int], Awaitable[None]]


@attrs.frozen
class Rollout:
    """Propagation status of this entry VM's configuration.

    Attributes:
        ready: Whether this entry VM has a complete configuration.
        entries: Number of entry VMs known, including this one.
        current: Number of entry VMs that have the same configuration.
        differing: Entry VMs whose last report differs.
    """

    ready: bool
    entries: int
    current: int
    differing: tuple[str, ...]


class ConfigFollower:
    """Applies changes from the platform and from peers to a ConfigView.

    Attributes:
        view: The active configuration.
        source: Reads and watches groups on the platform.
        exchange: Exchange of configuration with peers, or None.
        ready: Set once a complete configuration is known.
    """

    def __init__(
        self,
        platform: api.Platform,
        view: views.ConfigView,
        *,
        membership: membership_api.MembershipView,
        clock: clock_api.Clock,
        generator: random.Random,
        channel: peer_api.PeerChannel | None = None,
        digests: dissemination.PeerDigests | None = None,
        calls_per_s: float = sources.CALLS_PER_S,
    ) -> None:
        self.view = view
        self.source = sources.GroupSource(platform, clock, calls_per_s)
        self.ready = anyio.Event()
        self._membership = membership
        self._clock = clock
        self._random = generator
        self._unread = set(range(groups.GROUP_COUNT))
        self._scopes: dict[Role, anyio.CancelScope] = {}
        self.exchange: exchange.PeerExchange | None = None
        if channel is not None:
            self.exchange = exchange.PeerExchange(
                view,
                channel,
                membership=membership,
                clock=clock,
                generator=generator,
                is_ready=self.ready.is_set,
                digests=digests,
            )

    async def run(self) -> None:
        """Follows the configuration until cancelled."""
        self._scopes.clear()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_all)
            tasks.start_soon(self._sweep)
            if self.exchange is not None:
                tasks.start_soon(self.exchange.run)
                tasks.start_soon(self._bootstrap_from_peers, self.exchange)
            await self._assign_repeatedly(tasks)

    def digest(self) -> bytes:
        """Returns the digest to send in heartbeats."""
        return dissemination.digest(self.view.sequences)

    def record_peer_digest(self, entry_id: str, peer_digest: bytes) -> None:
        """Records the digest from a peer's heartbeat."""
        if self.exchange is not None:
            self.exchange.digests.record(entry_id, peer_digest)

    def apply_update(self, update: updates.GroupUpdate) -> bool:
        """Applies a change that the platform has accepted.

        Returns:
            Whether it was new. A new change is pushed to peers, unless this
            is the first read of its group.
        """
        base = self.view.sequences[update.group]
        is_new = self.view.apply(update)
        was_read = update.group not in self._unread
        if is_new and was_read and self.exchange is not None:
            self.exchange.announce(update.group, base)
        return is_new

    def rollout(self) -> Rollout:
        """Returns which entry VMs report the same configuration."""
        members = self._member_ids()
        peers = members - {self._membership.self_id()}
        seen = self.exchange.digests.latest if self.exchange else {}
        own = self.digest()
        differing = tuple(
            sorted(each for each in peers if seen.get(each, own) != own)
        )
        agreeing = sum(seen.get(each) == own for each in peers)
        return Rollout(
            ready=self.ready.is_set(),
            entries=len(members),
            current=agreeing + 1,
            differing=differing,
        )

    def _member_ids(self) -> set[str]:
        return dissemination.member_ids(self._membership)

    async def _read_all(self) -> None:
        limiter = anyio.CapacityLimiter(MAX_INITIAL_READERS)
        async with anyio.create_task_group() as tasks:
            for group in sorted(self._unread):
                tasks.start_soon(self._read_first, group, limiter)
        self.ready.set()

    async def _read_first(
        self, group: int, limiter: anyio.CapacityLimiter
    ) -> None:
        async with limiter:
            await self._retry_until_success(group, self.source.read)
        self._unread.discard(group)

    async def _retry_until_success(
        self,
        group: int,
        call: Callable[[int], Awaitable[updates.GroupUpdate | None]],
    ) -> None:
        backoff = sources.Backoff()
        while True:
            try:
                update = await call(group)
            except exceptions.PlatformError:
                await self._clock.sleep_ms(backoff.next_ms(self._random))
                continue
            if update is not None:
                self.apply_update(update)
            return

    async def _watch_group(self, group: int) -> None:
        while True:
            await self._retry_until_success(group, self.source.watch)

    async def _poll_group(self, group: int) -> None:
        await self._clock.sleep_ms(self._random.uniform(0, POLL_INTERVAL_MS))
        while True:
            await self._retry_until_success(group, self.source.read)
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    async def _sweep(self) -> None:
        """Reads random groups, in case no entry VM follows them."""
        while True:
            interval_ms = SWEEP_INTERVAL_MS * len(self._member_ids())
            await self._clock.sleep_ms(self._random.uniform(0, 2 * interval_ms))
            group = self._random.randrange(groups.GROUP_COUNT)
            if ("poll", group) not in self._scopes:
                await self._retry_until_success(group, self.source.read)

    async def _assign_repeatedly(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            roles = assignment.roles(
                self._membership.self_id(), self._membership.members()
            )
            desired: dict[Role, GroupTask] = {}
            for group in roles.watched - self._unread:
                desired["watch", group] = self._watch_group
            for group in roles.polled - self._unread:
                desired["poll", group] = self._poll_group
            for key in self._scopes.keys() - desired.keys():
                self._scopes.pop(key).cancel()
            for key in sorted(desired.keys() - self._scopes.keys()):
                self._scopes[key] = anyio.CancelScope()
                tasks.start_soon(
                    self._run_in_scope, desired[key], key[1], self._scopes[key]
                )
            await self._clock.sleep_ms(ASSIGN_INTERVAL_MS)

    async def _run_in_scope(
        self, task: GroupTask, group: int, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await task(group)

    async def _bootstrap_from_peers(self, peers: exchange.PeerExchange) -> None:
        """Becomes ready through peers if the platform fails or is slow."""
        started_ms = self._clock.now_ms()
        await self._clock.sleep_ms(BOOTSTRAP_DELAY_MS)
        while not self.ready.is_set():
            is_complete = await peers.pull_from_random_peers(BOOTSTRAP_PEERS)
            waited_ms = self._clock.now_ms() - started_ms
            if is_complete and (
                self.source.failing or waited_ms > PLATFORM_START_TIMEOUT_MS
            ):
                self.ready.set()
            await self._clock.sleep_ms(BOOTSTRAP_PULL_INTERVAL_MS)
