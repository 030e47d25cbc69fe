"""Carries the configuration digest in heartbeats."""

from __future__ import annotations

from lovageyoke.config import dissemination
from lovageyoke.config import view as views
from lovageyoke.errors import exceptions
from lovageyoke.membership import payload as payload_lib

DIGEST_BYTES = 8


class ConfigHeartbeat(payload_lib.PayloadProvider):
    """Sends the digest of the active configuration and records those of peers.

    Attributes:
        digests: Digests of peers; the follower pulls from those that differ.
    """

    name = "config"

    def __init__(self, view: views.ConfigView) -> None:
        self.digests = dissemination.PeerDigests()
        self._view = view

    def payload(self, now_ms: float) -> bytes:
        """Returns the digest of the active configuration."""
        del now_ms
        return dissemination.digest(self._view.sequences)

    def receive(self, entry_id: str, payload: bytes, now_ms: float) -> bool:
        """Records a peer's digest; returns False, as it is not forwarded.

        Raises:
            DecodeError: The payload is not a digest.
        """
        del now_ms
        if len(payload) != DIGEST_BYTES:
            raise exceptions.DecodeError(
                f"expected a digest of {DIGEST_BYTES} bytes, got {len(payload)}"
            )
        self.digests.record(entry_id, payload)
        return False
