"""Reads groups from the platform, subject to a rate limit."""

from __future__ import annotations

import random

import attrs
from loguru import logger

from lovageyoke.clock import api as clock_api
from lovageyoke.config import document
from lovageyoke.config import groups
from lovageyoke.config import updates
from lovageyoke.errors import exceptions
from lovageyoke.store import api
from lovageyoke.store import rates

CALLS_PER_S = 40.0
BURST_CALLS = 100.0
WATCH_TIMEOUT_MS = 30_000
FIRST_RETRY_MS = 100.0
MAX_RETRY_MS = 2_000.0
MAX_DOUBLINGS = 10
MS_PER_SECOND = 1_000


@attrs.define
class Backoff:
    """Exponential backoff with full jitter.

    Attributes:
        failures: Consecutive failures.
    """

    failures: int = 0

    def next_ms(self, generator: random.Random) -> float:
        """Counts a failure and returns the delay before the next attempt."""
        doublings = min(self.failures, MAX_DOUBLINGS)
        self.failures += 1
        ceiling_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2**doublings)
        return generator.uniform(0.0, ceiling_ms)

    def reset(self) -> None:
        """Records a success."""
        self.failures = 0


class GroupSource:
    """Reads and watches the documents of the groups.

    Attributes:
        platform: Client of the platform.
        revisions: Latest revision seen of each group, 0 for none.
        failing: Whether the last call failed.
        calls: Number of calls made.
    """

    def __init__(
        self,
        platform: api.Platform,
        clock: clock_api.Clock,
        calls_per_s: float = CALLS_PER_S,
    ) -> None:
        self.platform = platform
        self.revisions = [0] * groups.GROUP_COUNT
        self.failing = False
        self.calls = 0
        self._clock = clock
        self._bucket = rates.TokenBucket(calls_per_s, BURST_CALLS)

    async def read(self, group: int) -> updates.GroupUpdate | None:
        """Reads a group; returns None if it has not changed.

        Raises:
            PlatformError: The platform call failed.
        """
        await self._acquire_call()
        with _FailureTracker(self):
            record = await self.platform.get(groups.document_key(group))
        return self._update(group, record)

    async def watch(self, group: int) -> updates.GroupUpdate | None:
        """Waits for a group to change; returns None on timeout.

        Raises:
            PlatformError: The platform call failed.
        """
        await self._acquire_call()
        revision = self.revisions[group]
        with _FailureTracker(self):
            record = await self.platform.watch(
                groups.document_key(group), revision, WATCH_TIMEOUT_MS
            )
        return self._update(group, record)

    async def _acquire_call(self) -> None:
        while not self._bucket.take(self._clock.now_ms()):
            await self._clock.sleep_ms(MS_PER_SECOND / self._bucket.rate_per_s)
        self.calls += 1

    def _update(
        self, group: int, record: api.Record | None
    ) -> updates.GroupUpdate | None:
        if record is None or record.revision <= self.revisions[group]:
            return None
        self.revisions[group] = record.revision
        try:
            current = document.decode_document(record.value)
        except exceptions.DecodeError as error:
            logger.error(
                "ignoring malformed revision {} of {}: {}",
                record.revision,
                record.key,
                error.detail,
            )
            return None
        return updates.from_document(group, current)


class _FailureTracker:
    """Context manager that records whether a platform call failed."""

    def __init__(self, source: GroupSource) -> None:
        self.source = source

    def __enter__(self) -> None:
        """Does nothing."""

    def __exit__(self, error_type: type | None, *_: object) -> None:
        """Records the result of the call."""
        failed = error_type is not None
        if not failed or issubclass(
            error_type or object, exceptions.PlatformError
        ):
            self.source.failing = failed
