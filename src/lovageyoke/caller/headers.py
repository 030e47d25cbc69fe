"""Filters and adds headers of forwarded requests and responses."""

from __future__ import annotations

from collections.abc import Iterable

from lovageyoke.hop import messages
from lovageyoke.retry import marks as call_marks
from lovageyoke.transport import api
from lovageyoke.transport import load_header

OUTCOME_HEADER = b"lovageyoke-outcome"

_REQUEST_DROPPED = messages.HOP_BY_HOP | {
    b"content-length",
    b"expect",
    b"forwarded",
    b"http2-settings",
    *call_marks.HEADERS,
}
_RESPONSE_DROPPED = messages.HOP_BY_HOP | {
    load_header.LOAD_HEADER,
    load_header.SHED_HEADER,
    OUTCOME_HEADER,
}
_CHUNKED_RESPONSE_DROPPED = _RESPONSE_DROPPED | {b"content-length"}
_MAX_DIGITS = 18
_LENGTH_EXPECTED = frozenset((b"POST", b"PUT", b"PATCH"))


def first_value(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Returns the first value of a header, b"" when it is absent."""
    for key, value in headers:
        if key == name:
            return value
    return b""


def content_length(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Returns the Content-Length, None when absent or malformed."""
    value = first_value(headers, b"content-length")
    if not value.isdigit() or len(value) > _MAX_DIGITS:
        return None
    return int(value)


def _connection_options(headers: Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    return {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }


def _filter(
    headers: Iterable[tuple[bytes, bytes]], dropped: frozenset[bytes]
) -> list[tuple[bytes, bytes]]:
    headers = list(headers)
    options = _connection_options(headers)
    # The Connection header must not remove the framing or the host.
    options -= {b"host", b"content-length"}
    return [
        (name, value)
        for name, value in headers
        if name not in dropped and name not in options
    ]


def to_upstream(
    scope_headers: Iterable[tuple[bytes, bytes]],
    method: bytes,
    body: bytes,
    client: str,
) -> api.Headers:
    """Returns the headers of a request to an upstream."""
    scope_headers = list(scope_headers)
    headers = _filter(scope_headers, _REQUEST_DROPPED)
    if body or method in _LENGTH_EXPECTED:
        headers.append((b"content-length", str(len(body)).encode()))
    previous = [v for name, v in scope_headers if name == b"forwarded"]
    hop = f'for="[{client}]"' if ":" in client else f"for={client}"
    headers.append((b"forwarded", b", ".join([*previous, hop.encode()])))
    return tuple(headers)


def to_caller(headers: api.Headers) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a response to a caller."""
    dropped = _RESPONSE_DROPPED
    if first_value(headers, b"transfer-encoding"):
        # RFC 9112, section 6.1: the transfer coding overrides the length.
        dropped = _CHUNKED_RESPONSE_DROPPED
    return _filter(headers, dropped)
