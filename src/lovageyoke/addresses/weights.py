"""Entry weights that follow the load gradually."""

from __future__ import annotations

FULL_WEIGHT = 100
MIN_WEIGHT = 10
MAX_STEP = 10
STEP_MS = 1_000.0
FULL_WEIGHT_LOAD_PERCENT = 50
OVERLOAD_PERCENT = 95


def target_weight(load: int) -> int:
    """Returns the weight at which an entry with a load in percent settles."""
    if load <= FULL_WEIGHT_LOAD_PERCENT:
        return FULL_WEIGHT
    excess = min(load, OVERLOAD_PERCENT) - FULL_WEIGHT_LOAD_PERCENT
    span = OVERLOAD_PERCENT - FULL_WEIGHT_LOAD_PERCENT
    return FULL_WEIGHT - (FULL_WEIGHT - MIN_WEIGHT) * excess // span


class Weights:
    """Moves each entry's weight towards its target in one step per second.

    Callers cache answers. If weights followed each load report immediately,
    all callers would leave an entry and return to it together.

    Attributes:
        current: Weights by entry ID.
    """

    def __init__(self) -> None:
        self.current: dict[str, int] = {}
        self._updated_ms: dict[str, float] = {}

    def update(self, entry_id: str, load: int, now_ms: float) -> int:
        """Updates an entry's weight for a load and returns the weight."""
        target = target_weight(load)
        if entry_id not in self.current:
            self.current[entry_id] = target
            self._updated_ms[entry_id] = now_ms
            return target
        steps = int((now_ms - self._updated_ms[entry_id]) / STEP_MS)
        if steps > 0:
            self._step_towards(entry_id, target, steps * MAX_STEP)
            self._updated_ms[entry_id] += steps * STEP_MS
        return self.current[entry_id]

    def keep_only(self, entry_ids: set[str]) -> None:
        """Removes the weights of all other entries."""
        for entry_id in set(self.current) - entry_ids:
            del self.current[entry_id]
            del self._updated_ms[entry_id]

    def _step_towards(
        self, entry_id: str, target: int, max_change: int
    ) -> None:
        weight = self.current[entry_id]
        change = max(-max_change, min(max_change, target - weight))
        self.current[entry_id] = weight + change
