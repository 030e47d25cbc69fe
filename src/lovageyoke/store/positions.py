"""Positions in the history of a key-value store."""

from __future__ import annotations

from typing import NamedTuple


class Position(NamedTuple):
    """A point in the history of the store.

    A store that is restored from a copy enters a new era, in which it assigns
    revisions again that it had already assigned. The era therefore comes first
    in the order of positions. A tuple, as processes compare several positions
    for each message and entry.

    Attributes:
        era: The era; 0 if the store doesn't state it, which precedes all
            others.
        revision: Store-wide revision within the era; 0 before the first.
    """

    era: int = 0
    revision: int = 0

    def with_revision(self, revision: int) -> Position:
        """Returns the position at another revision of the same era."""
        return Position(self.era, revision)

    def previous(self) -> Position:
        """Returns the position before that of a change."""
        return Position(self.era, self.revision - 1)


START = Position()  # Nothing of the store is known.
