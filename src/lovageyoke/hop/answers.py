"""Responses to callers: forwarded headers and error responses."""

from __future__ import annotations

import random

from lovageyoke.errors import kinds
from lovageyoke.errors import table
from lovageyoke.hop import messages

REJECTION_RETRY_AFTER_MS = (500.0, 1_500.0)


def forwarded_headers(response: messages.Response) -> messages.Headers:
    """Returns the response headers that are forwarded to the caller."""
    return [
        each
        for each in messages.end_to_end(response.headers)
        if each[0] != b"content-length"
    ]


def error_response(
    kind: kinds.ErrorKind, retry_after_ms: float | None = None
) -> messages.Response:
    """Returns the response for an error.

    Args:
        kind: The error kind.
        retry_after_ms: Retry-After value in milliseconds, which replaces the
            default; sent only for error kinds that have a default.
    """
    answer = table.response_for(kind)
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (table.OUTCOME_HEADER.encode(), answer.outcome.value.encode()),
    ]
    if answer.retry_after_s is not None:
        seconds = float(answer.retry_after_s)
        if retry_after_ms is not None:
            seconds = retry_after_ms / 1_000.0
        headers.append((b"retry-after", f"{seconds:.3f}".encode()))
    body = f"{answer.title}.\n".encode()
    return messages.Response(answer.status, kind.value.encode(), headers, body)


def rejection(kind: kinds.ErrorKind) -> messages.Response:
    """Returns the response to a message that can't be accepted.

    Many may be refused at once for want of memory; they should not return in
    step.
    """
    spread_ms = random.uniform(*REJECTION_RETRY_AFTER_MS)  # noqa: S311
    return error_response(kind, spread_ms)
