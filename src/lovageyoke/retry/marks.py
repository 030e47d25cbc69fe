"""Headers that propagate deadlines and retry limits along a call chain."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lovageyoke.errors import exceptions

DEADLINE_HEADER = b"lovageyoke-deadline-ms"
ATTEMPT_HEADER = b"lovageyoke-attempt"
NO_RETRY_HEADER = b"lovageyoke-no-retry"
HEADERS = frozenset((DEADLINE_HEADER, ATTEMPT_HEADER, NO_RETRY_HEADER))

MAX_DEADLINE_MS = 3_600_000
MAX_ATTEMPT = 255
MAX_DIGITS = 9


@attrs.frozen
class CallMarks:
    """Deadline and retry state of a request within its call chain.

    Services propagate the three headers to the calls that they make while
    serving a request, as they do with trace headers.

    Attributes:
        remaining_ms: Time left until the deadline, None if not stated.
        attempt: 0 for a first attempt; a retry or hedge adds one.
        no_retry: Whether retries and hedges are forbidden downstream.
    """

    remaining_ms: int | None = None
    attempt: int = 0
    no_retry: bool = False


def parse(headers: Iterable[tuple[bytes, bytes]]) -> CallMarks:
    """Parses the marks of a request.

    Args:
        headers: Headers of the request, names in lower case.

    Raises:
        CallerError: A mark is malformed or has conflicting values.
    """
    found: dict[bytes, int] = {}
    for name, value in headers:
        if name not in HEADERS:
            continue
        number = _parse_number(name, value)
        if found.setdefault(name, number) != number:
            raise exceptions.CallerError(
                f"header {name.decode()} is given twice with other values"
            )
    remaining_ms = found.get(DEADLINE_HEADER)
    if remaining_ms is not None:
        remaining_ms = min(remaining_ms, MAX_DEADLINE_MS)
    return CallMarks(
        remaining_ms=remaining_ms,
        attempt=min(found.get(ATTEMPT_HEADER, 0), MAX_ATTEMPT),
        no_retry=found.get(NO_RETRY_HEADER, 0) > 0,
    )


def encode(marks: CallMarks) -> tuple[tuple[bytes, bytes], ...]:
    """Returns the headers that carry the marks."""
    headers = []
    if marks.remaining_ms is not None:
        headers.append((DEADLINE_HEADER, b"%d" % marks.remaining_ms))
    headers.append((ATTEMPT_HEADER, b"%d" % marks.attempt))
    if marks.no_retry:
        headers.append((NO_RETRY_HEADER, b"1"))
    return tuple(headers)


def deadline_ms(marks: CallMarks, now_ms: float, default_ms: float) -> float:
    """Returns the monotonic deadline of a request.

    Args:
        marks: Marks of the request.
        now_ms: When the request arrived, in milliseconds.
        default_ms: The service's limit, which the caller can only shorten.
    """
    remaining_ms = default_ms
    if marks.remaining_ms is not None:
        remaining_ms = min(default_ms, marks.remaining_ms)
    return now_ms + remaining_ms


def for_upstream(
    received: CallMarks, attempt: int, now_ms: float, deadline: float
) -> CallMarks:
    """Returns the marks of one attempt at a request.

    Only the first attempt at a request that is itself a first attempt may be
    retried downstream. So only one chain of attempts can be retried at each
    depth, and the number of attempts grows linearly with the depth. Without
    marks it would grow exponentially.

    Args:
        received: Marks of the incoming request.
        attempt: Index of the attempt on this entry VM, from 0.
        now_ms: When the attempt is sent, in milliseconds.
        deadline: Monotonic deadline of the request.
    """
    return CallMarks(
        remaining_ms=max(0, int(deadline - now_ms)),
        attempt=min(received.attempt + attempt, MAX_ATTEMPT),
        no_retry=received.no_retry or received.attempt + attempt > 0,
    )


def _parse_number(name: bytes, value: bytes) -> int:
    text = value.strip()
    if not text.isdigit() or len(text) > MAX_DIGITS:
        raise exceptions.CallerError(
            f"header {name.decode()} must be a whole number"
            f" of at most {MAX_DIGITS} digits"
        )
    return int(text)
