"""Load reports in response headers.

The header's value is a list of ``name=integer`` fields separated by ";", such
as ``in_flight=3;queued=0;draining=0;cold=0``. Only ``in_flight`` is required;
unknown fields and malformed values are ignored.
"""

from __future__ import annotations

import re

from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api

LOAD_HEADER = b"lovageyoke-load"
SHED_HEADER = b"lovageyoke-shed"
MAX_HEADER_BYTES = 256
MAX_COUNT = 1_000_000
_UNAVAILABLE = 503
_FIELD = re.compile(r"([a-z_]{1,32})=([0-9]{1,7})")


def encode(report: routing_api.LoadReport) -> bytes:
    """Returns the header value of a load report."""
    return (
        f"in_flight={report.in_flight};queued={report.queued};"
        f"draining={int(report.draining)};cold={int(report.cold)}"
    ).encode()


def decode(value: bytes) -> routing_api.LoadReport | None:
    """Returns the load report in a header value, None when malformed."""
    if len(value) > MAX_HEADER_BYTES:
        return None
    fields: dict[str, int] = {}
    for part in value.decode("latin-1").split(";"):
        match = _FIELD.fullmatch(part.strip())
        if match is None or match[1] in fields:
            return None
        fields[match[1]] = int(match[2])
    if "in_flight" not in fields or max(fields.values()) > MAX_COUNT:
        return None
    return routing_api.LoadReport(
        in_flight=fields["in_flight"],
        queued=fields.get("queued", 0),
        draining=bool(fields.get("draining", 0)),
        cold=bool(fields.get("cold", 0)),
    )


def find_report(head: api.ResponseHead) -> routing_api.LoadReport | None:
    """Returns the load report in a response's headers, None if absent."""
    for name, value in head.headers:
        if name == LOAD_HEADER:
            return decode(value)
    return None


def is_shed(head: api.ResponseHead) -> bool:
    """Returns whether the response declares that the request was shed."""
    if head.status != _UNAVAILABLE:
        return False
    return (SHED_HEADER, b"1") in head.headers
