"""Platform keys that are fenced against writes of earlier owners."""

from __future__ import annotations

import random

import attrs

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.idempotency import budget as budget_lib
from lovageyoke.idempotency import records
from lovageyoke.store import api as platform_api

MIN_BACKOFF_MS = 5.0
MAX_BACKOFF_MS = 500.0


class FencedError(exceptions.ClaimError):
    """Another owner has written the key.

    Attributes:
        record: The key's current record, or None if unknown or missing.
    """

    def __init__(self, record: platform_api.Record | None) -> None:
        super().__init__("another owner wrote to the shard's log")
        self.record = record


@attrs.define
class CallCounts:
    """Counts of platform calls.

    Attributes:
        reads: Reads.
        writes: Writes, including retries.
        unknown_outcomes: Writes whose reply was lost.
        failures: Calls that failed without effect.
    """

    reads: int = 0
    writes: int = 0
    unknown_outcomes: int = 0
    failures: int = 0


class FencedStore:
    """Reads and writes keys by revision; retries on outages and lost replies.

    A key is never deleted, so a write that names an old revision fails
    regardless of how long it was delayed.

    Attributes:
        platform: The platform's service.
        clock: The clock.
        rng: Source of write tokens and jitter.
        budget: Token bucket that is charged for each write and retry.
        calls: Counts of calls.
        failing_since_ms: When the platform began to fail, or None while it
            works.
    """

    def __init__(
        self,
        platform: platform_api.Platform,
        clock: clock_api.Clock,
        rng: random.Random,
        budget: budget_lib.WriteBudget,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.budget = budget
        self.calls = CallCounts()
        self.failing_since_ms: float | None = None

    def new_token(self) -> bytes:
        """Returns a random token that identifies one write."""
        return self.rng.randbytes(records.TOKEN_BYTES)

    async def read(self, key: str) -> platform_api.Record | None:
        """Returns a key's record; retries until the platform replies."""
        backoff_ms = MIN_BACKOFF_MS
        while True:
            self.calls.reads += 1
            try:
                record = await self.platform.get(key)
            except exceptions.PlatformError:
                backoff_ms = await self._back_off(backoff_ms)
                continue
            self.failing_since_ms = None
            return record

    async def write(self, key: str, value: bytes, revision: int) -> int:
        """Writes a key; retries until the outcome is known.

        Args:
            key: The key.
            value: The value; starts with a unique write token.
            revision: The expected revision; 0 to create the key.

        Returns:
            The new revision.

        Raises:
            FencedError: The key holds the value of another write.
        """
        backoff_ms = MIN_BACKOFF_MS
        while True:
            self.calls.writes += 1
            self.budget.spend(self.clock.now_ms())
            try:
                written = await self._write_once(key, value, revision)
            except exceptions.RevisionConflictError:
                return await self._resolve_conflict(key, value)
            except exceptions.PlatformOutcomeUnknownError:
                self.calls.unknown_outcomes += 1
                await self.clock.sleep_ms(MIN_BACKOFF_MS)
            except exceptions.PlatformError:
                backoff_ms = await self._back_off(backoff_ms)
            else:
                self.failing_since_ms = None
                return written.revision

    async def _write_once(
        self, key: str, value: bytes, revision: int
    ) -> platform_api.Record:
        if revision == 0:
            return await self.platform.create(key, value)
        return await self.platform.compare_and_swap(key, value, revision)

    async def _resolve_conflict(self, key: str, value: bytes) -> int:
        record = await self.read(key)
        if record is None:
            raise FencedError(None)
        if records.write_token_of(record.value) != records.write_token_of(
            value
        ):
            raise FencedError(record)
        return record.revision

    async def _back_off(self, backoff_ms: float) -> float:
        self.calls.failures += 1
        if self.failing_since_ms is None:
            self.failing_since_ms = self.clock.now_ms()
        jitter = 0.5 + self.rng.random()
        await self.clock.sleep_ms(backoff_ms * jitter)
        return min(MAX_BACKOFF_MS, backoff_ms * 2.0)
