"""Interface of what the operator API reports of its entry VM."""

from __future__ import annotations

import abc

import attrs

from lovageyoke.addresses import answer


@attrs.frozen
class MemberStatus:
    """An entry VM as this one knows it.

    Attributes:
        entry_id: Its id.
        state: Its state.
        failure_domain: Where it is.
        current: Whether it reports this entry's configuration; None when it
            has reported none.
    """

    entry_id: str
    state: str
    failure_domain: str
    current: bool | None = None


@attrs.frozen
class EntryStatus:
    """State of an entry VM.

    Attributes:
        entry_id: Its id.
        ready: Whether it knows a whole configuration.
        services: Number of services in force.
        platform_failing: Whether its last platform call failed.
        entries: Number of entries known.
        entries_current: How many report the configuration in force here.
        members: The entries known.
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
        """Returns the state of this entry."""

    @abc.abstractmethod
    def addresses(self) -> answer.AddressAnswer:
        """Returns what callers are told now."""
