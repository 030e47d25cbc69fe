"""Value ranges of what other processes say of themselves."""

from __future__ import annotations

import functools

from lovageyoke.fleet import messages
from lovageyoke.schema import decoding

MAX_CACHED_PEERS = 1_024


@functools.lru_cache(MAX_CACHED_PEERS, typed=True)
def known_peer(
    node_id: str, host: str, port: int, front: str, failure_domain: str
) -> messages.Peer:
    """Returns the peer with these fields if messages can be sent to it.

    Messages name the same processes again and again; each is checked once.

    Raises:
        TypeError: A field is not hashable.
        ValueError: A field has another type or is out of range.
    """
    return check_peer(messages.Peer(node_id, host, port, front, failure_domain))


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
