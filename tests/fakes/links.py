"""Network links of VMs: a bandwidth and a bounded queue each way."""

from __future__ import annotations

QUEUE_MS = 10_000.0  # A datagram that would wait longer is lost.
HEADER_BYTES = 28  # Of IP and UDP, per datagram.
MS_PER_SECOND = 1_000.0


class Link:
    """One direction of a VM's link.

    Attributes:
        bytes_per_s: Its bandwidth, 0 if it is unlimited.
        free_ms: When it has sent all that waits.
        lost: Datagrams that found the queue full.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_ms = 0.0
        self.lost = 0

    def carry(self, size: int, now_ms: float) -> float | None:
        """Returns when a datagram is through, None if it is lost.

        Args:
            size: Bytes of the datagram.
            now_ms: When it reaches the link.
        """
        if not self.bytes_per_s:
            return now_ms
        start_ms = max(now_ms, self.free_ms)
        if start_ms - now_ms > QUEUE_MS:
            self.lost += 1
            return None
        took_ms = MS_PER_SECOND * (size + HEADER_BYTES) / self.bytes_per_s
        self.free_ms = start_ms + took_ms
        return self.free_ms
