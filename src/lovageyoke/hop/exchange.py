"""A request in progress on a client connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from lovageyoke.hop import api
from lovageyoke.hop import messages

OnHead = Callable[[int, messages.Headers], None]


@attrs.define
class Exchange:
    """A request in progress on a connection, and its response.

    Attributes:
        request_id: Value that the response's identity header must have, None
            if any response is accepted.
        future: Future that receives the response or the error.
        sink: Receives a large body as it arrives, None to buffer all bodies.
        head_only: Whether the response has no body, as for HEAD requests.
        on_head: Called with the status and headers of the response when they
            are complete.
        most_body_bytes: Largest body if there is no sink.
        interim_responses: Number of interim responses received.
    """

    request_id: bytes | None
    future: asyncio.Future[messages.Response]
    sink: api.BodySink | None = None
    head_only: bool = False
    on_head: OnHead | None = None
    most_body_bytes: int = 0
    interim_responses: int = 0
