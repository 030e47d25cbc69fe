"""A shard's log, opened for appending by its owner."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

import anyio
import attrs

from lovageyoke.errors import exceptions
from lovageyoke.idempotency import fenced
from lovageyoke.idempotency import log_state
from lovageyoke.idempotency import records

MERGED_RUNS = 8
CHECKPOINT_SEGMENTS = records.RING_SLOTS // 2


@attrs.define
class OpenLog:
    """An owner's handle on its shard's log.

    Attributes:
        shard: The shard.
        store: Access to the platform.
        snapshot_store: Access to the platform under the snapshot budget.
        state: State after the last applied segment.
        head: The head as last written.
        head_token: Write token of that head.
        head_revision: Revision of the head's key.
        slot_revisions: Revisions of the ring slots.
    """

    shard: int
    store: fenced.FencedStore
    snapshot_store: fenced.FencedStore
    state: log_state.ShardState
    head: records.Head
    head_token: bytes
    head_revision: int
    slot_revisions: list[int]

    def has_room(self) -> bool:
        """Returns whether the next ring slot is free or in a snapshot."""
        return self.state.applied + 1 - records.RING_SLOTS <= self.head.covered

    def needs_checkpoint(self) -> bool:
        """Returns whether a new snapshot is due."""
        return self.state.applied - self.head.covered >= CHECKPOINT_SEGMENTS

    async def append(self, segment: records.Segment) -> None:
        """Writes the next segment and applies it.

        Raises:
            FencedError: Another owner has taken over.
        """
        if not self.has_room():
            raise ValueError(
                "the ring slot holds a segment that no snapshot covers"
            )
        slot = segment.number % records.RING_SLOTS
        self.slot_revisions[slot] = await self.store.write(
            records.segment_key(self.shard, segment.number),
            records.encode(self.store.new_token(), segment),
            self.slot_revisions[slot],
        )
        self.state.apply(segment)

    async def checkpoint(self) -> None:
        """Writes a snapshot so that older segments may be overwritten.

        Raises:
            FencedError: Another owner has taken over.
        """
        covered = self.state.applied
        log_time_ms = self.state.log_time_ms
        changed = self.state.take_changed()
        kept = tuple(
            ref for ref in self.head.runs if ref.expires_ms > log_time_ms
        )
        added = await self._write_runs(changed, 0)
        await self._write_head(
            attrs.evolve(
                self.head,
                covered=covered,
                log_time_ms=log_time_ms,
                runs=kept + added,
            )
        )

    async def merge(self) -> None:
        """Merges the newest ``MERGED_RUNS`` runs if all are of one tier.

        Raises:
            FencedError: Another owner has taken over.
        """
        runs = self.head.runs
        merged = runs[-MERGED_RUNS:]
        tiers = {ref.tier for ref in merged}
        tier = merged[-1].tier if merged else records.TOP_TIER
        if len(merged) < MERGED_RUNS or len(tiers) > 1:
            return
        if tier >= records.TOP_TIER:
            return
        identities: dict[records.IdentityKey, records.IdentityRecord] = {}
        for ref in merged:
            run = await read_run(self, ref)
            identities.update(
                ((each.scope, each.identity), each) for each in run.records
            )
        added = await self._write_runs(
            [
                each
                for each in identities.values()
                if each.expires_ms > self.head.log_time_ms
            ],
            tier + 1,
        )
        kept = runs[:-MERGED_RUNS]
        await self._write_head(attrs.evolve(self.head, runs=kept + added))

    async def _write_head(self, head: records.Head) -> None:
        token = self.snapshot_store.new_token()
        self.head_revision = await self.snapshot_store.write(
            records.head_key(self.shard),
            records.encode(token, head),
            self.head_revision,
        )
        self.head = head
        self.head_token = token

    async def _write_runs(
        self, identities: list[records.IdentityRecord], tier: int
    ) -> tuple[records.RunRef, ...]:
        used = {ref.slot for ref in self.head.runs}
        free = (slot for slot in range(records.RUN_SLOTS) if slot not in used)
        refs = []
        for chunk in _chunks(identities):
            slot = next(free, None)
            if slot is None:
                raise exceptions.ClaimError("the snapshot has no free slot")
            token = await self._write_run(slot, records.Run(chunk))
            size_bytes = sum(records.record_bytes(each) for each in chunk)
            if size_bytes > records.MAX_RUN_BYTES // 2:
                tier = records.TOP_TIER
            expires_ms = max(each.expires_ms for each in chunk)
            refs.append(records.RunRef(slot, token, tier, expires_ms))
        return tuple(refs)

    async def _write_run(self, slot: int, run: records.Run) -> bytes:
        """Writes a run slot that the head doesn't reference.

        The head is read after the slot's revision. If the head is unchanged,
        that revision predates any later owner, so the write can't overwrite
        a run of a later owner.
        """
        key = records.run_key(self.shard, slot)
        token = self.snapshot_store.new_token()
        value = records.encode(token, run)
        while True:
            previous = await self.snapshot_store.read(key)
            await self._check_head()
            revision = previous.revision if previous else 0
            await self._wait_for_budget()
            try:
                await self.snapshot_store.write(key, value, revision)
            except fenced.FencedError:
                continue
            return token

    async def _check_head(self) -> None:
        record = await self.snapshot_store.read(records.head_key(self.shard))
        if record is None:
            raise fenced.FencedError(None)
        if records.write_token_of(record.value) != self.head_token:
            raise fenced.FencedError(record)

    async def _wait_for_budget(self) -> None:
        now_ms = self.snapshot_store.clock.now_ms()
        await self.snapshot_store.clock.sleep_ms(
            self.snapshot_store.budget.delay_ms(now_ms)
        )


async def open_log(
    shard: int,
    shard_count: int,
    entry_id: str,
    store: fenced.FencedStore,
    snapshot_store: fenced.FencedStore,
) -> OpenLog:
    """Takes over a shard: fences earlier owners, then loads its state.

    Raises:
        FencedError: Another entry VM is taking over or has taken over.
        ClaimError: The log was created with a different shard count.
    """
    log = await _fence_head(shard, shard_count, entry_id, store)
    log.snapshot_store = snapshot_store
    segments = await _load(log)
    while True:
        _apply_loaded(log, segments)
        if not log.has_room():
            # With a full ring no earlier owner can append, so all segments
            # are known.
            await log.checkpoint()
        segment = records.Segment(
            number=log.state.applied + 1,
            epoch=log.head.epoch,
            writer=entry_id,
            log_time_ms=log.state.log_time_ms,
        )
        try:
            await log.append(segment)
        except fenced.FencedError as error:
            _apply_conflicting(log, error)
        else:
            return log


async def read_run(log: OpenLog, ref: records.RunRef) -> records.Run:
    """Returns a run of the snapshot.

    Raises:
        FencedError: Another owner has replaced the snapshot.
    """
    found = await log.store.read(records.run_key(log.shard, ref.slot))
    if found is None or records.write_token_of(found.value) != ref.token:
        raise fenced.FencedError(found)
    return records.decode(found.value, records.Run)


async def _fence_head(
    shard: int, shard_count: int, entry_id: str, store: fenced.FencedStore
) -> OpenLog:
    key = records.head_key(shard)
    found = await store.read(key)
    head = records.Head(0, entry_id, shard_count)
    if found is not None:
        head = records.decode(found.value, records.Head)
    if head.shard_count != shard_count:
        raise exceptions.ClaimError(
            f"the claim log has {head.shard_count} shards, not {shard_count}"
        )
    head = attrs.evolve(head, epoch=head.epoch + 1, writer=entry_id)
    token = store.new_token()
    revision = await store.write(
        key, records.encode(token, head), found.revision if found else 0
    )
    return OpenLog(
        shard=shard,
        store=store,
        snapshot_store=store,
        state=log_state.ShardState(),
        head=head,
        head_token=token,
        head_revision=revision,
        slot_revisions=[0] * records.RING_SLOTS,
    )


async def _load(log: OpenLog) -> dict[int, records.Segment]:
    """Loads the snapshot and returns the ring's segments by number."""
    refs = log.head.runs
    runs: dict[int, records.Run] = {}
    segments: dict[int, records.Segment] = {}

    async def load_run(position: int, ref: records.RunRef) -> None:
        runs[position] = await read_run(log, ref)

    async def read_slot(slot: int) -> None:
        found = await log.store.read(records.segment_key(log.shard, slot))
        if found is None:
            return
        log.slot_revisions[slot] = found.revision
        segment = records.decode(found.value, records.Segment)
        segments[segment.number] = segment

    async with anyio.create_task_group() as tasks:
        for position, ref in enumerate(refs):
            tasks.start_soon(load_run, position, ref)
        for slot in range(records.RING_SLOTS):
            tasks.start_soon(read_slot, slot)
    log.state.load(log.head, (runs[each] for each in range(len(refs))))
    return segments


