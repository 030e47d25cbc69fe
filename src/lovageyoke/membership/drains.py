"""Upstreams that are leaving, as entries tell each other."""

from __future__ import annotations

from typing import Any

import cattrs
from cattrs.preconf import cbor2 as cattrs_cbor2

from lovageyoke.errors import exceptions
from lovageyoke.membership import spread

DEFAULT_EXPIRY_MS = 60_000.0
MAX_SPREAD = 32
MIN_RENEWAL = 0.25
MAX_UPSTREAMS = 4_096

CONVERTER = cattrs_cbor2.make_converter()


class Drains(spread.Spread):
    """Set of draining upstreams with expiry, spread by heartbeats.

    The entry that sees the sign of a drain spreads it with the time that it
    has left. Messages take time, so a drain that comes back seems to last a
    little longer; only a renewal by a good part of the expiry is taken in, or
    drains would be passed around for ever.

    Attributes:
        expiry_ms: How long a drain lasts after its last sign, in
            milliseconds.
        until_ms: When each drain ends, by upstream id; those that have ended
            are remembered for a while.
    """

    name = "d"

    def __init__(self, expiry_ms: float = DEFAULT_EXPIRY_MS) -> None:
        self.expiry_ms = expiry_ms
        self.until_ms: dict[str, float] = {}

    def add(self, upstream_id: str, now_ms: float) -> bool:
        """Records a sign that an upstream drains; returns if it was news."""
        known_ms = self.until_ms.get(upstream_id, now_ms)
        if upstream_id not in self.until_ms and self._is_full(now_ms):
            return False
        self.until_ms[upstream_id] = now_ms + self.expiry_ms
        return known_ms <= now_ms

    def active(self, now_ms: float) -> frozenset[str]:
        """Returns the upstreams that drain now."""
        return frozenset(
            upstream_id
            for upstream_id, until_ms in self.until_ms.items()
            if until_ms > now_ms
        )

    def payload(self, now_ms: float) -> bytes:
        """Returns the drains that last longest, with the time left."""
        self._expire(now_ms)
        newest = sorted(self.until_ms.items(), key=lambda each: -each[1])
        left_ms = {
            upstream_id: int(until_ms - now_ms)
            for upstream_id, until_ms in newest[:MAX_SPREAD]
            if until_ms > now_ms
        }
        return CONVERTER.dumps(left_ms) if left_ms else b""

    def receive(self, entry_id: str, payload: bytes, now_ms: float) -> bool:
        """Takes in another entry's drains.

        Raises:
            DecodeError: The payload is not valid.
        """
        if not payload:
            return False
        news = False
        for upstream_id, left_ms in _decode(payload).items():
            bounded_ms = min(left_ms, self.expiry_ms)
            until_ms = now_ms + bounded_ms
            news = self._renew(upstream_id, until_ms, now_ms) or news
        return news

    def _renew(self, upstream_id: str, until_ms: float, now_ms: float) -> bool:
        known_ms = self.until_ms.get(upstream_id)
        if known_ms is None:
            if until_ms <= now_ms or self._is_full(now_ms):
                return False
        elif until_ms - known_ms < self.expiry_ms * MIN_RENEWAL:
            return False
        self.until_ms[upstream_id] = until_ms
        return known_ms is None or known_ms <= now_ms

    def _is_full(self, now_ms: float) -> bool:
        if len(self.until_ms) >= MAX_UPSTREAMS:
            self._expire(now_ms)
        return len(self.until_ms) >= MAX_UPSTREAMS

    def _expire(self, now_ms: float) -> None:
        remembered_ms = now_ms - self.expiry_ms * MIN_RENEWAL
        self.until_ms = {
            upstream_id: until_ms
            for upstream_id, until_ms in self.until_ms.items()
            if until_ms > remembered_ms
        }


def _decode(payload: bytes) -> dict[str, int]:
    try:
        frame: dict[Any, Any] = CONVERTER.loads(payload, dict[str, int])
    except cattrs.BaseValidationError as error:
        raise exceptions.DecodeError(f"bad drains: {error}") from error
    except Exception as error:
        # The CBOR library raises many types on hostile bytes.
        raise exceptions.DecodeError(f"bad drains: {error!r}") from error
    return frame
