"""Draining upstreams, disseminated between entry VMs by heartbeats."""

from __future__ import annotations

from typing import Any

import cattrs
from cattrs.preconf import cbor2 as cattrs_cbor2

from lovageyoke.errors import exceptions
from lovageyoke.membership import payload as payload_lib

DEFAULT_EXPIRY_MS = 60_000.0
MAX_PAYLOAD_DRAINS = 32
MIN_RENEWAL = 0.25
MAX_UPSTREAMS = 4_096

CONVERTER = cattrs_cbor2.make_converter()


class Drains(payload_lib.PayloadProvider):
    """Set of draining upstreams with expiry, sent with heartbeats.

    The entry VM that detects a drain sends it with its remaining time. The
    remaining time doesn't account for message delay, so a drain that is
    received back seems to end slightly later. A renewal is accepted only if
    it extends the drain by at least ``MIN_RENEWAL`` of the expiry; otherwise
    entry VMs would renew each other's drains forever.

    Attributes:
        expiry_ms: Duration of a drain after it was last detected, in
            milliseconds.
        until_ms: End of each drain by upstream id; ended drains are kept
            for ``MIN_RENEWAL`` of the expiry.
    """

    name = "d"

    def __init__(self, expiry_ms: float = DEFAULT_EXPIRY_MS) -> None:
        self.expiry_ms = expiry_ms
        self.until_ms: dict[str, float] = {}

    def add(self, upstream_id: str, now_ms: float) -> bool:
        """Records that an upstream drains; returns whether it was new."""
        known_ms = self.until_ms.get(upstream_id, now_ms)
        if upstream_id not in self.until_ms and self._is_full(now_ms):
            return False
        self.until_ms[upstream_id] = now_ms + self.expiry_ms
        return known_ms <= now_ms

    def active(self, now_ms: float) -> frozenset[str]:
        """Returns the ids of the upstreams that are draining."""
        return frozenset(
            upstream_id
            for upstream_id, until_ms in self.until_ms.items()
            if until_ms > now_ms
        )

    def payload(self, now_ms: float) -> bytes:
        """Returns the drains that end last, with their remaining time."""
        self._expire(now_ms)
        newest = sorted(self.until_ms.items(), key=lambda each: -each[1])
        left_ms = {
            upstream_id: int(until_ms - now_ms)
            for upstream_id, until_ms in newest[:MAX_PAYLOAD_DRAINS]
            if until_ms > now_ms
        }
        return CONVERTER.dumps(left_ms) if left_ms else b""

    def receive(self, entry_id: str, payload: bytes, now_ms: float) -> bool:
        """Merges the drains of another entry VM.

        Raises:
            DecodeError: The payload is not valid.
        """
        if not payload:
            return False
        changed = False
        for upstream_id, left_ms in _decode(payload).items():
            bounded_ms = min(left_ms, self.expiry_ms)
            until_ms = now_ms + bounded_ms
            changed = self._renew(upstream_id, until_ms, now_ms) or changed
        return changed

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
        cutoff_ms = now_ms - self.expiry_ms * MIN_RENEWAL
        self.until_ms = {
            upstream_id: until_ms
            for upstream_id, until_ms in self.until_ms.items()
            if until_ms > cutoff_ms
        }


def _decode(payload: bytes) -> dict[str, int]:
    try:
        frame: dict[Any, Any] = CONVERTER.loads(payload, dict[str, int])
    except cattrs.BaseValidationError as error:
        raise exceptions.DecodeError(
            f"invalid drains payload: {error}"
        ) from error
    except Exception as error:
        # The CBOR library raises many exception types on malformed input.
        raise exceptions.DecodeError(
            f"invalid drains payload: {error!r}"
        ) from error
    return frame
