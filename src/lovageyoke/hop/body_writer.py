"""Writes a large request body to an upstream as fast as it is read."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from lovageyoke.hop import large_body
from lovageyoke.limits import memory_budget

# Smaller bodies are written at once, with the head.
MIN_BODY_BYTES = 65_536
PIECE_BYTES = 65_536
# An upstream that has answered and reads none of the rest for this time is
# disconnected.
REST_TIMEOUT_S = 10.0


def pieces_of(body: bytes | large_body.LargeBody) -> Iterator[memoryview]:
    """Returns a body in pieces that are written at once."""
    if isinstance(body, large_body.LargeBody):
        yield from body.pieces()
        return
    view = memoryview(body)
    for start in range(0, len(body), PIECE_BYTES):
        yield view[start : start + PIECE_BYTES]


class BodyWriter:
    """Writes the pieces of a body while the write buffer has room.

    A transport would copy a whole body into its write buffer. The upstream
    may answer before it has read the body; it still gets all of it.

    Attributes:
        transport: The connection to the upstream.
        budget: Counts the rest of the body after the response.
        left_bytes: Number of bytes that are left to write.
        pieces: The rest of the body, the next piece last.
        paused: Whether the write buffer is full.
        charged_bytes: Bytes that are counted in the budget. Before the
            response they are counted for the caller's request.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        budget: memory_budget.MemoryBudget,
        body: bytes | large_body.LargeBody,
    ) -> None:
        self.transport = transport
        self.budget = budget
        self.left_bytes = len(body)
        self.pieces = list(pieces_of(body))
        self.pieces.reverse()
        self.paused = False
        self.charged_bytes = 0
        self.timer: asyncio.TimerHandle | None = None

    @property
    def complete(self) -> bool:
        """Whether the whole body is written to the transport."""
        return not self.left_bytes

    def write(self) -> None:
        """Writes until the write buffer is full or the body is complete."""
        if self.timer is not None:
            self.start_timer()
        while self.pieces and not self.paused:
            piece = self.pieces.pop()
            self.left_bytes -= len(piece)
            # May set ``paused``.
            self.transport.write(piece)
        if not self.pieces:
            self.release()

    def close(self) -> None:
        """Closes the connection once the body is written."""
        self.start_timer()
        self.charged_bytes = self.left_bytes
        self.budget.take(self.charged_bytes)

    def release(self) -> None:
        """Drops the body."""
        self.left_bytes = 0
        self.pieces = []
        self.budget.take(-self.charged_bytes)
        self.charged_bytes = 0
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
            # A transport that is closed while it resumes writing reports the
            # end of the connection twice.
            loop = asyncio.get_running_loop()
            loop.call_soon(self.transport.close)

    def start_timer(self) -> None:
        """Starts to wait for the upstream to read more."""
        if self.timer is not None:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(REST_TIMEOUT_S, self.transport.abort)
