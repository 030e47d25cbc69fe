"""Valid status codes of HTTP responses (RFC 9110, section 15)."""

from __future__ import annotations

SWITCHING_PROTOCOLS = 101
_FIRST = 100
_LAST = 599


def is_valid(status: int) -> bool:
    """Returns whether an upstream's response may have a status code.

    No request asks for another protocol, so no response may switch to one.
    """
    return _FIRST <= status <= _LAST and status != SWITCHING_PROTOCOLS
