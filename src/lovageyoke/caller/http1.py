"""Keeps callers' connections to HTTP/1.1."""

from __future__ import annotations

import h11
from hypercorn import events
import hypercorn.protocol
from hypercorn.protocol import h11 as h11_protocol


class Http1Protocol(h11_protocol.H11Protocol):
    """The server library's protocol, with two of its habits changed.

    A connection that changed to HTTP/2 in clear text could be held open
    without a request for as long as its caller liked. A connection that its
    caller has closed would be kept until its idle time ends.
    """

    async def handle(self, event: events.Event) -> None:
        """Handles bytes or a close; a close is answered with a close."""
        await super().handle(event)
        if isinstance(event, events.Closed):
            await self.send(event)

    async def _check_protocol(self, event: h11.Request) -> None:
        """Leaves an HTTP/2 preface or upgrade to the application."""


def install() -> None:
    """Makes the server library use the protocol for its connections.

    The library has no setting for it.
    """
    hypercorn.protocol.H11Protocol = Http1Protocol  # type: ignore[attr-defined]
