"""Requests and responses as they pass through a process."""

from __future__ import annotations

import attrs

Headers = list[tuple[bytes, bytes]]

FIRST_FINAL_STATUS = 200  # Lower ones announce another response.
FIRST_REDIRECT_STATUS = 300
FIRST_SERVER_ERROR_STATUS = 500

# Headers that concern one connection only (RFC 9110, section 7.6.1).
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
    """A whole request.

    Attributes:
        method: Its method.
        target: Path and query, as sent.
        headers: Names in lower case, and values.
        body: The whole body.
        keep_alive: Whether the connection may carry another request.
        arrived_ms: When its last byte was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
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
    """A response; its body is whole unless it was streamed.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        headers: Names in lower case, and values.
        body: The body, empty if it was streamed.
        streamed: Whether the body has gone to the caller while it came.
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


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that concern more than one connection."""
    dropped = set(HOP_BY_HOP)
    for name, value in headers:
        if name == b"connection":
            dropped.update(token.strip() for token in value.lower().split(b","))
    return [each for each in headers if each[0] not in dropped]


def encode_head(start: bytes, headers: Headers) -> bytes:
    """Returns a message head: start line, headers and the empty line."""
    lines = [start]
    lines.extend(name + b": " + value for name, value in headers)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)
