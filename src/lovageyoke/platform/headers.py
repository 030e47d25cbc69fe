"""Names and decoders of the platform's HTTP headers."""

from __future__ import annotations

import math
import re

from lovageyoke.errors import exceptions
from lovageyoke.hop import messages
from lovageyoke.hop import names
from lovageyoke.routing import load_view
from lovageyoke.routing import model_checks

USUAL_PACE_PERCENT = 100.0
MIN_LOAD_FIELDS = 3
# A plain decimal number; the number of digits keeps it finite.
_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
_COUNT = re.compile(rb"\s*\d{1,9}\s*")
MAX_LOGGED_BYTES = 60

NAMES = names.HeaderNames(
    request_id=b"x-request-id",
    deadline=b"x-deadline-ms",
    expected_upstream=b"x-expected-instance",
    # Identifies the upstream that responded, not the expected one.
    answering_upstream=b"x-instance-id",
    load=b"x-backend-load",
    rate_limit=b"server-limit",
    not_executed=b"x-not-executed",
    signature=b"x-response-signature",
    api_key=b"api-key",
    account=b"x-tenant-id",
    cold_time_left=b"x-cold-remaining-ms",
)


def decode_load(value: bytes | None) -> load_view.LoadReport | None:
    """Decodes a load header, None if it is absent or malformed.

    The value is ``running,waiting,slots``. Some upstreams add a fourth
    number: the current processing time in percent of the usual one.
    """
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) < MIN_LOAD_FIELDS:
        return None
    if any(_COUNT.fullmatch(part) is None for part in parts):
        return None
    fields = [int(part) for part in parts]
    pace = None
    if len(fields) > MIN_LOAD_FIELDS:
        pace = max(1.0, fields[MIN_LOAD_FIELDS]) / USUAL_PACE_PERCENT
    return load_view.LoadReport(fields[0], fields[1], fields[2], pace)


def decode_rate_limit(headers: messages.Headers) -> float | None:
    """Decodes the requests per second that an upstream accepts.

    Args:
        headers: The headers of its response.

    Returns:
        The limit, at least 0, or None if the response states none.

    Raises:
        DecodeError: The limit is malformed or stated twice.
    """
    values = [value for name, value in headers if name == NAMES.rate_limit]
    if not values:
        return None
    text = values[0].strip()
    if len(values) > 1 or _DECIMAL.fullmatch(text) is None:
        stated = b", ".join(values)[:MAX_LOGGED_BYTES]
        raise exceptions.DecodeError(f"invalid rate limit: {stated!r}")
    return float(text)


def decode_cold_time(value: bytes | None) -> float | None:
    """Decodes for how long an upstream is still cold, in ms.

    Returns:
        The time, 0 if it isn't cold, None if it is absent or malformed.
    """
    if value is None or _DECIMAL.fullmatch(value.strip()) is None:
        return None
    return min(float(value), model_checks.MAX_COLD_MS)


def decode_deadline(value: bytes | None) -> float | None:
    """Decodes the time left until the deadline in ms, None if absent."""
    if value is None:
        return None
    try:
        deadline_ms = float(value)
    except ValueError:
        return None
    return max(0.0, deadline_ms) if math.isfinite(deadline_ms) else None
