"""Response bodies of the operator API and bounded request bodies."""

from __future__ import annotations

from typing import Any

import cattrs
import orjson
from starlette import requests
from starlette import responses

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.errors import table

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
MAX_BODY_BYTES = 4_000_000


def json_response(value: object) -> responses.Response:
    """Returns an attrs instance or plain data as a JSON response."""
    body = orjson.dumps(cattrs.unstructure(value))
    return responses.Response(body, media_type=JSON_TYPE)


async def problem_response(
    request: requests.Request, error: Exception
) -> responses.Response:
    """Returns the problem+json response for an error."""
    del request
    if not isinstance(error, exceptions.LovageyokeError):
        error = exceptions.LovageyokeError("internal error")
    response = error.response
    body: dict[str, Any] = {
        "type": f"urn:lovageyoke:error:{error.kind.value}",
        "title": response.title,
        "status": response.status,
        "detail": error.detail,
        "outcome": response.outcome.value,
    }
    if isinstance(error, exceptions.ValidationError):
        body["problems"] = list(error.problems)
    headers = {table.OUTCOME_HEADER: response.outcome.value}
    if response.retry_after_s is not None:
        headers["retry-after"] = str(response.retry_after_s)
    if response.status == 401:  # noqa: PLR2004
        headers["www-authenticate"] = "Bearer"
    return responses.Response(
        orjson.dumps(body), response.status, headers, PROBLEM_TYPE
    )


async def read_body(request: requests.Request) -> bytes:
    """Returns the body of a request, up to a maximum size.

    Raises:
        CallerError: Kind BODY_TOO_LARGE.
    """
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise exceptions.CallerError(
                f"the body exceeds {MAX_BODY_BYTES} bytes",
                kinds.ErrorKind.BODY_TOO_LARGE,
            )
    return bytes(body)
