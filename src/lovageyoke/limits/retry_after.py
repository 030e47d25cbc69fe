"""When a refused caller should return."""

from __future__ import annotations

import random

MIN_RETRY_AFTER_MS = 80.0
MAX_RETRY_AFTER_MS = 1_000.0
JITTER = 0.4
# Callers honour no more than a third of the time they have left.
MAX_LEFT_SHARE = 1.0 / 3.0
MIN_CAPPED_SHARE = 0.5


def delay_ms(
    capacity_in_ms: float,
    left_ms: float,
    rng: random.Random,
    max_ms: float = MAX_RETRY_AFTER_MS,
) -> float:
    """Returns the delay after which a refused caller should retry.

    Answers callers that were refused together in a burst: they return spread
    around the expected time at which there is capacity. Those for whom that
    is too late return spread over the second half of the time they honour.

    Args:
        capacity_in_ms: Expected time until there is capacity.
        left_ms: The caller's time left.
        rng: Source of random numbers.
        max_ms: Longest expected time to state.
    """
    expected_ms = min(max(capacity_in_ms, MIN_RETRY_AFTER_MS), max_ms)
    cap_ms = max(0.0, left_ms) * MAX_LEFT_SHARE
    if expected_ms * (1.0 + JITTER) <= cap_ms:
        return expected_ms * rng.uniform(1.0 - JITTER, 1.0 + JITTER)
    lowest_ms = min(expected_ms * (1.0 - JITTER), cap_ms * MIN_CAPPED_SHARE)
    return rng.uniform(lowest_ms, cap_ms)
