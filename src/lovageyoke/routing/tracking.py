"""Base class of policies: upstreams, in-flight counts and drains."""

from __future__ import annotations

import abc
from collections.abc import Sequence
from collections.abc import Set as AbstractSet
import random

from lovageyoke.config import model
from lovageyoke.routing import api
from lovageyoke.routing import state


class TrackingPolicy(api.RoutingPolicy):
    """Tracks upstream state; subclasses implement the choice.

    Attributes:
        rng: Source of random numbers.
        states: State of each upstream by its id.
        usable: Upstreams that may receive new requests.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.states: dict[str, state.UpstreamState] = {}
        self.usable: list[state.UpstreamState] = []

    @abc.abstractmethod
    def pick(
        self, candidates: Sequence[state.UpstreamState], now_ms: float
    ) -> state.UpstreamState | None:
        """Chooses one of the candidates, which must not be empty."""

    def set_upstreams(
        self, upstreams: tuple[model.Upstream, ...], now_ms: float
    ) -> None:
        """Replaces the upstreams; keeps the state of those that remain.

        An upstream whose configuration has changed is no longer drained.
        """
        states = {}
        for upstream in upstreams:
            known = self.states.get(upstream.upstream_id)
            if known is None:
                known = self.create_state(upstream, now_ms)
            elif known.upstream != upstream:
                known.upstream = upstream
                known.drained = False
                known.draining_reported_ms = None
            states[upstream.upstream_id] = known
        self.states = states
        self.refresh_usable()

    def create_state(
        self, upstream: model.Upstream, now_ms: float
    ) -> state.UpstreamState:
        """Returns the initial state of a new upstream."""
        return state.UpstreamState(upstream, now_ms)

    def refresh_usable(self) -> None:
        """Recomputes the upstreams that may receive new requests."""
        self.usable = [known for known in self.states.values() if known.usable]

    def choose(self, now_ms: float, excluded: AbstractSet[str]) -> str | None:
        """Returns the id of an upstream, or None if none is usable."""
        candidates = self.usable
        if excluded:
            candidates = [
                known
                for known in candidates
                if known.upstream.upstream_id not in excluded
            ]
        if not candidates:
            return None
        chosen = self.pick(candidates, now_ms)
        return None if chosen is None else chosen.upstream.upstream_id

    def usable_ids(self) -> tuple[str, ...]:
        """Returns the upstreams that may receive new requests."""
        return tuple(known.upstream.upstream_id for known in self.usable)

    def dispatched(self, upstream_id: str, now_ms: float) -> None:
        """Counts a request that was sent."""
        known = self.states.get(upstream_id)
        if known is not None:
            known.in_flight += 1

    def completed(self, completion: api.Completion, now_ms: float) -> None:
        """Records the end of an exchange and a reported drain."""
        known = self.states.get(completion.upstream_id)
        if known is None:
            return
        known.in_flight = max(0, known.in_flight - 1)
        if completion.report is None:
            return
        known.note_report(completion.report, now_ms)
        if completion.report.draining:
            self.refresh_usable()

    def probe_targets(self, now_ms: float, most: int) -> tuple[str, ...]:
        """Returns upstreams whose reported drain may have ended."""
        waiting = [
            known.upstream.upstream_id
            for known in self.states.values()
            if known.draining_reported_ms is not None
            and now_ms - known.draining_reported_ms >= state.DRAIN_HOLD_MS
        ]
        return tuple(waiting[:most])

    def probed(
        self,
        upstream_id: str,
        report: api.LoadReport | None,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Applies the drain flag of a probe's report."""
        known = self.states.get(upstream_id)
        if known is None or report is None:
            return
        if known.note_probe(report, now_ms):
            known.added_ms = now_ms
        self.refresh_usable()

    def drain(self, upstream_id: str, now_ms: float) -> None:
        """Stops new requests until restored or reconfigured."""
        known = self.states.get(upstream_id)
        if known is not None:
            known.drained = True
            self.refresh_usable()

    def restore(self, upstream_id: str, now_ms: float) -> None:
        """Allows new requests again, with a slow start."""
        known = self.states.get(upstream_id)
        if known is None or known.usable:
            return
        known.drained = False
        known.draining_reported_ms = None
        known.added_ms = now_ms
        self.refresh_usable()
