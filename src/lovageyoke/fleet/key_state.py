"""What a process knows of one key in the store."""

from __future__ import annotations

import attrs

from lovageyoke.routing import model
from lovageyoke.store import positions


@attrs.define
class KeyState:
    """State of a key.

    Attributes:
        position: Position at which it was last known to have this state.
        value: The upstream or the evacuation, None if the entry is invalid or
            deleted.
        received_ms: When the value was received.
        deleted_ms: When the entry was deleted during a store outage, or found
            to be absent from a restored store; None if it wasn't. It stays in
            use for a while.
        doubtful_ms: Since when the entry is there again after its removal
            though it may result from a late write; None if it doesn't.
    """

    position: positions.Position
    value: model.Upstream | model.Evacuation | None = None
    received_ms: float = 0.0
    deleted_ms: float | None = None
    doubtful_ms: float | None = None

    @property
    def upstream(self) -> model.Upstream | None:
        """The upstream, None if there is none."""
        return self.value if isinstance(self.value, model.Upstream) else None

    @property
    def is_registered(self) -> bool:
        """Whether the store has the entry, and it is no late write."""
        return (
            self.value is not None
            and self.deleted_ms is None
            and self.doubtful_ms is None
        )

    @property
    def in_use(self) -> model.Upstream | model.Evacuation | None:
        """The value if it is in force, else None."""
        if self.doubtful_ms is not None and self.deleted_ms is None:
            return None
        return self.value
