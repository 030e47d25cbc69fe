"""Value ranges of what other processes say of themselves."""

from __future__ import annotations

from lovageyoke.fleet import messages
from lovageyoke.schema import decoding


def check_peer(peer: messages.Peer) -> messages.Peer:
    """Returns the peer if messages can be sent to it.

    Raises:
        ValueError: A field has another type or is out of range.
    """
    decoding.text(peer.node_id)
    decoding.ip_address(peer.host)
    decoding.port(peer.port)
    decoding.text(peer.front)
    decoding.text(peer.failure_domain)
    return peer
