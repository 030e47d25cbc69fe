"""Interface of routing policies."""

from __future__ import annotations

import abc
from collections.abc import Set as AbstractSet
import enum

import attrs

from lovageyoke.config import model


@attrs.frozen
class LoadReport:
    """Load that an upstream reports of itself.

    Attributes:
        in_flight: Requests it is serving.
        queued: Requests that wait in it.
        draining: Whether it wants no new work.
        cold: Whether it is still warming up.
    """

    in_flight: int
    queued: int = 0
    draining: bool = False
    cold: bool = False


class Result(enum.Enum):
    """How an exchange with an upstream ended."""

    OK = "ok"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class Completion:
    """The end of one exchange.

    Attributes:
        upstream_id: The upstream.
        result: How it ended.
        latency_ms: Time from dispatch to the head of the response, or to the
            error.
        report: Load that came with the response, if any.
    """

    upstream_id: str
    result: Result
    latency_ms: float
    report: LoadReport | None = None


class RoutingPolicy(abc.ABC):
    """Chooses an upstream for each request of one service.

    A policy is pure: time and random numbers are given to it, and it does no
    input or output.
    """

    @abc.abstractmethod
    def set_upstreams(
        self, upstreams: tuple[model.Upstream, ...], now_ms: float
    ) -> None:
        """Replaces the set of upstreams; keeps what is known of old ones."""

    @abc.abstractmethod
    def choose(self, now_ms: float, excluded: AbstractSet[str]) -> str | None:
        """Returns the id of an upstream to send a request to.

        Args:
            now_ms: The present time in milliseconds.
            excluded: Upstreams already tried, or at their limit.

        Returns:
            An upstream id, or None when no upstream may be used.
        """

    @abc.abstractmethod
    def usable_ids(self) -> tuple[str, ...]:
        """Returns the upstreams that new work may be sent to."""

    @abc.abstractmethod
    def dispatched(self, upstream_id: str, now_ms: float) -> None:
        """Records that a request was sent to an upstream."""

    @abc.abstractmethod
    def completed(self, completion: Completion, now_ms: float) -> None:
        """Records the end of an exchange."""

    @abc.abstractmethod
    def probe_targets(self, now_ms: float, most: int) -> tuple[str, ...]:
        """Returns the upstreams most worth a probe, at most ``most``."""

    @abc.abstractmethod
    def probed(
        self,
        upstream_id: str,
        report: LoadReport | None,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Records the answer to a probe; None when it failed."""

    @abc.abstractmethod
    def drain(self, upstream_id: str, now_ms: float) -> None:
        """Stops new work to an upstream until restored or reconfigured.

        An upstream that is not in the set is ignored: signs that came before
        the configuration are given again after ``set_upstreams``.
        """

    @abc.abstractmethod
    def restore(self, upstream_id: str, now_ms: float) -> None:
        """Allows new work again, beginning with a slow start."""
