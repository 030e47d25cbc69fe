"""State of the simulated platform: keys, leases and the VM list."""

from __future__ import annotations

from collections.abc import Callable
import math

import attrs

from lovageyoke.errors import exceptions
from lovageyoke.store import api
from lovageyoke.store import rates

VM_LIST_LAG_MS = 2_000.0
MAX_KEY_BYTES = 512

Listener = Callable[[], None]


@attrs.define
class LeaseState:
    """A lease and the keys attached to it.

    Attributes:
        ttl_ms: Time to live after each renewal, in milliseconds.
        expires_ms: When it expires, in milliseconds.
        keys: Keys that are deleted when it expires.
    """

    ttl_ms: int
    expires_ms: float
    keys: set[str] = attrs.field(factory=set)


class PlatformStore:
    """In-memory state; does no I/O and takes the time as an argument.

    Attributes:
        records: Live records by key.
        leases: Live leases by id.
        counter: Call counter and rate limiter.
        vm_list_lag_ms: Delay before a change of the VM list becomes visible,
            in milliseconds.
    """

    def __init__(
        self,
        counter: rates.CallCounter | None = None,
        vm_list_lag_ms: float = VM_LIST_LAG_MS,
    ) -> None:
        self.records: dict[str, api.Record] = {}
        self.leases: dict[str, LeaseState] = {}
        self.counter = counter or rates.CallCounter()
        self.vm_list_lag_ms = vm_list_lag_ms
        self._vm_lists: list[tuple[float, tuple[api.Vm, ...]]] = []
        self._listeners: dict[str, list[Listener]] = {}
        self._lease_count = 0

    def get(self, key: str, now_ms: float) -> api.Record | None:
        """Returns the record of a key, or None if there is none."""
        self.expire(now_ms)
        return self.records.get(key)

    def create(
        self, key: str, value: bytes, lease_id: str | None, now_ms: float
    ) -> api.Record:
        """Creates a key.

        Raises:
            RevisionConflictError: The key exists, or the lease has expired.
            PlatformUnavailableError: The key or value is too large.
        """
        self.expire(now_ms)
        _check_sizes(key, value)
        if key in self.records:
            raise exceptions.RevisionConflictError(f"key {key!r} exists")
        if lease_id is not None:
            self._attach_to_lease(key, lease_id)
        return self._put(api.Record(key, value, 1))

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, now_ms: float
    ) -> api.Record:
        """Replaces a value if the key's revision is ``revision``.

        Raises:
            RevisionConflictError: The key is absent or has another revision.
            PlatformUnavailableError: The value is too large.
        """
        self.expire(now_ms)
        _check_sizes(key, value)
        self._require_revision(key, revision)
        return self._put(api.Record(key, value, revision + 1))

    def delete(self, key: str, revision: int, now_ms: float) -> None:
        """Deletes a key if its revision is ``revision``.

        Raises:
            RevisionConflictError: The key is absent or has another revision.
        """
        self.expire(now_ms)
        self._require_revision(key, revision)
        self._remove(key)

    def revision(self, key: str, now_ms: float) -> int:
        """Returns the revision of a key, 0 if it is absent."""
        record = self.get(key, now_ms)
        return record.revision if record else 0

    def grant_lease(self, ttl_ms: int, now_ms: float) -> api.Lease:
        """Returns a new lease of ``ttl_ms`` milliseconds."""
        self.expire(now_ms)
        self._lease_count += 1
        lease_id = f"lease-{self._lease_count}"
        self.leases[lease_id] = LeaseState(ttl_ms, now_ms + ttl_ms)
        return api.Lease(lease_id, ttl_ms)

    def renew_lease(self, lease_id: str, now_ms: float) -> bool:
        """Renews a lease; returns False if it has expired."""
        self.expire(now_ms)
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        lease.expires_ms = now_ms + lease.ttl_ms
        return True

    def next_expiry_ms(self) -> float:
        """Returns when the next lease expires; infinity without leases."""
        return min(
            (lease.expires_ms for lease in self.leases.values()),
            default=math.inf,
        )

    def expire(self, now_ms: float) -> None:
        """Removes expired leases and deletes their keys."""
        expired = [
            lease_id
            for lease_id, lease in self.leases.items()
            if lease.expires_ms <= now_ms
        ]
        for lease_id in expired:
            for key in sorted(self.leases.pop(lease_id).keys):
                self._remove(key)

    def set_vms(self, vms: tuple[api.Vm, ...], now_ms: float) -> None:
        """Sets the VM list; it becomes visible after ``vm_list_lag_ms``."""
        self._vm_lists.append((now_ms, vms))

    def list_vms(self, now_ms: float) -> tuple[api.Vm, ...]:
        """Returns the VM list as it was ``vm_list_lag_ms`` ago."""
        visible_until_ms = now_ms - self.vm_list_lag_ms
        visible = [
            index
            for index, (set_ms, _) in enumerate(self._vm_lists)
            if set_ms <= visible_until_ms
        ]
        if not visible:
            return self._vm_lists[0][1] if self._vm_lists else ()
        self._vm_lists = self._vm_lists[visible[-1] :]
        return self._vm_lists[0][1]

    def add_listener(self, key: str, listener: Listener) -> Callable[[], None]:
        """Calls ``listener`` at each change of a key.

        Returns:
            A function that removes the listener.
        """
        self._listeners.setdefault(key, []).append(listener)
        return lambda: self._remove_listener(key, listener)

    def _remove_listener(self, key: str, listener: Listener) -> None:
        listeners = self._listeners[key]
        listeners.remove(listener)
        if not listeners:
            del self._listeners[key]

    def _require_revision(self, key: str, revision: int) -> None:
        record = self.records.get(key)
        if record is None:
            raise exceptions.RevisionConflictError(f"key {key!r} is absent")
        if record.revision != revision:
            raise exceptions.RevisionConflictError(
                f"key {key!r} has revision {record.revision}, not {revision}"
            )

    def _attach_to_lease(self, key: str, lease_id: str) -> None:
        lease = self.leases.get(lease_id)
        if lease is None:
            raise exceptions.RevisionConflictError(
                f"lease {lease_id!r} has expired"
            )
        lease.keys.add(key)

    def _put(self, record: api.Record) -> api.Record:
        self.records[record.key] = record
        self._notify(record.key)
        return record

    def _remove(self, key: str) -> None:
        del self.records[key]
        for lease in self.leases.values():
            lease.keys.discard(key)
        self._notify(key)

    def _notify(self, key: str) -> None:
        for listener in tuple(self._listeners.get(key, ())):
            listener()


def _check_sizes(key: str, value: bytes) -> None:
    if len(key.encode()) > MAX_KEY_BYTES:
        raise exceptions.PlatformUnavailableError(
            f"key of {len(key)} characters exceeds {MAX_KEY_BYTES} bytes"
        )
    if len(value) > api.MAX_VALUE_BYTES:
        raise exceptions.PlatformUnavailableError(
            f"value of {len(value)} bytes exceeds {api.MAX_VALUE_BYTES}"
        )
