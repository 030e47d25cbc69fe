"""What must hold of configuration at all times."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from lovageyoke.config import archive
from lovageyoke.config import document
from lovageyoke.config import view
from lovageyoke.soak import invariants


def check_write(
    before: document.Document,
    after: document.Document,
    segment: document.Segment | None,
) -> None:
    """Checks one write of a group's document.

    Args:
        before: The document that it replaced.
        after: The document that it wrote.
        segment: The segment numbered ``before.segments``, if it exists.

    Raises:
        InvariantError: The write breaks an invariant.
    """
    _require(after.sequence == before.sequence + 1, "the sequence grows by one")
    changed = [
        name
        for name in before.entries.keys() | after.entries.keys()
        if before.service_state(name) != after.service_state(name)
    ]
    _require(len(changed) == 1, f"one service changes a write, not {changed}")
    name = changed[0]
    _require(
        after.service_state(name).version
        == before.service_state(name).version + 1,
        f"the version of {name} grows by one",
    )
    _check_records(before, after, segment)
    newest = after.records[-1]
    _require(
        (newest.service, newest.version)
        == (name, after.service_state(name).version),
        f"the change of {name} has its audit record",
    )


def check_trail(records: Iterable[document.AuditRecord]) -> None:
    """Checks a whole audit trail.

    Raises:
        InvariantError: A version or a plan appears twice, or one is missing.
    """
    versions: dict[str, list[int]] = collections.defaultdict(list)
    plan_ids: set[str] = set()
    for record in records:
        _require(
            record.plan_id not in plan_ids,
            f"plan {record.plan_id} takes effect once",
        )
        plan_ids.add(record.plan_id)
        versions[record.service].append(record.version)
    for service, found in versions.items():
        _require(
            sorted(found) == list(range(1, len(found) + 1)),
            f"each version of {service} has one record",
        )


class ViewWatch:
    """Checks that the versions in one view never go back.

    Attributes:
        checks: Number of versions compared.
    """

    def __init__(self, watched: view.ConfigView) -> None:
        self.checks = 0
        self._view = watched
        self._versions: dict[str, int] = {}

    def check(self) -> None:
        """Compares all versions with those seen before.

        Raises:
            InvariantError: A version went back.
        """
        for name, each in self._view.services().items():
            self.checks += 1
            _require(
                each.version >= self._versions.get(name, 0),
                f"the version of {name} never goes back",
            )
            self._versions[name] = each.version


def _check_records(
    before: document.Document,
    after: document.Document,
    segment: document.Segment | None,
) -> None:
    kept = before.records
    if after.segments != before.segments:
        _require(
            after.segments == before.segments + 1
            and segment == archive.next_segment(before),
            "archived records are in their segment before they are dropped",
        )
        kept = before.records[archive.SEGMENT_RECORDS :]
    _require(
        len(after.records) == len(kept) + 1 and after.records[:-1] == kept,
        "audit records are kept and one is added",
    )


def _require(holds: bool, statement: str) -> None:
    if not holds:
        raise invariants.InvariantError(f"broken: {statement}")
