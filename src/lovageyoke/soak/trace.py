"""Digest and counts of what happened in a run."""

from __future__ import annotations

import collections

import xxhash


class Trace:
    """Folds every step of a run into one digest.

    Attributes:
        steps: Steps recorded.
        counts: Steps by kind.
        faults: Faults injected by kind.
    """

    def __init__(self) -> None:
        self.steps = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()
        self._digest = xxhash.xxh3_128()

    def step(self, kind: str, *details: object) -> None:
        """Records a step."""
        self.steps += 1
        self.counts[kind] += 1
        self._digest.update(repr((kind, details)).encode())

    def fault(self, kind: str, *details: object) -> None:
        """Records an injected fault, which is a step too."""
        self.faults[kind] += 1
        self.step("fault", kind, *details)

    def hexdigest(self) -> str:
        """Returns the digest of all steps so far."""
        return self._digest.hexdigest()
