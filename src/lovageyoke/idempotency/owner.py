"""Task that owns a log shard and commits its records."""

from __future__ import annotations

import anyio
from loguru import logger

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.idempotency import api
from lovageyoke.idempotency import batch as batch_lib
from lovageyoke.idempotency import fenced
from lovageyoke.idempotency import open_log
from lovageyoke.idempotency import records

FAIL_FAST_AFTER_MS = 1_000.0
COMPLETION_RESERVE_SHARE = 0.5
MAX_COMPLETION_DELAY_MS = 100.0
MIN_WAIT_MS = 1e-3
MS_PER_SECOND = 1_000.0


class MovedError(exceptions.ClaimError):
    """This entry VM no longer owns the shard.

    Attributes:
        writer: ID of the entry VM that took over, or "" if unknown.
    """

    def __init__(self, writer: str = "") -> None:
        super().__init__("the shard has moved to another entry")
        self.writer = writer


class ShardOwner:
    """Commits batches one at a time; new records join the next batch.

    Attributes:
        shard: The shard.
        shard_count: Number of shards of the log.
        entry_id: ID of this entry VM.
        store: Access to the platform.
        snapshot_store: Access to the platform under the snapshot budget.
        clock: The clock.
        log: The open log, or None before the takeover.
        closed: Why the owner accepts no more records, or None.
        commits: Number of committed segments.
        stopped: Whether ``stop`` was called.
    """

    def __init__(
        self,
        shard: int,
        shard_count: int,
        entry_id: str,
        store: fenced.FencedStore,
        snapshot_store: fenced.FencedStore,
    ) -> None:
        self.shard = shard
        self.shard_count = shard_count
        self.entry_id = entry_id
        self.store = store
        self.snapshot_store = snapshot_store
        self.clock: clock_api.Clock = store.clock
        self.log: open_log.OpenLog | None = None
        self.closed: MovedError | None = None
        self.commits = 0
        self.stopped = False
        self._ready = anyio.Event()
        self._changed = anyio.Event()
        self._next_batch = batch_lib.Batch()
        self._committing_batch: batch_lib.Batch | None = None
        self._first_completion_ms = 0.0
        self._log_time_base_ms = 0
        self._clock_base_ms = 0.0

    async def run(self) -> None:
        """Takes over the shard and serves it until it is fenced or stopped."""
        try:
            self.log = await open_log.open_log(
                self.shard,
                self.shard_count,
                self.entry_id,
                self.store,
                self.snapshot_store,
            )
            self._log_time_base_ms = self.log.state.log_time_ms
            self._clock_base_ms = self.clock.now_ms()
            self._ready.set()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._checkpoint_loop, self.log)
                await self._commit_loop(self.log)
                tasks.cancel_scope.cancel()
        except* fenced.FencedError as group:
            self._close(MovedError(_fencing_writer(group)))
        except* exceptions.LovageyokeError as group:
            logger.error(
                "owner task of shard {} failed: {}",
                self.shard,
                group.exceptions,
            )
        finally:
            self._close(MovedError())

    def stop(self) -> None:
        """Stops the owner once the pending records are committed."""
        self.stopped = True
        if self.closed is None:
            self.closed = MovedError()
        self._notify()

    async def claim(self, claim: api.Claim) -> api.ClaimResult:
        """Returns the verdict on a claim; GRANTED is durable.

        Raises:
            MovedError: Another entry VM owns the shard.
            ClaimError: The claim can't be recorded.
        """
        log = await self._wait_until_open()
        result = log.state.lookup(claim)
        if result is not None:
            return result
        pending = self._pending_claim(claim)
        if pending is None:
            self._check_accepting()
            self._next_batch.add_claim(claim)
            self._notify()
            pending = self._next_batch
        elif isinstance(pending, api.ClaimResult):
            return pending
        await pending.wait()
        result = log.state.lookup(claim)
        if result is None:
            raise exceptions.ClaimError("the claim was not recorded")
        return result

    async def complete(self, completion: records.Completion) -> None:
        """Records a completion; returns when it is durable.

        Raises:
            ClaimError: It can't be recorded now.
        """
        await self._wait_until_open()
        self._check_accepting()
        batch = self._next_batch
        if batch.is_empty():
            self._first_completion_ms = self.clock.now_ms()
        batch.add_completion(completion)
        self._notify()
        await batch.wait()

    async def release(self, release: records.Release) -> None:
        """Records a release; returns when it is durable.

        Raises:
            ClaimError: It can't be recorded now.
        """
        await self._wait_until_open()
        self._check_accepting()
        batch = self._next_batch
        batch.add_release(release)
        self._notify()
        await batch.wait()

    async def _wait_until_open(self) -> open_log.OpenLog:
        if not self._ready.is_set():
            self._check_accepting()
        await self._ready.wait()
        if self.log is None or self.closed is not None:
            raise self.closed or MovedError()
        return self.log

    def _check_accepting(self) -> None:
        if self.closed is not None:
            raise self.closed
        since_ms = self.store.failing_since_ms
        if since_ms is None:
            return
        if self.clock.now_ms() - since_ms > FAIL_FAST_AFTER_MS:
            raise exceptions.ClaimError("the platform is unavailable")

    def _pending_claim(
        self, claim: api.Claim
    ) -> batch_lib.Batch | api.ClaimResult | None:
        """Returns the batch with this attempt, or the verdict on its claim."""
        key = (claim.scope, claim.identity)
        attempt = (*key, claim.attempt_id)
        for batch in (self._committing_batch, self._next_batch):
            if batch is None:
                continue
            if attempt in batch.releases:
                raise exceptions.ClaimError("the attempt was released")
            other = batch.claims.get(key)
            if other is None:
                continue
            if other.attempt_id == claim.attempt_id:
                return batch
            if other.fingerprint != claim.fingerprint:
                return api.ClaimResult(api.Verdict.FINGERPRINT_DIFFERS)
            return api.ClaimResult(api.Verdict.IN_PROGRESS)
        return None

    async def _commit_loop(self, log: open_log.OpenLog) -> None:
        while True:
            changed = self._changed
            if self._next_batch.is_empty():
                if self.closed is not None:
                    return
                await changed.wait()
                continue
            delay_ms = self._commit_delay_ms()
            if delay_ms > MIN_WAIT_MS:
                with anyio.move_on_after(delay_ms / MS_PER_SECOND):
                    await changed.wait()
                continue
            if not log.has_room():
                await changed.wait()
                continue
            await self._commit(log)

    def _commit_delay_ms(self) -> float:
        """Returns the delay before the next commit.

        Completions alone are delayed so that claims can join their batch.
        """
        budget = self.store.budget
        now_ms = self.clock.now_ms()
        if self._next_batch.is_urgent() or self.closed is not None:
            return budget.delay_ms(now_ms)
        reserve = budget.burst * COMPLETION_RESERVE_SHARE
        due_ms = self._first_completion_ms + MAX_COMPLETION_DELAY_MS
        return max(due_ms - now_ms, budget.delay_ms(now_ms, reserve))

    async def _commit(self, log: open_log.OpenLog) -> None:
        batch = self._next_batch
        self._next_batch = batch_lib.Batch()
        self._committing_batch = batch
        await log.append(
            records.Segment(
                number=log.state.applied + 1,
                epoch=log.head.epoch,
                writer=self.entry_id,
                log_time_ms=self._log_time_ms(),
                claims=tuple(batch.claims.values()),
                completions=tuple(batch.completions.values()),
                releases=tuple(batch.releases.values()),
            )
        )
        self.commits += 1
        self._committing_batch = None
        batch.finish()
        self._notify()

    def _log_time_ms(self) -> int:
        elapsed_ms = self.clock.now_ms() - self._clock_base_ms
        return self._log_time_base_ms + int(elapsed_ms)

    async def _checkpoint_loop(self, log: open_log.OpenLog) -> None:
        while True:
            changed = self._changed
            if log.needs_checkpoint():
                await log.checkpoint()
                self._notify()
                await log.merge()
            else:
                await changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _close(self, error: MovedError) -> None:
        if self.closed is None:
            self.closed = error
        for batch in (self._committing_batch, self._next_batch):
            if batch is not None:
                batch.finish(error)
        self._ready.set()


def _fencing_writer(group: BaseExceptionGroup[fenced.FencedError]) -> str:
    """Returns the writer of the record that fenced this owner, or ""."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    record = error.record if isinstance(error, fenced.FencedError) else None
    if record is None:
        return ""
    try:
        return records.decode(record.value, records.Segment).writer
    except exceptions.DecodeError:
        return _head_writer(record.value)


def _head_writer(data: bytes) -> str:
    try:
        return records.decode(data, records.Head).writer
    except exceptions.DecodeError:
        return ""
