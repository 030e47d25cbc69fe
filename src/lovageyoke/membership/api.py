"""Interface of membership."""

from __future__ import annotations

import abc
import enum

import attrs

NO_SHARE_DIVISOR = 2**62
"""Divisor of an entry that must send no probes."""


class MemberState(enum.Enum):
    """State of an entry VM as this one knows it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class Member:
    """An entry VM.

    Attributes:
        entry_id: Identifier from its settings.
        incarnation: Grows with each start of its process.
        caller_address: Host and port for callers.
        peer_address: Host and port of its peer channel.
        failure_domain: Where it runs.
        state: Its state.
        region: The region of its failure domain.
        load: Its load in percent, as it last reported.
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
    """What the rest of an entry asks of membership."""

    @abc.abstractmethod
    def self_id(self) -> str:
        """Returns this entry's id."""

    @abc.abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Returns all members not known to be dead, this one included."""

    @abc.abstractmethod
    def owner(self, shard: int) -> str | None:
        """Returns the entry that should own a shard of the claim log."""

    @abc.abstractmethod
    def probe_divisor(self, now_ms: float) -> int:
        """Returns the number that this entry's probe share divides by.

        The sum of shares over the fleet never exceeds one at any moment.

        Returns:
            The divisor, which is ``NO_SHARE_DIVISOR`` when this entry must
            send no probes now. It is to be asked for before each probe.
        """
