"""Baseline policies for comparison with the pool policy."""

from __future__ import annotations

from collections.abc import Sequence
import random

from lovageyoke.routing import state
from lovageyoke.routing import tracking


class RandomPolicy(tracking.TrackingPolicy):
    """Chooses uniformly at random."""

    def pick(
        self, candidates: Sequence[state.UpstreamState], now_ms: float
    ) -> state.UpstreamState:
        """Chooses one of the candidates."""
        return candidates[int(self.rng.random() * len(candidates))]


class RoundRobinPolicy(tracking.TrackingPolicy):
    """Rotates through the upstreams from a random offset.

    Attributes:
        turn: Counter of the rotation.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.turn = rng.randrange(1 << 30)

    def pick(
        self, candidates: Sequence[state.UpstreamState], now_ms: float
    ) -> state.UpstreamState:
        """Chooses the next of the candidates."""
        self.turn += 1
        return candidates[self.turn % len(candidates)]


class LeastInFlightPolicy(tracking.TrackingPolicy):
    """Chooses the upstream with the fewest local requests in flight."""

    def pick(
        self, candidates: Sequence[state.UpstreamState], now_ms: float
    ) -> state.UpstreamState:
        """Chooses one of the least loaded candidates at random."""
        fewest = min(known.in_flight for known in candidates)
        least = [known for known in candidates if known.in_flight == fewest]
        return least[int(self.rng.random() * len(least))]


class PowerOfTwoPolicy(tracking.TrackingPolicy):
    """Chooses the less loaded of two random upstreams.

    Source: Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", IEEE TPDS 12(10), 2001.
    """

    def pick(
        self, candidates: Sequence[state.UpstreamState], now_ms: float
    ) -> state.UpstreamState:
        """Chooses the less loaded of two random candidates."""
        if len(candidates) == 1:
            return candidates[0]
        first = int(self.rng.random() * len(candidates))
        second = int(self.rng.random() * (len(candidates) - 1))
        if second >= first:
            second += 1
        one, other = candidates[first], candidates[second]
        return one if one.in_flight <= other.in_flight else other
