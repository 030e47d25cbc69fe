"""Address resolution and readiness endpoints."""

from __future__ import annotations

import json
import urllib.parse

from lovageyoke.fleet import directory
from lovageyoke.hop import messages
from lovageyoke.platform import durations

RESOLVE_PATH = "/resolve"
READY_PATH = "/readiness"
JSON_HEADER = (b"content-type", b"application/json")


def decode_address_query(
    request: messages.Request,
) -> directory.AddressQuery | None:
    """Decodes an address query, None if the request is not one."""
    if request.path != RESOLVE_PATH or request.method != b"GET":
        return None
    text = request.target.partition(b"?")[2].decode("latin-1")
    query = urllib.parse.parse_qs(text)
    return directory.AddressQuery(
        host=query.get("name", [""])[0],
        region=query.get("region", [""])[0],
        failure_domain=query.get("zone", [""])[0],
    )


def encode_addresses(
    addresses: list[str], lifetime_ms: float
) -> messages.Response:
    """Returns the response to an address query.

    Args:
        addresses: Addresses of the processes to use.
        lifetime_ms: How long the caller may cache the response.
    """
    body = {
        "addresses": addresses,
        "ttl": durations.format_duration(lifetime_ms),
    }
    encoded = json.dumps(body, separators=(",", ":")).encode()
    return messages.Response(200, b"OK", [JSON_HEADER], encoded)


def is_readiness(request: messages.Request) -> bool:
    """Returns whether a request is a readiness check."""
    return request.path == READY_PATH
