"""What must hold of changes that operators confirm during a run."""

from __future__ import annotations

import attrs

from lovageyoke.soak import invariants


@attrs.frozen
class PlanConfirmed(invariants.Event):
    """An operator was told that a plan is confirmed.

    Attributes:
        service: Name of the service.
        base_version: Version that the plan started from.
        plan_id: Id of the plan.
    """

    service: str
    base_version: int
    plan_id: str


@attrs.frozen
class VersionInForce(invariants.Event):
    """An entry has a version of a service in force.

    Attributes:
        entry: The incarnation of the entry.
        service: Name of the service.
        version: Its version.
    """

    entry: str
    service: str
    version: int


@attrs.frozen
class TrailRead(invariants.Event):
    """The audit trail was read while nothing was being confirmed.

    Attributes:
        plan_ids: Plan ids by service and version.
    """

    plan_ids: dict[tuple[str, int], str]


class VersionsNeverGoBack(invariants.Invariant):
    """No entry puts an older version in force after a newer one."""

    name = "versions never go back"

    def __init__(self) -> None:
        super().__init__()
        self.newest: dict[tuple[str, str], int] = {}

    def observe(self, event: invariants.Event) -> None:
        """Checks a version against the entry's newest."""
        if isinstance(event, VersionInForce):
            key = (event.entry, event.service)
            self.require(event.version >= self.newest.get(key, 0), event)
            self.newest[key] = event.version


class OnePlanPerBase(invariants.Invariant):
    """At most one plan is confirmed for a base version."""

    name = "at most one plan wins per base version"

    def __init__(self) -> None:
        super().__init__()
        self.winners: dict[tuple[str, int], str] = {}

    def observe(self, event: invariants.Event) -> None:
        """Checks that no other plan won the same base version."""
        if isinstance(event, PlanConfirmed):
            key = (event.service, event.base_version)
            winner = self.winners.setdefault(key, event.plan_id)
            self.require(winner == event.plan_id, event)


class ChangesAudited(invariants.Invariant):
    """Every confirmed change is in the audit trail."""

    name = "every confirmed change has its audit record"

    def __init__(self) -> None:
        super().__init__()
        self.confirmed: dict[tuple[str, int], str] = {}

    def observe(self, event: invariants.Event) -> None:
        """Checks the whole trail against what was confirmed."""
        if isinstance(event, PlanConfirmed):
            version = event.base_version + 1
            self.confirmed[(event.service, version)] = event.plan_id
        elif isinstance(event, TrailRead):
            for key, plan_id in self.confirmed.items():
                self.require(event.plan_ids.get(key) == plan_id, event)


CHANGE_INVARIANTS: tuple[type[invariants.Invariant], ...] = (
    VersionsNeverGoBack,
    OnePlanPerBase,
    ChangesAudited,
)
