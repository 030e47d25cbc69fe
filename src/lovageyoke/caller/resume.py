"""Resumption of an interrupted download at its next byte.

Range requests and strong validators are those of RFC 9110, sections 8.8 and
14.
"""

from __future__ import annotations

import re

import attrs

from lovageyoke.caller import headers
from lovageyoke.transport import api

_OK = 200
_PARTIAL_CONTENT = 206
_CONTENT_RANGE = re.compile(rb"bytes ([0-9]{1,18})-([0-9]{1,18})/([0-9]{1,18})")
_STRONG_ETAG = re.compile(rb'"[\x21\x23-\x7e\x80-\xff]*"')
_CONDITIONAL = frozenset(
    (
        b"range",
        b"if-range",
        b"if-match",
        b"if-none-match",
        b"if-modified-since",
        b"if-unmodified-since",
    )
)


@attrs.frozen
class ContentRange:
    """A part of a representation.

    Attributes:
        first: Offset of its first byte.
        end: Offset after its last byte.
        total: Size of the whole representation in bytes.
    """

    first: int
    end: int
    total: int


def parse_content_range(value: bytes) -> ContentRange | None:
    """Returns a Content-Range of one satisfied range, None for any other."""
    match = _CONTENT_RANGE.fullmatch(value)
    if match is None:
        return None
    parsed = ContentRange(int(match[1]), int(match[2]) + 1, int(match[3]))
    if not parsed.first < parsed.end <= parsed.total:
        return None
    return parsed


@attrs.define
class ResumableDownload:
    """Joins the parts of one response.

    Attributes:
        request: The original request.
        etag: Strong validator of the representation.
        position: Offset in the representation of the next byte to send.
        end: Offset after the last byte to send, None while unknown.
        total: Size of the representation, None while unknown.
    """

    request: api.Request
    etag: bytes
    position: int
    end: int | None
    total: int | None

    @classmethod
    def of(
        cls, request: api.Request, head: api.ResponseHead
    ) -> ResumableDownload | None:
        """Returns the state of a response, None when it can't be resumed."""
        etag = headers.first_value(head.headers, b"etag")
        if request.method != b"GET" or not _STRONG_ETAG.fullmatch(etag):
            return None
        if head.status == _OK:
            length = headers.content_length(head.headers)
            return cls(request, etag, 0, length, length)
        if head.status != _PARTIAL_CONTENT:
            return None
        part = parse_content_range(
            headers.first_value(head.headers, b"content-range")
        )
        if part is None:
            return None
        return cls(request, etag, part.first, part.end, part.total)

    def advance(self, count: int) -> None:
        """Records that the next ``count`` bytes were sent."""
        self.position += count

    def remaining_request(self) -> api.Request:
        """Returns the range request for the remaining bytes."""
        last = b"" if self.end is None else str(self.end - 1).encode()
        kept = tuple(
            (name, value)
            for name, value in self.request.headers
            if name not in _CONDITIONAL
        )
        span = b"bytes=%d-%s" % (self.position, last)
        return attrs.evolve(
            self.request,
            headers=(*kept, (b"range", span), (b"if-range", self.etag)),
        )

    def accepts(self, head: api.ResponseHead) -> bool:
        """Returns whether a response continues the download exactly."""
        part = parse_content_range(
            headers.first_value(head.headers, b"content-range")
        )
        if head.status != _PARTIAL_CONTENT or part is None:
            return False
        end = part.total if self.end is None else self.end
        total = part.total if self.total is None else self.total
        if part != ContentRange(self.position, end, total):
            return False
        if headers.content_length(head.headers) not in {
            None,
            part.end - part.first,
        }:
            return False
        if headers.first_value(head.headers, b"etag") != self.etag:
            return False
        self.end = end
        self.total = total
        return True
