"""Platform client whose writes go on when their caller does not."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Generic
from typing import TypeVar

import anyio
import anyio.abc
import attrs

from lovageyoke.errors import exceptions
from lovageyoke.soak import gate as gate_lib
from lovageyoke.soak import trace as trace_lib
from lovageyoke.store import api

Result = TypeVar("Result")
CALL_TIMEOUT_MS = 300.0
MS_PER_SECOND = 1_000.0


@attrs.define
class Delays:
    """How long a call takes to reach the platform.

    Attributes:
        min_ms: Least delay.
        max_ms: Greatest delay.
        late_share: Share of the writes that take effect much later.
        late_ms: Greatest delay of those.
    """

    min_ms: float = 1.0
    max_ms: float = 5.0
    late_share: float = 0.0
    late_ms: float = 5_000.0


class _Box(Generic[Result]):
    """Holds the result of a call."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.result: Result | None = None
        self.error: exceptions.PlatformError | None = None


class DetachedPlatform(api.Platform):
    """Carries calls in tasks that outlive the entry which made them.

    Attributes:
        inner: The platform that the calls reach.
        gate: The entry's gate.
        delays: Delays in force; shared with other entries.
    """

    def __init__(
        self,
        inner: api.Platform,
        gate: gate_lib.Gate,
        delays: Delays,
        *,
        rng: random.Random,
        tasks: anyio.abc.TaskGroup,
        trace: trace_lib.Trace,
    ) -> None:
        self.inner = inner
        self.gate = gate
        self.delays = delays
        self._rng = rng
        self._tasks = tasks
        self._trace = trace

    async def get(self, key: str) -> api.Record | None:
        """Returns the record of a key, or None if there is none."""
        return await self._call("get", key, lambda: self.inner.get(key), False)

    async def create(
        self, key: str, value: bytes, lease_id: str | None = None
    ) -> api.Record:
        """Creates a key that must not exist."""
        return await self._call(
            "create",
            key,
            lambda: self.inner.create(key, value, lease_id),
            True,
        )

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> api.Record:
        """Replaces the value of a key whose revision is ``revision``."""
        return await self._call(
            "compare_and_swap",
            key,
            lambda: self.inner.compare_and_swap(key, value, revision),
            True,
        )

    async def delete(self, key: str, revision: int) -> None:
        """Deletes a key whose revision is ``revision``."""
        await self._call(
            "delete", key, lambda: self.inner.delete(key, revision), True
        )

    async def watch(
        self, key: str, revision: int, timeout_ms: int
    ) -> api.Record | None:
        """Waits until the key's revision differs from ``revision``."""
        await self.gate.wait_until_open()
        record = await self.inner.watch(key, revision, timeout_ms)
        await self.gate.wait_until_open()
        return record

    async def grant_lease(self, ttl_ms: int) -> api.Lease:
        """Returns a new lease."""
        return await self._call(
            "grant_lease", "", lambda: self.inner.grant_lease(ttl_ms), True
        )

    async def renew_lease(self, lease_id: str) -> bool:
        """Renews a lease; returns False if it has lapsed."""
        return await self._call(
            "renew_lease",
            lease_id,
            lambda: self.inner.renew_lease(lease_id),
            True,
        )

    async def list_vms(self) -> tuple[api.Vm, ...]:
        """Returns the lagging list of live and leaving VMs."""
        return await self._call("list_vms", "", self.inner.list_vms, False)

    async def _call(
        self,
        name: str,
        key: str,
        call: Callable[[], Awaitable[Result]],
        writes: bool,
    ) -> Result:
        await self.gate.wait_until_open()
        delays = self.delays
        delay_ms = self._rng.uniform(delays.min_ms, delays.max_ms)
        if writes and self._rng.random() < delays.late_share:
            delay_ms = self._rng.uniform(CALL_TIMEOUT_MS, delays.late_ms)
            self._trace.fault("late write", key)
        box: _Box[Result] = _Box()
        self._tasks.start_soon(self._carry, name, key, call, delay_ms, box)
        with anyio.move_on_after(CALL_TIMEOUT_MS / MS_PER_SECOND):
            await box.done.wait()
        await self.gate.wait_until_open()
        if box.error is not None:
            raise box.error
        if not box.done.is_set():
            if writes:
                raise exceptions.PlatformOutcomeUnknownError("no answer")
            raise exceptions.PlatformUnavailableError("no answer")
        return box.result  # type: ignore[return-value]

    async def _carry(
        self,
        name: str,
        key: str,
        call: Callable[[], Awaitable[Result]],
        delay_ms: float,
        box: _Box[Result],
    ) -> None:
        await anyio.sleep(delay_ms / MS_PER_SECOND)
        try:
            box.result = await call()
        except exceptions.PlatformError as error:
            box.error = error
        self._trace.step(name, key, type(box.error).__name__)
        box.done.set()
