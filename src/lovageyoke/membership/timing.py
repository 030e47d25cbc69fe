"""Intervals and timeouts of membership."""

from __future__ import annotations

import attrs


@attrs.frozen
class Timing:
    """Intervals and timeouts, all in milliseconds.

    Attributes:
        tick_ms: Interval between ticks of the state machine.
        heartbeat_ms: Interval between heartbeats to the same neighbour.
        suspect_ms: Silence after which a member is suspected.
        dead_ms: Silence after which a member that is missing from the
            platform's list is dead.
        pause_ms: Time between two ticks above which the process is considered
            to have been paused.
        tombstone_ms: Retention of the record of a dead member.
        sync_ms: Minimum interval between requests for missing records.
        urgent_ms: Minimum interval between urgent broadcasts.
    """

    tick_ms: float = 250.0
    heartbeat_ms: float = 2_000.0
    suspect_ms: float = 5_000.0
    dead_ms: float = 15_000.0
    pause_ms: float = 3_000.0
    tombstone_ms: float = 600_000.0
    sync_ms: float = 2_000.0
    urgent_ms: float = 100.0
