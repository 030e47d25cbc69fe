"""Public interface of membership."""

from __future__ import annotations

import abc
import enum

import attrs

NO_SHARE_DIVISOR = 2**62
"""Probe divisor of an entry VM that must not send probes."""


class MemberState(enum.Enum):
    """State of an entry VM as seen by the local one."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class Member:
    """A member of the fleet: one entry VM.

    Attributes:
        entry_id: Identifier from its settings.
        incarnation: Number of the process, greater after each restart.
        caller_address: Host and port that callers connect to.
        peer_address: Host and port of its peer channel.
        failure_domain: Failure domain that it runs in.
        state: State as seen by the local entry VM.
        region: The region of its failure domain.
        load: Last reported load, in percent.
    """

    entry_id: str
    incarnation: int
    caller_address: str
    peer_address: str
    failure_domain: str
    state: MemberState = MemberState.ALIVE
    region: str = ""
    load: int = 0


class MembershipView(abc.ABC):
    """Read-only view of membership for the other packages."""

    @abc.abstractmethod
    def self_id(self) -> str:
        """Returns the id of the local entry VM."""

    @abc.abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Returns all members not known to be dead, including the local one."""

    @abc.abstractmethod
    def owner(self, shard: int) -> str | None:
        """Returns the id of the entry VM that should own a claim log shard."""

    @abc.abstractmethod
    def probe_divisor(self, now_ms: float) -> int:
        """Returns the divisor of the local share of each probe budget.

        An entry VM may use one ``divisor``-th of a budget. The shares of all
        entry VMs never sum to more than one at any moment.

        Returns:
            The divisor, or ``NO_SHARE_DIVISOR`` while the entry VM must not
            send probes. Callers read it before each probe.
        """
