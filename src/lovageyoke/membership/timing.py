"""Intervals of membership."""

from __future__ import annotations

import attrs


@attrs.frozen
class Timing:
    """Intervals, all in milliseconds.

    Attributes:
        tick_ms: Between two ticks of the state machine.
        link_ms: Between two heartbeats to the same neighbour.
        suspect_ms: Silence after which a member is suspected.
        dead_ms: Silence after which a member missing from the platform's
            list is dead.
        gap_ms: Time between two ticks that shows that this process was
            paused.
        tombstone_ms: How long a dead member is remembered.
        sync_ms: Between two requests for missing records.
        urgent_ms: Between two broadcasts of urgent news.
    """

    tick_ms: float = 250.0
    link_ms: float = 2_000.0
    suspect_ms: float = 5_000.0
    dead_ms: float = 15_000.0
    gap_ms: float = 3_000.0
    tombstone_ms: float = 600_000.0
    sync_ms: float = 2_000.0
    urgent_ms: float = 100.0
