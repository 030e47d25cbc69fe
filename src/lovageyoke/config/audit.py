"""Queries of the audit trail."""

from __future__ import annotations

import attrs

from lovageyoke.config import archive
from lovageyoke.config import document
from lovageyoke.config import groups
from lovageyoke.config import store
from lovageyoke.schema import checks

DEFAULT_LIMIT = 100
MAX_LIMIT = 10_000
MAX_TIME_MS = 2**53


@attrs.frozen
class AuditQuery:
    """Filter for audit records; empty fields match all.

    Attributes:
        service: Name of a service.
        operator: Name of an operator.
        since_ms: Earliest time, in milliseconds since the Unix epoch.
        until_ms: Latest time.
        limit: Maximum number of records; the newest ones are returned.
    """

    service: str = checks.checked(checks.Optional(checks.NAME), default="")
    operator: str = checks.checked(checks.Optional(checks.NAME), default="")
    since_ms: int = checks.checked(checks.Between(0, MAX_TIME_MS), default=0)
    until_ms: int = checks.checked(
        checks.Between(0, MAX_TIME_MS), default=MAX_TIME_MS
    )
    limit: int = checks.checked(
        checks.Between(1, MAX_LIMIT), default=DEFAULT_LIMIT
    )

    def matches(self, record: document.AuditRecord) -> bool:
        """Returns whether a record matches the filter."""
        return (
            self.service in {"", record.service}
            and self.operator in {"", record.operator}
            and self.since_ms <= record.wall_ms <= self.until_ms
        )


async def find(
    config: store.ConfigStore, query: AuditQuery
) -> tuple[document.AuditRecord, ...]:
    """Returns the newest records that match, oldest first.

    Reads archived segments, newest first, until the limit is reached.

    Raises:
        PlatformUnavailableError: The platform is unavailable.
        DecodeError: A segment is absent or malformed.
    """
    groups_to_search = range(groups.GROUP_COUNT)
    if query.service:
        group = groups.group_of(query.service)
        groups_to_search = range(group, group + 1)
    found: list[document.AuditRecord] = []
    for group in groups_to_search:
        found.extend(await _find_in_group(config, group, query))
    found.sort(key=lambda each: (each.wall_ms, each.service, each.version))
    return tuple(found[-query.limit :])


async def _find_in_group(
    config: store.ConfigStore, group: int, query: AuditQuery
) -> list[document.AuditRecord]:
    state = await config.read_group(group)
    found = [each for each in state.document.records if query.matches(each)]
    for number in range(state.document.segments - 1, -1, -1):
        if len(found) >= query.limit:
            break
        segment = await archive.read_segment(config.platform, group, number)
        older = [each for each in segment.records if query.matches(each)]
        found = older + found
    return found
