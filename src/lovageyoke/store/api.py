"""Interface of the platform's service."""

from __future__ import annotations

import abc
import enum

import attrs

MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class Record:
    """One key of the key-value service.

    Attributes:
        key: The key.
        value: The value, at most ``MAX_VALUE_BYTES``.
        revision: Revision of the last write; it grows with every write to the
            key, and is 1 after creation.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Lease:
    """A lease granted by the platform.

    Attributes:
        lease_id: Its identifier.
        ttl_ms: Time to live in milliseconds after a grant or renewal.
    """

    lease_id: str
    ttl_ms: int


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """A VM in the platform's list, which lags.

    Attributes:
        vm_id: Its identifier; an entry VM's is the entry id of its settings.
        address: IP number.
        state: Live or leaving.
    """

    vm_id: str
    address: str
    state: VmState


class Platform(abc.ABC):
    """Client of the platform's service.

    Each method is one counted call. All raise ``PlatformUnavailableError``
    when the call provably had no effect. Writes raise
    ``PlatformOutcomeUnknownError`` when the answer was lost, and the caller
    settles that by reading the key back.
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
            lease_id: The lease that the key ends with, if any.

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
            timeout_ms: How long the service may hold the call.

        Returns:
            The changed record, or None when nothing changed in time.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Returns a new lease."""

    @abc.abstractmethod
    async def renew_lease(self, lease_id: str) -> bool:
        """Renews a lease; returns False if it has lapsed."""

    @abc.abstractmethod
    async def list_vms(self) -> tuple[Vm, ...]:
        """Returns the lagging list of live and leaving VMs."""
