"""Decides which request a received response answers, and where it ends."""

from __future__ import annotations

import re

from lovageyoke.hop import messages

NO_BODY_STATUSES = frozenset({204, 304})
# Where a response is cut short, the next one begins inside one of its lines.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: |$)")
_STATUS_LINE_START = b"HTTP/1."


def answers_other_request(
    headers: messages.Headers,
    identity_header: bytes,
    expected_id: bytes,
    is_first: bool,
) -> bool:
    """Returns whether a response belongs to another request.

    Args:
        headers: The headers of the response.
        identity_header: Name of the header that carries the request ID.
        expected_id: ID of the request in progress.
        is_first: Whether it is the first response on its connection, so that
            no earlier request can have caused it. Only such a response needs
            no ID.
    """
    received = {value for name, value in headers if name == identity_header}
    if not received:
        return not is_first
    return received != {expected_id}


def ends_with_connection(status: int, headers: messages.Headers) -> bool:
    """Returns whether the end of the connection ends the body.

    Args:
        status: Status of the response, 0 before its head is complete.
        headers: Its headers.
    """
    if status < messages.FIRST_FINAL_STATUS or status in NO_BODY_STATUSES:
        return False
    names = {name for name, _ in headers}
    return not names & {b"content-length", b"transfer-encoding"}


def contains_status_line(text: bytes) -> bool:
    """Returns whether a reason phrase or header value has a status line."""
    if _STATUS_LINE_START not in text:
        return False
    return _STATUS_LINE.search(text) is not None
