"""Store entries by which the processes discover each other."""

from __future__ import annotations

import json

from lovageyoke.fleet import message_checks
from lovageyoke.fleet import messages
from lovageyoke.schema import decoding

PREFIX = "lovageyoke/nodes/"


def encode_node(peer: messages.Peer) -> bytes:
    """Encodes a process as the value of its store entry."""
    return json.dumps(
        {
            "id": peer.node_id,
            "host": peer.host,
            "port": peer.port,
            "callers": peer.front,
            "failure_domain": peer.failure_domain,
        }
    ).encode()


@decoding.total("process entry")
def decode_node(value: bytes) -> messages.Peer:
    """Decodes a process from the value of its store entry.

    Raises:
        DecodeError: The value is malformed.
    """
    raw = json.loads(value)
    return message_checks.check_peer(
        messages.Peer(
            raw["id"],
            raw["host"],
            raw["port"],
            raw["callers"],
            raw["failure_domain"],
        )
    )
