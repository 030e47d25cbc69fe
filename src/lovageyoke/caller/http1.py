"""Restricts callers' connections to HTTP/1.1."""

from __future__ import annotations

import h11
from hypercorn import events
import hypercorn.protocol
from hypercorn.protocol import h11 as h11_protocol


class Http1Protocol(h11_protocol.H11Protocol):
    """The server library's protocol with two changes.

    HTTP/2 over clear text is disabled, as such a connection could stay open
    without a request indefinitely. A connection that its caller has closed is
    closed at once, not after the idle timeout.
    """

    async def handle(self, event: events.Event) -> None:
        """Handles received bytes or a close; closes after a close."""
        await super().handle(event)
        if isinstance(event, events.Closed):
            await self.send(event)

    async def _check_protocol(self, event: h11.Request) -> None:
        """Passes an HTTP/2 preface or upgrade to the application."""


def install() -> None:
    """Installs the protocol in the server library.

    The library has no setting for this.
    """
    hypercorn.protocol.H11Protocol = Http1Protocol  # type: ignore[attr-defined]
