"""Headers that bound time and retries along a chain of calls."""

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
    """What a request says of the chain of calls that it belongs to.

    Services pass the three headers on with the calls that they make while
    they serve a request, as they do with trace headers.

    Attributes:
        remaining_ms: Time left for the request, or None when not stated.
        attempt: 0 for a first attempt; a retry or hedge adds one.
        no_retry: Whether nobody further down may retry or hedge.
    """

    remaining_ms: int | None = None
    attempt: int = 0
    no_retry: bool = False


def parse(headers: Iterable[tuple[bytes, bytes]]) -> CallMarks:
    """Reads the marks of a request.

    Args:
        headers: Headers of the request, names in lower case.

    Raises:
        CallerError: A mark is malformed or given twice with other values.
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
    """Returns the monotonic time by which a request must be answered.

    Args:
        marks: Marks of the request.
        now_ms: When the request arrived, in milliseconds.
        default_ms: The service's own bound; the caller can only shorten it.
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
    retried further down. So of the attempts that reach any depth, only one
    chain can be retried at all: the number grows with the depth, where it
    would grow as a power of it without marks.

    Args:
        received: Marks of the request as it came in.
        attempt: 0 for this entry's first attempt.
        now_ms: When the attempt is sent, in milliseconds.
        deadline: Monotonic time by which it must be answered.
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
