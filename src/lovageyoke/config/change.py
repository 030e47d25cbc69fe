"""Applies a confirmed plan to a group's document; does no I/O."""

from __future__ import annotations

import attrs

from lovageyoke.config import document
from lovageyoke.config import plan as plans


@attrs.frozen
class Confirmation:
    """Operator, time and options of a confirmation.

    Attributes:
        operator: Name of the operator.
        wall_ms: Milliseconds since the Unix epoch.
        force: Whether to apply a plan that has faults.
    """

    operator: str
    wall_ms: int
    force: bool = False


def apply(
    current: document.Document,
    plan: plans.Plan,
    confirmation: Confirmation,
) -> document.Document:
    """Returns the document with a plan and its audit record applied.

    Args:
        current: The document, in which the service has the plan's base
            version.
        plan: A plan computed from ``current``.
        confirmation: Details of the confirmation.
    """
    old = current.service_state(plan.name)
    sequence = current.sequence + 1
    service_state = document.ServiceState(
        version=old.version + 1,
        sequence=sequence,
        service=plan.service,
        previous=old.service,
    )
    record = _audit_record(old, plan, confirmation)
    return attrs.evolve(
        current,
        sequence=sequence,
        entries={**current.entries, plan.name: service_state},
        records=(*current.records, record),
    )


def find_record(
    records: tuple[document.AuditRecord, ...], service: str, version: int
) -> document.AuditRecord | None:
    """Returns the record of the change that created a version, or None."""
    for record in reversed(records):
        if record.service == service and record.version == version:
            return record
    return None


def _audit_record(
    old: document.ServiceState, plan: plans.Plan, confirmation: Confirmation
) -> document.AuditRecord:
    owner = plan.service or old.service
    return document.AuditRecord(
        service=plan.name,
        team=owner.team if owner else "",
        version=old.version + 1,
        action=plan.action,
        plan_id=plan.plan_id,
        operator=confirmation.operator,
        wall_ms=confirmation.wall_ms,
        changes=plan.changes,
        forced=bool(plan.faults),
    )
