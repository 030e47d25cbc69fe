"""Selects the processes that watch the store and their watch timeouts.

The store counts every call, also during an outage, so the number of callers
is bounded independently of the fleet size.
"""

from __future__ import annotations

from lovageyoke.fleet import members as fleet_members

WATCHERS = 2
WATCH_WAIT_MS = 1_000.0  # A dead connection is detected soon after this.
STANDBY_WAIT_MS = 10_000.0  # The standby watcher only speeds up a takeover.
CATCH_UP_WAIT_MS = 50.0  # A new watcher confirms the state immediately.
STALE_MS = 1_250.0  # The first watcher confirms the state about once a second.
# Number of processes that may watch after no process has confirmed the state
# for the given time. The last step leaves time for a call within the
# propagation bound.
TAKEOVER_STEPS = ((STALE_MS, 6), (1_500.0, 12), (1_750.0, 24))


def should_watch(
    members: fleet_members.Members,
    now_ms: float,
    stale_ms: float,
    store_ok: bool,
) -> bool:
    """Returns whether this process should watch the store.

    Args:
        members: The processes.
        now_ms: The time.
        stale_ms: Time since any process confirmed the store's state.
        store_ok: Whether the store answered this process's last call.
    """
    if stale_ms <= STALE_MS:
        return members.watch_rank(now_ms, store_ok) < WATCHERS
    # In an outage the store refuses all processes, so a ranking by
    # reachability would let each of them try.
    watchers = max(
        count for after_ms, count in TAKEOVER_STEPS if stale_ms > after_ms
    )
    return members.watch_rank(now_ms, None) < watchers


def wait_ms(
    members: fleet_members.Members,
    now_ms: float,
    stale_ms: float,
    store_ok: bool,
) -> float:
    """Returns the timeout of a watch.

    Args:
        members: The processes.
        now_ms: The time.
        stale_ms: Time since any process confirmed the store's state.
        store_ok: Whether the store answered this process's last call.
    """
    if stale_ms > STALE_MS:
        return CATCH_UP_WAIT_MS
    first = members.watch_rank(now_ms, store_ok) == 0
    return WATCH_WAIT_MS if first else STANDBY_WAIT_MS
