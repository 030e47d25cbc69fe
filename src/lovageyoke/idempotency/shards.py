"""The log shards that this entry VM owns."""

from __future__ import annotations

import random

import anyio
import anyio.abc
import attrs

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.idempotency import budget
from lovageyoke.idempotency import fenced
from lovageyoke.idempotency import identity
from lovageyoke.idempotency import messages
from lovageyoke.idempotency import owner as owner_lib
from lovageyoke.membership import api as membership_api
from lovageyoke.peer import api as peer_api
from lovageyoke.store import api as platform_api

DEFAULT_SHARD_COUNT = 4
DEFAULT_WRITES_PER_S = 160.0
DEFAULT_BURST = 8.0
SNAPSHOT_WRITE_SHARE = 1 / 8
RECONCILE_INTERVAL_MS = 100.0
MIN_HOLD_DOWN_MS = 500.0
MAX_HOLD_DOWN_MS = 1_500.0
HANDLER_TIMEOUT_MS = 1_000.0
MS_PER_SECOND = 1_000.0


@attrs.frozen
class Options:
    """Options of the log; all entry VMs must use the same ``shard_count``.

    Attributes:
        shard_count: Number of shards; must not change once the log exists.
        writes_per_s: Platform writes per second, shared by all shards.
        burst: Burst size of each shard's write budgets.
    """

    shard_count: int = DEFAULT_SHARD_COUNT
    writes_per_s: float = DEFAULT_WRITES_PER_S
    burst: float = DEFAULT_BURST


@attrs.frozen
class HoldDown:
    """Hold-down period in which a lost shard is not taken over again.

    Attributes:
        until_ms: When the period ends.
        writer: ID of the entry VM that took over the shard, or "" if unknown.
    """

    until_ms: float
    writer: str


def shard_of(scope: str, identity_hash: str, shard_count: int) -> int:
    """Returns the shard of an identity."""
    key = identity.digest(scope.encode(), identity_hash.encode())
    return int(key, 16) % shard_count


class OwnedShards:
    """Starts and stops shard owners as membership changes.

    Attributes:
        owners: Running owners by shard.
        hold_downs: Hold-down periods of lost shards by shard.
        calls: Counts of platform calls by shard.
        takeovers: Number of takeovers started.
        shards_lost: Number of shards lost to another owner.
    """

    def __init__(
        self,
        platform: platform_api.Platform,
        membership: membership_api.MembershipView,
        clock: clock_api.Clock,
        rng: random.Random,
        options: Options,
    ) -> None:
        self.platform = platform
        self.membership = membership
        self.clock = clock
        self.rng = rng
        self.options = options
        self.owners: dict[int, owner_lib.ShardOwner] = {}
        self.hold_downs: dict[int, HoldDown] = {}
        self.calls: dict[int, fenced.CallCounts] = {}
        self.takeovers = 0
        self.shards_lost = 0
        self._tasks: anyio.abc.TaskGroup | None = None
        self._budgets = self._make_budgets(1 - SNAPSHOT_WRITE_SHARE)
        self._snapshot_budgets = self._make_budgets(SNAPSHOT_WRITE_SHARE)

    async def run(self) -> None:
        """Starts and stops owners until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                while True:
                    self._reconcile()
                    await self.clock.sleep_ms(RECONCILE_INTERVAL_MS)
            finally:
                self._tasks = None

    async def handle(
        self, source: str, message: peer_api.Message
    ) -> peer_api.Message | None:
        """Handles a claim protocol request from ``source``."""
        if not isinstance(message, messages.REQUESTS):
            return None
        if not 0 <= message.shard < self.options.shard_count:
            return messages.RefusedReply("no such shard", recorded=False)
        with anyio.move_on_after(HANDLER_TIMEOUT_MS / MS_PER_SECOND):
            return await self._serve(message)
        return messages.RefusedReply("the shard's log is slow", recorded=True)

    async def _serve(self, message: messages.Request) -> peer_api.Message:
        owner = self._local_owner(message.shard)
        if owner is None:
            return messages.MovedReply(self._redirect_target(message.shard))
        try:
            if isinstance(message, messages.ClaimRequest):
                result = await owner.claim(message.claim)
                return messages.ClaimReply(result)
            if isinstance(message, messages.CompleteRequest):
                await owner.complete(message.entry)
            else:
                await owner.release(message.entry)
        except owner_lib.MovedError as error:
            return messages.MovedReply(error.writer)
        except exceptions.ClaimError as error:
            return messages.RefusedReply(error.detail, recorded=False)
        return messages.RecordedReply()

    def _reconcile(self) -> None:
        for shard in range(self.options.shard_count):
            is_local = self.membership.owner(shard) == self.membership.self_id()
            if is_local:
                self._local_owner(shard)
            elif shard in self.owners:
                self.owners[shard].stop()

    def _local_owner(self, shard: int) -> owner_lib.ShardOwner | None:
        """Returns the local owner; starts it if this VM owns the shard."""
        owner = self.owners.get(shard)
        if owner is not None:
            return None if owner.closed else owner
        if self._tasks is None or self._in_hold_down(shard):
            return None
        if self.membership.owner(shard) != self.membership.self_id():
            return None
        owner = owner_lib.ShardOwner(
            shard,
            self.options.shard_count,
            self.membership.self_id(),
            self._store(shard, self._budgets),
            self._store(shard, self._snapshot_budgets),
        )
        self.owners[shard] = owner
        self.takeovers += 1
        self._tasks.start_soon(self._run_owner, owner)
        return owner

    def _make_budgets(self, share: float) -> dict[int, budget.WriteBudget]:
        count = self.options.shard_count
        rate_per_s = self.options.writes_per_s * share / count
        return {
            shard: budget.WriteBudget(rate_per_s, self.options.burst)
            for shard in range(count)
        }

    def _store(
        self, shard: int, budgets: dict[int, budget.WriteBudget]
    ) -> fenced.FencedStore:
        store = fenced.FencedStore(
            self.platform, self.clock, self.rng, budgets[shard]
        )
        store.calls = self.calls.setdefault(shard, store.calls)
        return store

    async def _run_owner(self, owner: owner_lib.ShardOwner) -> None:
        try:
            await owner.run()
        finally:
            del self.owners[owner.shard]
        if not owner.stopped:
            self.shards_lost += 1
            writer = owner.closed.writer if owner.closed else ""
            hold_down_ms = self.rng.uniform(MIN_HOLD_DOWN_MS, MAX_HOLD_DOWN_MS)
            until_ms = self.clock.now_ms() + hold_down_ms
            self.hold_downs[owner.shard] = HoldDown(until_ms, writer)

    def _in_hold_down(self, shard: int) -> bool:
        hold_down = self.hold_downs.get(shard)
        if hold_down is None:
            return False
        if self.clock.now_ms() < hold_down.until_ms:
            return True
        del self.hold_downs[shard]
        return False

    def _redirect_target(self, shard: int) -> str:
        if self._in_hold_down(shard):
            return self.hold_downs[shard].writer
        owner = self.membership.owner(shard)
        if owner is None or owner == self.membership.self_id():
            return ""
        return owner
