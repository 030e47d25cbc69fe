"""Interface of routing policies."""

from __future__ import annotations

import abc
from collections.abc import Set as AbstractSet
import enum

import attrs

from lovageyoke.config import model


@attrs.frozen
class LoadReport:
    """Load reported by an upstream.

    Attributes:
        in_flight: Requests being served.
        queued: Requests in the upstream's queue.
        draining: Whether the upstream accepts no new requests.
        cold: Whether the upstream is still warming up.
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
        latency_ms: Time from dispatch to the response head or to the error.
        report: Load report carried by the response, if any.
    """

    upstream_id: str
    result: Result
    latency_ms: float
    report: LoadReport | None = None


class RoutingPolicy(abc.ABC):
    """Chooses an upstream for each request of one service.

    A policy does no I/O; its clock and random source are injected.
    """

    @abc.abstractmethod
    def set_upstreams(
        self, upstreams: tuple[model.Upstream, ...], now_ms: float
    ) -> None:
        """Replaces the upstreams; keeps the state of those that remain."""

    @abc.abstractmethod
    def choose(self, now_ms: float, excluded: AbstractSet[str]) -> str | None:
        """Returns the id of an upstream to send a request to.

        Args:
            now_ms: Current time in milliseconds.
            excluded: Upstreams already tried or at their limit.

        Returns:
            An upstream id, or None if no upstream is usable.
        """

    @abc.abstractmethod
    def usable_ids(self) -> tuple[str, ...]:
        """Returns the upstreams that may receive new requests."""

    @abc.abstractmethod
    def dispatched(self, upstream_id: str, now_ms: float) -> None:
        """Records that a request was sent to an upstream."""

    @abc.abstractmethod
    def completed(self, completion: Completion, now_ms: float) -> None:
        """Records the end of an exchange."""

    @abc.abstractmethod
    def probe_targets(self, now_ms: float, most: int) -> tuple[str, ...]:
        """Returns at most ``most`` upstreams that need a probe."""

    @abc.abstractmethod
    def probed(
        self,
        upstream_id: str,
        report: LoadReport | None,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Records a probe result; ``report`` is None if the probe failed."""

    @abc.abstractmethod
    def drain(self, upstream_id: str, now_ms: float) -> None:
        """Stops new requests to an upstream until it is restored.

        A changed configuration of the upstream also ends the drain. An
        unknown upstream is ignored: drain signals that precede the
        configuration are repeated after ``set_upstreams``.
        """

    @abc.abstractmethod
    def restore(self, upstream_id: str, now_ms: float) -> None:
        """Allows new requests again, with a slow start."""
