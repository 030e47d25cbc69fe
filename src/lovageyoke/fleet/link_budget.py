"""Share of a VM's network link that messages to peers may use.

What exceeds the link waits in the network, and everything that this process
sends later waits behind it: a collector that sends too much is silent for its
peers. So messages are made smaller and sent less often instead.
"""

from __future__ import annotations

import math

from lovageyoke.clock import api as clock_api

PEER_SHARE = 0.5  # Of the link's bandwidth; callers need the rest.
HEARTBEAT_SHARE = 0.75  # Of the above; other messages to peers need the rest.
# Less than half of the time after which a collector is replaced.
LONGEST_INTERVAL_MS = 200.0
ROOM_MS = 100.0  # Of messages that may be ahead of one that isn't a heartbeat.
BROADCAST_MS = 500.0  # Longest time on the link of a message to all peers.
HEADER_BYTES = 28  # Of IP and UDP, per datagram.
MS_PER_SECOND = 1_000.0


class LinkBudget:
    """Tells how much may be sent, and when.

    Attributes:
        clock: Source of time.
        bytes_per_s: What messages to peers may use, 0 if that is unlimited.
        free_ms: When all messages sent so far are within the budget.
    """

    def __init__(self, clock: clock_api.Clock, link_bytes_per_s: float) -> None:
        self.clock = clock
        self.bytes_per_s = PEER_SHARE * link_bytes_per_s
        self.free_ms = -math.inf

    def record(self, size: int) -> None:
        """Records a datagram of ``size`` bytes that is sent."""
        if self.bytes_per_s:
            start_ms = max(self.free_ms, self.clock.now_ms())
            self.free_ms = start_ms + self.link_ms(size, 1)

    def link_ms(self, size: int, recipients: int) -> float:
        """Returns the time that a message to some peers takes.

        Args:
            size: Bytes of the message.
            recipients: Number of peers that get it.
        """
        if not self.bytes_per_s:
            return 0.0
        total = (size + HEADER_BYTES) * recipients
        return MS_PER_SECOND * total / self.bytes_per_s

    def delay_ms(self) -> float:
        """Returns the time until the messages sent are within the budget."""
        return max(0.0, self.free_ms - self.clock.now_ms())

    def heartbeat_delay_ms(self) -> float:
        """Returns the time for which the next heartbeat should wait.

        Peers replace a collector that is silent, so the wait is bounded.
        """
        return min(self.delay_ms(), LONGEST_INTERVAL_MS)

    def has_room(self) -> bool:
        """Returns whether a message that isn't a heartbeat may be sent."""
        return self.delay_ms() <= ROOM_MS

    def allows_broadcast(self, size: int, recipients: int) -> bool:
        """Returns whether a message to all peers takes an acceptable time."""
        return self.link_ms(size, recipients) <= BROADCAST_MS

    def heartbeat_bytes(self, recipients: int) -> float:
        """Returns the size of a heartbeat that may be sent at any time.

        Args:
            recipients: Number of peers that get it.
        """
        if not self.bytes_per_s or not recipients:
            return math.inf
        share = HEARTBEAT_SHARE * LONGEST_INTERVAL_MS / MS_PER_SECOND
        return share * self.bytes_per_s / recipients - HEADER_BYTES
