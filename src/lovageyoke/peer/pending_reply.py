"""The pending reply to a request."""

from __future__ import annotations

import anyio

from lovageyoke.peer import api


class PendingReply:
    """Holds the outcome of a request.

    Attributes:
        reply: The reply, or None if there is none yet.
        error: Why the request failed, or "".
        resolved: Set when a reply or an error is stored.
    """

    def __init__(self) -> None:
        self.reply: api.Message | None = None
        self.error = ""
        self.resolved = anyio.Event()

    def resolve(self, reply: api.Message | None, error: str = "") -> None:
        """Stores the first outcome; ignores later ones."""
        if not self.resolved.is_set():
            self.reply = reply
            self.error = error
            self.resolved.set()
