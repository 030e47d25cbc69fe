"""What a process knows of another one, and of the whole fleet."""

from __future__ import annotations

import math

import attrs

from lovageyoke.fleet import messages


@attrs.define
class Member:
    """Another process.

    Attributes:
        state: Its newest known state.
        known_ms: When it was first known, or known again after it was gone.
        heard_ms: When its last heartbeat was received directly.
        collector_heard_ms: When its last heartbeat as a collector was received.
        alive_ms: When it was last known to be alive.
        id_hash: Hash of its id, which ranks processes for duties.
        waiting: Processes with queued requests, by service, from its last
            heartbeat.
    """

    state: messages.MemberState
    known_ms: float
    heard_ms: float = -math.inf
    collector_heard_ms: float = -math.inf
    alive_ms: float = -math.inf
    id_hash: int = 0
    waiting: tuple[tuple[str, int], ...] = ()

    @property
    def peer(self) -> messages.Peer:
        """How to reach it."""
        return self.state.peer


@attrs.frozen
class View:
    """A cached summary of the live processes.

    Attributes:
        own: The state of this process.
        live: The other processes that are alive.
        working: Processes that share duties, this one included, by failure
            domain.
        size: Number of processes that may be sending requests now.
        until_ms: When the view expires.
    """

    own: messages.MemberState
    live: list[Member]
    working: dict[str, list[messages.MemberState]]
    size: int
    until_ms: float

    @property
    def workers(self) -> int:
        """How many processes share duties."""
        return sum(len(each) for each in self.working.values())
