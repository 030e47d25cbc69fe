"""Logs changes of upstreams and evacuations, and rejected entries."""

from __future__ import annotations

from collections.abc import Collection

from lovageyoke.observe import events
from lovageyoke.routing import model
from lovageyoke.store import positions

MAX_DESCRIBED = 10  # Upstreams that a log line names.


class EntryLog:
    """Logs the entries that are in force, and those that are rejected.

    Attributes:
        log: The event log.
        evacuated: The evacuated failure domains that were logged last.
        logged: Sequence numbers of the upstreams that were logged last, by
            key of their lifetime.
    """

    def __init__(self, log: events.EventLog) -> None:
        self.log = log
        self.evacuated: set[str] = set()
        self.logged: dict[tuple[str, int], int] = {}

    def log_changes(
        self,
        source: str,
        position: positions.Position,
        upstreams: Collection[model.Upstream],
        evacuated: set[str],
    ) -> None:
        """Logs the upstreams, and evacuations that have begun or ended.

        Args:
            source: Where the change comes from.
            position: The store's position up to which all changes are known.
            upstreams: All upstreams.
            evacuated: The failure domains that are being evacuated.
        """
        logged = {each.key: each.sequence for each in upstreams}
        removed = self.logged.keys() - logged.keys()
        self.log.event(
            "upstreams",
            source=source,
            era=position.era,
            revision=position.revision,
            known=len(upstreams),
            draining=[each.upstream_id for each in upstreams if each.draining],
            added=_described(logged, logged.keys() - self.logged.keys()),
            removed=_described(self.logged, removed),
        )
        self.logged = logged
        before, self.evacuated = self.evacuated, evacuated
        for domain in sorted(evacuated ^ before):
            begun = domain in evacuated
            self.log.event(
                "evacuation-begun" if begun else "evacuation-ended",
                domain=domain,
                source=source,
                era=position.era,
                revision=position.revision,
                upstreams=sum(
                    each.failure_domain == domain for each in upstreams
                ),
            )

    def log_rejected(self, detail: str) -> None:
        """Logs an invalid entry."""
        self.log.event("entry-rejected", detail=detail)

    def log_late_write(self, upstream: model.Upstream) -> None:
        """Logs a late write that came after the removal of an entry."""
        self.log.event(
            "entry-doubtful",
            upstream=upstream.upstream_id,
            started_ms=upstream.started_ms,
            sequence=upstream.sequence,
            draining=upstream.draining,
        )

    def log_confirmed(self, upstream: model.Upstream) -> None:
        """Logs that an entry was confirmed, as it has stayed."""
        self.log.event(
            "entry-confirmed",
            upstream=upstream.upstream_id,
            started_ms=upstream.started_ms,
            sequence=upstream.sequence,
        )


def _described(
    sequences: dict[tuple[str, int], int], keys: Collection[tuple[str, int]]
) -> list[str]:
    """Returns a few upstreams as ``ID/START/SEQUENCE``."""
    return [
        f"{key[0]}/{key[1]}/{sequences[key]}"
        for key in sorted(keys)[:MAX_DESCRIBED]
    ]
