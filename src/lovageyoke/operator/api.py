"""Interface of the status that the operator API reports."""

from __future__ import annotations

import abc

import attrs

from lovageyoke.addresses import answer


@attrs.frozen
class MemberStatus:
    """State of a member of the fleet as known to this entry VM.

    Attributes:
        entry_id: The id of the member.
        state: Its membership state.
        failure_domain: Its failure domain.
        current: Whether it reports the configuration of this entry VM; None
            if it has not reported any.
    """

    entry_id: str
    state: str
    failure_domain: str
    current: bool | None = None


@attrs.frozen
class EntryStatus:
    """State of an entry VM.

    Attributes:
        entry_id: The id of the entry VM.
        ready: Whether it has a complete configuration.
        services: Number of services in force.
        platform_failing: Whether the last call to the platform failed.
        entries: Number of known entry VMs.
        entries_current: Number of entry VMs that report the configuration in
            force here.
        members: The known entry VMs.
    """

    entry_id: str
    ready: bool
    services: int
    platform_failing: bool
    entries: int
    entries_current: int
    members: tuple[MemberStatus, ...]


class StatusProvider(abc.ABC):
    """Reports the state of this entry VM."""

    @abc.abstractmethod
    def status(self) -> EntryStatus:
        """Returns the state of this entry VM."""

    @abc.abstractmethod
    def addresses(self) -> answer.AddressAnswer:
        """Returns the current address answer for callers."""
