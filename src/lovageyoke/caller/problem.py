"""Error responses to callers as problem+json (RFC 9457)."""

from __future__ import annotations

import orjson

from lovageyoke.caller import api
from lovageyoke.errors import exceptions
from lovageyoke.errors import table


def final_outcome(
    error: exceptions.LovageyokeError, may_have_run: bool
) -> table.Outcome:
    """Returns the outcome of a request after all of its attempts."""
    if may_have_run:
        return table.Outcome.UNKNOWN
    return error.response.outcome


async def send(
    error: exceptions.LovageyokeError, may_have_run: bool, send: api.Send
) -> None:
    """Sends the response for an error.

    Args:
        error: The error that ended the request.
        may_have_run: Whether an earlier attempt may have run.
        send: The ASGI send function.
    """
    answer = error.response
    outcome = final_outcome(error, may_have_run)
    body = orjson.dumps(
        {
            "type": f"urn:lovageyoke:error:{error.kind.value}",
            "title": answer.title,
            "status": answer.status,
            "detail": error.detail,
            "outcome": outcome.value,
        }
    )
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"content-length", str(len(body)).encode()),
        (table.OUTCOME_HEADER.encode(), outcome.value.encode()),
    ]
    if answer.retry_after_s is not None:
        headers.append((b"retry-after", str(answer.retry_after_s).encode()))
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": body})
