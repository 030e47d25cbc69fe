"""In-process implementation of the platform, with fault injection."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import anyio

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.store import api
from lovageyoke.store import faults
from lovageyoke.store import rates
from lovageyoke.store import store

Result = TypeVar("Result")
Kind = rates.CallKind


class FakePlatform(api.Platform):
    """Client of an in-process ``PlatformStore``.

    Several clients may share a store; each has its own fault injector.

    Attributes:
        store: State shared by the clients.
        clock: Source of time.
        injector: Fault injector of this client.
    """

    def __init__(
        self,
        platform_store: store.PlatformStore,
        clock: clock_api.Clock,
        injector: faults.FaultInjector | None = None,
    ) -> None:
        self.store = platform_store
        self.clock = clock
        self.injector = injector or faults.FaultInjector()
        self._frozen_vms: tuple[api.Vm, ...] | None = None

    async def get(self, key: str) -> api.Record | None:
        """Returns the record of a key, or None if there is none."""
        await self._admit(Kind.GET)
        return self.store.get(key, self.clock.now_ms())

    async def create(
        self, key: str, value: bytes, lease_id: str | None = None
    ) -> api.Record:
        """Creates a key that must not exist."""
        return await self._write(
            Kind.CREATE,
            lambda now_ms: self.store.create(key, value, lease_id, now_ms),
        )

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> api.Record:
        """Replaces the value of a key whose revision is ``revision``."""
        return await self._write(
            Kind.COMPARE_AND_SWAP,
            lambda now_ms: self.store.compare_and_swap(
                key, value, revision, now_ms
            ),
        )

    async def delete(self, key: str, revision: int) -> None:
        """Deletes a key whose revision is ``revision``."""
        await self._write(
            Kind.DELETE,
            lambda now_ms: self.store.delete(key, revision, now_ms),
        )

    async def watch(
        self, key: str, revision: int, timeout_ms: int
    ) -> api.Record | None:
        """Waits until the key's revision differs from ``revision``."""
        await self._admit(Kind.WATCH)
        due_ms = self.clock.now_ms() + timeout_ms
        while True:
            if self._watch_sees_change(key, revision):
                return self.store.get(key, self.clock.now_ms())
            if self.clock.now_ms() >= due_ms:
                return None
            await self._wait_for_change(key, due_ms)

    async def grant_lease(self, ttl_ms: int) -> api.Lease:
        """Returns a new lease."""
        return await self._write(
            Kind.GRANT_LEASE,
            lambda now_ms: self.store.grant_lease(ttl_ms, now_ms),
        )

    async def renew_lease(self, lease_id: str) -> bool:
        """Renews a lease; returns False if it has expired."""
        return await self._write(
            Kind.RENEW_LEASE,
            lambda now_ms: self.store.renew_lease(lease_id, now_ms),
        )

    async def list_vms(self) -> tuple[api.Vm, ...]:
        """Returns the live and leaving VMs; the list may be out of date."""
        await self._admit(Kind.LIST_VMS)
        if not self.injector.faults.frozen_vm_list:
            self._frozen_vms = None
            return self.store.list_vms(self.clock.now_ms())
        if self._frozen_vms is None:
            self._frozen_vms = self.store.list_vms(self.clock.now_ms())
        return self._frozen_vms

    async def _admit(self, kind: rates.CallKind) -> None:
        await self.clock.sleep_ms(self.injector.delay_ms())
        if self.injector.rejects_call():
            raise exceptions.PlatformUnavailableError(
                "the platform is in an outage"
            )
        if not self.store.counter.admit(kind, self.clock.now_ms()):
            raise exceptions.PlatformUnavailableError(
                f"rate limit of {kind.value} calls exceeded",
            )

    async def _write(
        self, kind: rates.CallKind, effect: Callable[[float], Result]
    ) -> Result:
        await self._admit(kind)
        if self.injector.drops_request():
            raise exceptions.PlatformOutcomeUnknownError("no answer")
        result = effect(self.clock.now_ms())
        if self.injector.drops_reply():
            raise exceptions.PlatformOutcomeUnknownError("no answer")
        return result

    def _watch_sees_change(self, key: str, revision: int) -> bool:
        if self.injector.faults.dead_watches:
            return False
        return self.store.revision(key, self.clock.now_ms()) != revision

    async def _wait_for_change(self, key: str, due_ms: float) -> None:
        changed = anyio.Event()
        remove_listener = self.store.add_listener(key, changed.set)
        wake_ms = min(due_ms, self.store.next_expiry_ms())
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._sleep_then_set, wake_ms, changed)
                await changed.wait()
                tasks.cancel_scope.cancel()
        finally:
            remove_listener()

    async def _sleep_then_set(self, wake_ms: float, event: anyio.Event) -> None:
        await self.clock.sleep_ms(wake_ms - self.clock.now_ms())
        event.set()
