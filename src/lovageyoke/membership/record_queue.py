"""Queue of changed records to send with heartbeats."""

from __future__ import annotations

from lovageyoke.membership import messages
from lovageyoke.membership import table as table_lib

MAX_RECORDS = 6
EXTRA_SENDS = 3


class RecordQueue:
    """Counts the remaining transmissions of each changed record.

    Attributes:
        left: Remaining transmissions by entry id.
    """

    def __init__(self) -> None:
        self.left: dict[str, int] = {}

    def add(self, entry_id: str, neighbours: int) -> None:
        """Queues a record for about one transmission to each neighbour."""
        self.left[entry_id] = neighbours + EXTRA_SENDS

    def take(self, table: table_lib.Table) -> tuple[messages.MemberRecord, ...]:
        """Returns the records for one heartbeat, least-sent first."""
        chosen = sorted(self.left, key=lambda each: (-self.left[each], each))
        records = []
        for entry_id in chosen[:MAX_RECORDS]:
            self.left[entry_id] -= 1
            if not self.left[entry_id]:
                del self.left[entry_id]
            record = table.get(entry_id)
            if record is not None:
                records.append(record)
        return tuple(records)
