"""Changes of the store that a replica knows to exist but has not received."""

from __future__ import annotations

from lovageyoke.fleet import messages
from lovageyoke.observe import events


class MissedChanges:
    """Since when changes are missing, and up to which revision.

    Attributes:
        log: The event log.
        revision: Changes up to this revision are known to exist; the newest of
            them are missing while it exceeds the replica's revision.
        since_ms: Since when changes are missing; None if none are.
    """

    def __init__(self, log: events.EventLog) -> None:
        self.log = log
        self.revision = 0
        self.since_ms: float | None = None

    def begin(
        self, heartbeat: messages.Heartbeat, known_revision: int, now_ms: float
    ) -> None:
        """Records that changes before those of a heartbeat are missing.

        Args:
            heartbeat: The heartbeat.
            known_revision: The replica's revision.
            now_ms: The time.
        """
        self.revision = max(self.revision, heartbeat.since_revision)
        if self.since_ms is not None:
            return
        self.since_ms = now_ms
        self.log.event(
            "changes-missed",
            revision=known_revision,
            since=heartbeat.since_revision,
            peer=heartbeat.sender.peer.node_id,
            peer_revision=heartbeat.revision,
        )

    def end(self, source: str, known_revision: int, now_ms: float) -> None:
        """Records that changes arrived; nothing happens if some still miss.

        Args:
            source: Where they come from.
            known_revision: The replica's revision.
            now_ms: The time.
        """
        if self.since_ms is None or known_revision < self.revision:
            return
        self.log.event(
            "changes-complete",
            source=source,
            revision=known_revision,
            after_ms=round(now_ms - self.since_ms),
        )
        self.since_ms = None

    def restart(self, now_ms: float) -> None:
        """Counts what is still missing anew, as the source answers."""
        if self.since_ms is not None:
            self.since_ms = now_ms
