"""Logs when the messages to peers use much of the VM's network link."""

from __future__ import annotations

from lovageyoke.fleet import link as fleet_link
from lovageyoke.observe import events

BUSY_SHARE = 0.5  # Of the link's bandwidth; callers need the rest.
MS_PER_SECOND = 1_000.0


class LinkUsage:
    """Compares what is exchanged with peers with the link's bandwidth.

    Attributes:
        link: Sends and receives the messages.
        bytes_per_s: Bandwidth of the VM's link, 0 if unknown.
        log: The event log.
        sent_bytes: Bytes sent by audience at the last check.
        received_bytes: Bytes received at the last check.
        checked_ms: When that was.
    """

    def __init__(
        self,
        link: fleet_link.PeerLink,
        bytes_per_s: float,
        log: events.EventLog,
        now_ms: float,
    ) -> None:
        self.link = link
        self.bytes_per_s = bytes_per_s
        self.log = log
        self.sent_bytes: dict[str, int] = {}
        self.received_bytes = 0
        self.checked_ms = now_ms

    def check(self, now_ms: float) -> None:
        """Logs the bytes since the last check if they are many.

        Args:
            now_ms: The time.
        """
        sent = {
            audience: count - self.sent_bytes.get(audience, 0)
            for audience, count in self.link.sent_bytes.items()
        }
        received = self.link.received_bytes - self.received_bytes
        since_ms = now_ms - self.checked_ms
        self.sent_bytes = dict(self.link.sent_bytes)
        self.received_bytes = self.link.received_bytes
        self.checked_ms = now_ms
        carried = self.bytes_per_s * since_ms / MS_PER_SECOND
        busiest = max(sum(sent.values()), received)
        backlog_bytes = self.link.backlog_bytes
        if busiest <= BUSY_SHARE * carried and not backlog_bytes:
            return
        self.log.event(
            "link-busy",
            sent_bytes={name: count for name, count in sent.items() if count},
            received_bytes=received,
            link_bytes=round(carried),
            backlog_bytes=backlog_bytes,
            since_ms=round(since_ms),
        )
