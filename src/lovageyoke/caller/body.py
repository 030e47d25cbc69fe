"""Reading of request bodies."""

from __future__ import annotations

import anyio

from lovageyoke.caller import api
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.transport import timers

Kind = kinds.ErrorKind


def check_content_length(value: bytes, max_bytes: int) -> None:
    """Rejects a body whose Content-Length exceeds the limit.

    Raises:
        CallerError: Kind BODY_TOO_LARGE.
    """
    if value.isdigit() and int(value) > max_bytes:
        raise exceptions.CallerError(
            f"the body may have at most {max_bytes} bytes",
            Kind.BODY_TOO_LARGE,
        )


async def read_until_deadline(
    deadline_ms: float,
    timer_queue: timers.Timers,
    receive: api.Receive,
    max_bytes: int,
) -> bytes:
    """Returns the complete body if it arrives before a monotonic deadline.

    Raises:
        CallerError: Kind BODY_TOO_LARGE, CALLER_GONE or
            DEADLINE_BEFORE_DISPATCH.
    """
    with anyio.CancelScope() as scope:
        timer = timer_queue.call_at(deadline_ms, scope.cancel)
        try:
            return await read(receive, max_bytes)
        finally:
            timer.cancel()
    raise exceptions.CallerError(
        "the request body was incomplete at the deadline",
        Kind.DEADLINE_BEFORE_DISPATCH,
    )


async def read(receive: api.Receive, max_bytes: int) -> bytes:
    """Returns the complete body.

    Raises:
        CallerError: Kind BODY_TOO_LARGE or CALLER_GONE.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise exceptions.CallerError(
                "the caller disconnected before the request was complete",
                Kind.CALLER_GONE,
            )
        part = message.get("body", b"")
        size += len(part)
        check_content_length(str(size).encode(), max_bytes)
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)
