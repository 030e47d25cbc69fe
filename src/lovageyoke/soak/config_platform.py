"""A platform that checks writes and lets some take effect late."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import TypeVar

from lovageyoke.config import document
from lovageyoke.config import groups
from lovageyoke.errors import exceptions
from lovageyoke.soak import config_invariants
from lovageyoke.store import api
from lovageyoke.store import fake
from lovageyoke.store import rates
from lovageyoke.store import store

LATE_SHARE = 0.1
MAX_LATE_MS = 1_500.0
DOCUMENT_PREFIX = "config/"

Result = TypeVar("Result")


class CheckedStore(store.PlatformStore):
    """Checks each write of a group's document.

    Attributes:
        writes: Writes of documents that were checked.
        late: Writes still on their way, with the time of their effect.
        generator: Decides which writes are late.
    """

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.writes = 0
        self.late: list[tuple[float, Callable[[float], object]]] = []
        self.generator = random.Random(seed)  # noqa: S311

    def expire(self, now_ms: float) -> None:
        """Applies the late writes that are due, then lapsed leases."""
        due = [each for each in self.late if each[0] <= now_ms]
        self.late = [each for each in self.late if each[0] > now_ms]
        for _, effect in due:
            try:
                effect(now_ms)
            except exceptions.RevisionConflictError:
                continue
        super().expire(now_ms)

    def create(
        self, key: str, value: bytes, lease_id: str | None, now_ms: float
    ) -> api.Record:
        """Creates a key and checks the write."""
        record = super().create(key, value, lease_id, now_ms)
        if key.startswith(DOCUMENT_PREFIX):
            self._check(document.Document(), record)
        return record

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, now_ms: float
    ) -> api.Record:
        """Replaces a value and checks the write."""
        self.expire(now_ms)
        old = self.records.get(key)
        record = super().compare_and_swap(key, value, revision, now_ms)
        if old is not None and key.startswith(DOCUMENT_PREFIX):
            self._check(document.decode_document(old.value), record)
        return record

    def _check(self, before: document.Document, record: api.Record) -> None:
        self.writes += 1
        group = int(record.key.removeprefix(DOCUMENT_PREFIX))
        segment = self.records.get(groups.segment_key(group, before.segments))
        config_invariants.check_write(
            before,
            document.decode_document(record.value),
            document.decode_segment(segment.value) if segment else None,
        )


class LatePlatform(fake.FakePlatform):
    """Client whose writes may take effect after their outcome is unknown."""

    async def _write(
        self, kind: rates.CallKind, effect: Callable[[float], Result]
    ) -> Result:
        checked = self.store
        if not isinstance(checked, CheckedStore):
            raise TypeError("a late platform needs a CheckedStore")
        if checked.generator.random() < LATE_SHARE:
            await self._admit(kind)
            delay_ms = checked.generator.uniform(0, MAX_LATE_MS)
            checked.late.append((self.clock.now_ms() + delay_ms, effect))
            raise exceptions.PlatformOutcomeUnknownError("no answer")
        return await super()._write(kind, effect)
