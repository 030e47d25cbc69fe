"""Entries by which the processes find each other in the store."""

from __future__ import annotations

import json

from lovageyoke.errors import exceptions
from lovageyoke.fleet import messages

PREFIX = "lovageyoke/nodes/"


def encode_node(peer: messages.Peer) -> bytes:
    """Returns the value of a process's entry."""
    return json.dumps(
        {
            "id": peer.node_id,
            "host": peer.host,
            "port": peer.port,
            "callers": peer.front,
            "failure_domain": peer.failure_domain,
        }
    ).encode()


def decode_node(value: bytes) -> messages.Peer:
    """Returns the process of an entry's value.

    Raises:
        DecodeError: The value can't be read.
    """
    try:
        raw = json.loads(value)
        return messages.Peer(
            str(raw["id"]),
            str(raw["host"]),
            int(raw["port"]),
            str(raw["callers"]),
            str(raw["failure_domain"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.DecodeError(
            f"the entry of a process can't be read: {error!r}"
        ) from error
