"""Logs changes of upstreams and evacuations, and rejected entries."""

from __future__ import annotations

from collections.abc import Collection

from lovageyoke.observe import events
from lovageyoke.routing import model


class EntryLog:
    """Logs the entries that are in force, and those that are rejected.

    Attributes:
        log: The event log.
        evacuated: The evacuated failure domains that were logged last.
    """

    def __init__(self, log: events.EventLog) -> None:
        self.log = log
        self.evacuated: set[str] = set()

    def log_changes(
        self,
        source: str,
        revision: int,
        upstreams: Collection[model.Upstream],
        evacuated: set[str],
    ) -> None:
        """Logs the upstreams, and evacuations that have begun or ended.

        Args:
            source: Where the change comes from.
            revision: The store's revision up to which all changes are known.
            upstreams: All upstreams.
            evacuated: The failure domains that are being evacuated.
        """
        self.log.event(
            "upstreams",
            source=source,
            revision=revision,
            known=len(upstreams),
            draining=[each.upstream_id for each in upstreams if each.draining],
        )
        before, self.evacuated = self.evacuated, evacuated
        for domain in sorted(evacuated ^ before):
            begun = domain in evacuated
            self.log.event(
                "evacuation-begun" if begun else "evacuation-ended",
                domain=domain,
                source=source,
                revision=revision,
                upstreams=sum(
                    each.failure_domain == domain for each in upstreams
                ),
            )

    def log_rejected(self, detail: str) -> None:
        """Logs an invalid entry."""
        self.log.event("entry-rejected", detail=detail)
