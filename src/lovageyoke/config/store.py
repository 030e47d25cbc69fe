"""Plans and confirms changes on the platform."""

from __future__ import annotations

from collections.abc import Callable
import random

import attrs

from lovageyoke.clock import api as clock_api
from lovageyoke.config import archive
from lovageyoke.config import change
from lovageyoke.config import document
from lovageyoke.config import groups
from lovageyoke.config import intent
from lovageyoke.config import model
from lovageyoke.config import plan as plans
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.store import api

MAX_ATTEMPTS = 12
FIRST_RETRY_MS = 5.0
MAX_RETRY_MS = 500.0
MAX_SEARCHED_SEGMENTS = 16

Guard = Callable[[model.Service | None], None]
"""Raises OperatorError if access to a service's content is not allowed."""


@attrs.frozen
class GroupState:
    """A group's document and its revision, 0 if the document is absent."""

    group: int
    document: document.Document
    revision: int


@attrs.frozen
class Confirmed:
    """The result of a confirmation.

    Attributes:
        record: The audit record of the change.
        state: The group's document with the change, or a later revision.
        repeated: Whether the plan was already confirmed.
    """

    record: document.AuditRecord
    state: GroupState
    repeated: bool


class ConfigStore:
    """The configuration stored on the platform.

    Attributes:
        platform: Client of the platform.
        clock: Source of time.
    """

    def __init__(
        self,
        platform: api.Platform,
        clock: clock_api.Clock,
        generator: random.Random | None = None,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self._random = generator or random.Random()  # noqa: S311

    async def read_group(self, group: int) -> GroupState:
        """Returns the document of a group.

        Raises:
            PlatformUnavailableError: The platform is unavailable.
            DecodeError: The value is not a document.
        """
        record = await self.platform.get(groups.document_key(group))
        if record is None:
            return GroupState(group, document.Document(), 0)
        current = document.decode_document(record.value)
        return GroupState(group, current, record.revision)

    async def plan(
        self, desired: intent.Intent, guard: Guard | None = None
    ) -> plans.Plan:
        """Returns the plan that applies an intent to the current state.

        Args:
            desired: The intent.
            guard: Checks access to the current service.

        Raises:
            IntentError: There is nothing to change.
            PlatformUnavailableError: The platform is unavailable.
        """
        state = await self.read_group(groups.group_of(desired.name))
        service_state = state.document.service_state(desired.name)
        if guard is not None:
            guard(service_state.service)
        return plans.make(desired, service_state)

    async def undo(self, name: str, guard: Guard | None = None) -> plans.Plan:
        """Returns the plan that undoes the last change of a service.

        Args:
            name: The service.
            guard: Checks access to the current service.

        Raises:
            OperatorError: Kind NOT_FOUND when there is no such service.
            PlatformUnavailableError: The platform is unavailable.
        """
        state = await self.read_group(groups.group_of(name))
        service_state = state.document.service_state(name)
        if guard is not None:
            guard(service_state.service)
        return plans.make_undo(name, service_state)

    async def confirm(
        self,
        plan: plans.Plan,
        operator: str,
        force: bool = False,
        guard: Guard | None = None,
    ) -> Confirmed:
        """Applies a plan; idempotent.

        Args:
            plan: The plan.
            operator: Name of the operator, for the audit record.
            force: Whether to apply a plan that has faults.
            guard: Checks access to the current service.

        Raises:
            IntentError: The plan has faults, or its id does not match.
            OperatorError: Kind PLAN_CONFLICT when the service has changed
                since the plan was made; this plan changed nothing.
            PlatformUnavailableError: The platform is unavailable; nothing was
                changed.
            PlatformOutcomeUnknownError: The plan may have been applied;
                confirming it again resolves this.
        """
        confirmation = change.Confirmation(
            operator, self.clock.wall_ms(), force
        )
        attempt = _ConfirmationAttempt(self.platform, plan, confirmation, guard)
        for number in range(MAX_ATTEMPTS):
            confirmed = await attempt.run()
            if confirmed is not None:
                return confirmed
            await self._back_off(number)
        raise attempt.failure()

    async def _back_off(self, number: int) -> None:
        ceiling_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2**number)
        await self.clock.sleep_ms(self._random.uniform(0, ceiling_ms))


