"""HTTP requests and responses."""

from __future__ import annotations

import attrs

from lovageyoke.hop import large_body

Headers = list[tuple[bytes, bytes]]

FIRST_FINAL_STATUS = 200  # 1xx responses precede the final response.
FIRST_REDIRECT_STATUS = 300
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500
MAX_TIMEOUT_DIGITS = 9  # Of a Keep-Alive timeout in seconds.

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@attrs.define
class Request:
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Path and query, as received.
        headers: Pairs of lowercase name and value.
        body: The complete body, in blocks if it is large.
        keep_alive: Whether the connection may carry another request.
        arrived_ms: Time when the last byte was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | large_body.LargeBody = b""
    keep_alive: bool = True
    arrived_ms: float = 0.0

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if it is absent."""
        return first_value(self.headers, name)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@attrs.define
class Response:
    """A response; its body is complete unless it was streamed.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        headers: Pairs of lowercase name and value.
        body: The body, empty if it was streamed.
        streamed: Whether the body was forwarded to the caller as it arrived.
        reusable: Whether the connection may carry another request.
    """

    status: int
    reason: bytes
    headers: Headers
    body: bytes = b""
    streamed: bool = False
    reusable: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if it is absent."""
        return first_value(self.headers, name)


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, None if it is absent."""
    for each, value in headers:
        if each == name:
            return value
    return None


def keep_alive_timeout_ms(headers: Headers) -> float | None:
    """Returns the Keep-Alive timeout in milliseconds, None if absent."""
    value = first_value(headers, b"keep-alive")
    if value is None:
        return None
    for parameter in value.split(b","):
        name, _, seconds = parameter.strip().partition(b"=")
        if name.lower() != b"timeout" or not seconds.isdigit():
            continue
        if len(seconds) <= MAX_TIMEOUT_DIGITS:
            return int(seconds) * 1_000.0
    return None


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers without the hop-by-hop ones."""
    dropped = set(HOP_BY_HOP)
    for name, value in headers:
        if name == b"connection":
            dropped.update(token.strip() for token in value.lower().split(b","))
    return [each for each in headers if each[0] not in dropped]


def encode_head(start: bytes, headers: Headers) -> bytes:
    """Returns a message head: start line, headers and an empty line."""
    lines = [start]
    lines.extend(name + b": " + value for name, value in headers)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)
