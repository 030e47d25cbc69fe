"""Interface of the platform's key-value and VM service."""

from __future__ import annotations

import abc
import enum

import attrs

MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class Record:
    """A record of the key-value service.

    Attributes:
        key: The key.
        value: The value, at most ``MAX_VALUE_BYTES``.
        revision: Revision of the last write: 1 after creation, incremented by
            every write to the key.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Lease:
    """A lease granted by the platform.

    Attributes:
        lease_id: Lease identifier.
        ttl_ms: Time to live after a grant or renewal, in milliseconds.
    """

    lease_id: str
    ttl_ms: int


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """A VM in the platform's list, which is eventually consistent.

    Attributes:
        vm_id: VM identifier; for an entry VM, the entry id in its settings.
        address: IP address.
        state: Live or leaving.
    """

    vm_id: str
    address: str
    state: VmState


class Platform(abc.ABC):
    """Client of the platform's service.

    Each method makes one rate-limited call. All methods raise
    ``PlatformUnavailableError`` if the call provably had no effect. Writes
    raise ``PlatformOutcomeUnknownError`` if the reply was lost; the caller
    then reads the key to determine the outcome.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Record | None:
        """Returns the record of a key, or None if there is none."""

    @abc.abstractmethod
    async def create(
        self, key: str, value: bytes, lease_id: str | None = None
    ) -> Record:
        """Creates a key that must not exist.

        Args:
            key: The key.
            value: Its value.
            lease_id: The lease whose expiry deletes the key, if any.

        Raises:
            RevisionConflictError: The key exists.
        """

    @abc.abstractmethod
    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> Record:
        """Replaces the value of a key whose revision is ``revision``.

        Raises:
            RevisionConflictError: The key is absent or has another revision.
        """

    @abc.abstractmethod
    async def delete(self, key: str, revision: int) -> None:
        """Deletes a key whose revision is ``revision``.

        Raises:
            RevisionConflictError: The key is absent or has another revision.
        """

    @abc.abstractmethod
    async def watch(
        self, key: str, revision: int, timeout_ms: int
    ) -> Record | None:
        """Waits until the key's revision differs from ``revision``.

        Args:
            key: The key.
            revision: The revision already known; 0 for an absent key.
            timeout_ms: How long the service may wait for a change, in
                milliseconds.

        Returns:
            The changed record, or None if it is absent or the wait timed out.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Returns a new lease."""

    @abc.abstractmethod
    async def renew_lease(self, lease_id: str) -> bool:
        """Renews a lease; returns False if it has expired."""

    @abc.abstractmethod
    async def list_vms(self) -> tuple[Vm, ...]:
        """Returns the live and leaving VMs; the list may be out of date."""