def _apply_loaded(log: OpenLog, segments: dict[int, records.Segment]) -> None:
    """Applies the segments that directly follow the applied ones.

    Slots are read at different times, so a slot that was read late may hold a
    segment whose predecessor was not yet written when its slot was read. That
    slot's revision is already known, so appending without first applying the
    segment would overwrite it.

    Raises:
        FencedError: A later owner has appended; this one must not append.
    """
    while (segment := segments.get(log.state.applied + 1)) is not None:
        if segment.epoch > log.head.epoch:
            raise fenced.FencedError(None)
        log.state.apply(segment)


def _apply_conflicting(log: OpenLog, error: fenced.FencedError) -> None:
    """Applies a segment that an earlier owner appended concurrently.

    Raises:
        FencedError: The conflicting write is of a later owner or unknown.
    """
    if error.record is None:
        raise error
    segment = records.decode(error.record.value, records.Segment)
    expected = log.state.applied + 1
    if segment.number != expected or segment.epoch > log.head.epoch:
        raise error
    log.slot_revisions[expected % records.RING_SLOTS] = error.record.revision
    log.state.apply(segment)


def _chunks(
    identities: Iterable[records.IdentityRecord],
) -> Iterator[tuple[records.IdentityRecord, ...]]:
    chunk: list[records.IdentityRecord] = []
    size_bytes = 0
    for identity in identities:
        size_bytes += records.record_bytes(identity)
        if chunk and size_bytes > records.MAX_RUN_BYTES:
            yield tuple(chunk)
            chunk = []
            size_bytes = records.record_bytes(identity)
        chunk.append(identity)
    if chunk:
        yield tuple(chunk)
