"""Plans: proposed changes that an operator reviews and confirms."""

from __future__ import annotations

import hashlib
import json
from typing import Any

import attrs
import cattrs

from lovageyoke.config import difference
from lovageyoke.config import document
from lovageyoke.config import intent
from lovageyoke.config import model
from lovageyoke.config import risk
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.schema import structure

MAX_PLAN_BYTES = 4_000_000
PLAN_ID_CHARACTERS = 32


@attrs.frozen
class Plan:
    """A proposed change of one service.

    The id is a digest of the base version, the action and the content, so
    that every entry VM computes the same id for the same proposal.

    Attributes:
        name: The service.
        base_version: Version of the service that the plan applies to.
        action: Kind of change.
        service: The proposed content, or None to remove the service.
        plan_id: Id of the plan.
        changes: Fields that would change.
        risks: Descriptions of what the operator should review.
        faults: Reasons why the service can't work; applying a plan with
            faults requires force.
    """

    name: str
    base_version: int
    action: document.Action
    service: model.Service | None
    plan_id: str
    changes: tuple[document.FieldChange, ...]
    risks: tuple[str, ...] = ()
    faults: tuple[str, ...] = ()


CONVERTER = cattrs.Converter()


def make(
    desired: intent.Intent, current: document.ServiceState, undo: bool = False
) -> Plan:
    """Returns the plan that changes a service's current state to an intent.

    Raises:
        IntentError: There is nothing to change.
    """
    changes = difference.changes(current.service, desired.service)
    if not changes:
        problem = (
            f"{desired.name}: version {current.version} already matches the "
            "intent"
        )
        raise exceptions.IntentError((problem,))
    action = _action(current.service, desired.service, undo)
    return Plan(
        name=desired.name,
        base_version=current.version,
        action=action,
        service=desired.service,
        plan_id=_digest(desired, current.version, action),
        changes=changes,
        risks=risk.risks(current.service, desired.service),
        faults=risk.faults(desired.service),
    )


def make_undo(name: str, current: document.ServiceState) -> Plan:
    """Returns the plan that reverts the last change.

    Raises:
        OperatorError: Kind NOT_FOUND when the service never existed.
    """
    if current.version == 0:
        raise exceptions.OperatorError(
            f"there is no service {name!r}", kinds.ErrorKind.NOT_FOUND
        )
    return make(intent.Intent(name, current.previous), current, undo=True)


def recompute(plan: Plan, current: document.ServiceState) -> Plan:
    """Recomputes a plan from the current state of its service.

    Raises:
        IntentError: The plan's id does not match its content.
    """
    undo = plan.action is document.Action.UNDO
    fresh = make(intent.Intent(plan.name, plan.service), current, undo)
    if fresh.plan_id != plan.plan_id:
        problem = (
            "plan_id: does not match the plan's content; create a new plan"
        )
        raise exceptions.IntentError((problem,))
    return fresh


def encode(plan: Plan) -> bytes:
    """Encodes a plan as JSON for a plan file."""
    return json.dumps(to_table(plan), indent=2).encode()


def to_table(plan: Plan) -> dict[str, Any]:
    """Returns a plan as a JSON-compatible dictionary."""
    table: dict[str, Any] = CONVERTER.unstructure(plan)
    return table


def decode(data: bytes) -> Plan:
    """Decodes the content of a plan file.

    Raises:
        IntentError: The data is not a valid plan.
    """
    if len(data) > MAX_PLAN_BYTES:
        problem = f"the plan exceeds {MAX_PLAN_BYTES} bytes"
        raise exceptions.IntentError((problem,))
    try:
        plan = structure.structure(json.loads(data), Plan)
    except exceptions.ValidationError as error:
        raise exceptions.IntentError(error.problems) from error
    except (ValueError, TypeError, RecursionError) as error:
        problem = f"the plan is not JSON: {error}"
        raise exceptions.IntentError((problem,)) from error
    _check_content(plan)
    return plan


def _check_content(plan: Plan) -> None:
    if plan.service is None:
        return
    problems = intent.cross_field_problems(plan.service)
    if plan.service.name != plan.name:
        problems = (*problems, f"service.name: is not {plan.name!r}")
    if problems:
        raise exceptions.IntentError(problems)


def _action(
    before: model.Service | None, after: model.Service | None, undo: bool
) -> document.Action:
    if undo:
        return document.Action.UNDO
    if before is None:
        return document.Action.CREATE
    if after is None:
        return document.Action.REMOVE
    return document.Action.CHANGE


def _digest(
    desired: intent.Intent, base_version: int, action: document.Action
) -> str:
    content = CONVERTER.unstructure(desired)
    text = json.dumps([content, base_version, action.value], sort_keys=True)
    digest = hashlib.sha256(text.encode()).hexdigest()
    return digest[:PLAN_ID_CHARACTERS]
