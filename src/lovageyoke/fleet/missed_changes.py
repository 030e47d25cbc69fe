"""Changes of the store that a replica knows to exist but has not received."""

from __future__ import annotations

from lovageyoke.fleet import messages
from lovageyoke.observe import events
from lovageyoke.store import positions


class MissedChanges:
    """Since when changes are missing, and up to which position.

    Attributes:
        log: The event log.
        position: Changes up to this position are known to exist; the newest of
            them are missing while it exceeds the replica's position.
        since_ms: Since when changes are missing; None if none are.
    """

    def __init__(self, log: events.EventLog) -> None:
        self.log = log
        self.position = positions.START
        self.since_ms: float | None = None

    def begin(
        self,
        heartbeat: messages.Heartbeat,
        known: positions.Position,
        now_ms: float,
    ) -> None:
        """Records that changes before those of a heartbeat are missing.

        Args:
            heartbeat: The heartbeat.
            known: The replica's position.
            now_ms: The time.
        """
        self.position = max(self.position, heartbeat.since)
        if self.since_ms is not None:
            return
        self.since_ms = now_ms
        self.log.event(
            "changes-missed",
            era=known.era,
            revision=known.revision,
            since=heartbeat.since.revision,
            peer=heartbeat.sender.peer.node_id,
            peer_era=heartbeat.position.era,
            peer_revision=heartbeat.position.revision,
        )

    def end(
        self, source: str, known: positions.Position, now_ms: float
    ) -> None:
        """Records that changes arrived; nothing happens if some still miss.

        Args:
            source: Where they come from.
            known: The replica's position.
            now_ms: The time.
        """
        if self.since_ms is None or known < self.position:
            return
        self.log.event(
            "changes-complete",
            source=source,
            era=known.era,
            revision=known.revision,
            after_ms=round(now_ms - self.since_ms),
        )
        self.since_ms = None

    def restart(self, now_ms: float) -> None:
        """Counts what is still missing anew, as the source answers."""
        if self.since_ms is not None:
            self.since_ms = now_ms