class _ConfirmationAttempt:
    """Attempts to confirm one plan.

    Attributes:
        pending_revision: Expected revision of a write whose outcome is
            unknown; the write can't take effect once the key has another
            revision.
    """

    def __init__(
        self,
        platform: api.Platform,
        plan: plans.Plan,
        confirmation: change.Confirmation,
        guard: Guard | None,
    ) -> None:
        self.platform = platform
        self.plan = plan
        self.confirmation = confirmation
        self.guard = guard
        self.group = groups.group_of(plan.name)
        self.pending_revision: int | None = None
        self._last_error: exceptions.PlatformError | None = None

    async def run(self) -> Confirmed | None:
        """Makes one attempt; returns None if it should be retried."""
        try:
            state = await self._read()
            if self.guard is not None:
                self.guard(state.document.service_state(self.plan.name).service)
            confirmed = await self._find_earlier_confirmation(state)
            return confirmed or await self._write(state)
        except exceptions.RevisionConflictError as error:
            self._last_error = error
        except exceptions.PlatformUnavailableError as error:
            self._last_error = error
        except exceptions.PlatformOutcomeUnknownError as error:
            self._last_error = error
        return None

    def failure(self) -> exceptions.PlatformError:
        """Returns the error to raise once attempts are exhausted."""
        detail = str(self._last_error)
        if self.pending_revision is not None:
            return exceptions.PlatformOutcomeUnknownError(detail)
        return exceptions.PlatformUnavailableError(detail)

    async def _read(self) -> GroupState:
        record = await self.platform.get(groups.document_key(self.group))
        revision = record.revision if record else 0
        if revision != self.pending_revision:
            self.pending_revision = None
        if record is None:
            return GroupState(self.group, document.Document(), 0)
        current = document.decode_document(record.value)
        return GroupState(self.group, current, revision)

    async def _find_earlier_confirmation(
        self, state: GroupState
    ) -> Confirmed | None:
        service_state = state.document.service_state(self.plan.name)
        if service_state.version == self.plan.base_version:
            return None
        if service_state.version < self.plan.base_version:
            raise _conflict(self.plan, service_state.version, None)
        made = await self._find_record(
            state, self.plan.name, self.plan.base_version + 1
        )
        if made is not None and made.plan_id == self.plan.plan_id:
            return Confirmed(made, state, repeated=True)
        raise _conflict(self.plan, service_state.version, made)

    async def _find_record(
        self, state: GroupState, service: str, version: int
    ) -> document.AuditRecord | None:
        found = change.find_record(state.document.records, service, version)
        newest = state.document.segments
        oldest = max(0, newest - MAX_SEARCHED_SEGMENTS)
        segments = iter(range(newest - 1, oldest - 1, -1))
        while found is None and (number := next(segments, None)) is not None:
            segment = await archive.read_segment(
                self.platform, self.group, number
            )
            found = change.find_record(segment.records, service, version)
        return found

    async def _write(self, state: GroupState) -> Confirmed:
        service_state = state.document.service_state(self.plan.name)
        fresh = plans.recompute(self.plan, service_state)
        if fresh.faults and not self.confirmation.force:
            raise exceptions.IntentError(fresh.faults)
        current = state.document
        if archive.is_due(current):
            current = await archive.move_oldest(
                self.platform, self.group, current
            )
        changed = change.apply(current, fresh, self.confirmation)
        revision = await self._compare_and_swap(
            document.encode(changed), state.revision
        )
        return Confirmed(
            changed.records[-1],
            GroupState(self.group, changed, revision),
            repeated=False,
        )

    async def _compare_and_swap(self, value: bytes, revision: int) -> int:
        key = groups.document_key(self.group)
        try:
            if revision == 0:
                record = await self.platform.create(key, value)
            else:
                record = await self.platform.compare_and_swap(
                    key, value, revision
                )
        except exceptions.PlatformOutcomeUnknownError:
            self.pending_revision = revision
            raise
        return record.revision


def _conflict(
    plan: plans.Plan, version: int, other: document.AuditRecord | None
) -> exceptions.OperatorError:
    detail = (
        f"{plan.name}: the plan starts from version {plan.base_version}, but "
        f"the service is at version {version}"
    )
    if other is not None:
        detail += (
            f"; {other.operator} confirmed plan {other.plan_id} "
            f"({other.action.value}) as version {other.version}"
        )
    return exceptions.OperatorError(detail, kinds.ErrorKind.PLAN_CONFLICT)
