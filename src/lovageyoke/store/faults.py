"""Fault injection for the simulated platform."""

from __future__ import annotations

import random

import attrs


@attrs.define
class Faults:
    """Active faults; each share is a probability from 0 to 1.

    Attributes:
        outage: Every call is rejected without effect.
        latency_ms: Time added to each call, in milliseconds.
        jitter_ms: Upper bound of a uniform random delay added to each call, in
            milliseconds.
        refused_share: Share of calls rejected without effect.
        lost_request_share: Share of writes that have no effect and whose
            outcome is reported as unknown.
        lost_answer_share: Share of writes that take effect and whose outcome
            is reported as unknown.
        dead_watches: Watches never report a change.
        frozen_vm_list: The VM list no longer changes.
    """

    outage: bool = False
    latency_ms: float = 0.0
    jitter_ms: float = 0.0
    refused_share: float = 0.0
    lost_request_share: float = 0.0
    lost_answer_share: float = 0.0
    dead_watches: bool = False
    frozen_vm_list: bool = False


class FaultInjector:
    """Decides at random, from a seed, which calls fail.

    Attributes:
        faults: Active faults; may be replaced at any time.
    """

    def __init__(self, faults: Faults | None = None, seed: int = 0) -> None:
        self.faults = faults or Faults()
        self._random = random.Random(seed)  # noqa: S311

    def delay_ms(self) -> float:
        """Returns the delay of the current call, in milliseconds."""
        if not self.faults.jitter_ms:
            return self.faults.latency_ms
        jitter_ms = self._random.uniform(0.0, self.faults.jitter_ms)
        return self.faults.latency_ms + jitter_ms

    def rejects_call(self) -> bool:
        """Returns whether the current call is rejected."""
        return self.faults.outage or self._occurs(self.faults.refused_share)

    def drops_request(self) -> bool:
        """Returns whether the current write is lost before it is applied."""
        return self._occurs(self.faults.lost_request_share)

    def drops_reply(self) -> bool:
        """Returns whether the reply to the current write is lost."""
        return self._occurs(self.faults.lost_answer_share)

    def _occurs(self, share: float) -> bool:
        return share > 0 and self._random.random() < share
