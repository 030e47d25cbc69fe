"""The sending half of a client connection."""

from __future__ import annotations

import asyncio
import socket
import typing

from lovageyoke.hop import body_writer
from lovageyoke.hop import large_body
from lovageyoke.limits import memory_budget

# TCP user timeout, after which the connection to a dead peer is closed.
USER_TIMEOUT_MS = 10_000


class ClientTransport(asyncio.Protocol):
    """Writes requests and closes the connection.

    Attributes:
        transport: The transport, None before the connection is made.
        must_close: Whether the connection must not be reused.
        budget: Counts the bytes that the connection holds.
        writer: Writes a large request body, None if there was none.
    """

    def __init__(self, budget: memory_budget.MemoryBudget) -> None:
        self.transport: asyncio.Transport | None = None
        self.must_close = False
        self.budget = budget
        self.writer: body_writer.BodyWriter | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the TCP user timeout."""
        # uvloop's transports don't derive from asyncio's.
        self.transport = typing.cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def pause_writing(self) -> None:
        """Pauses writing a large body while the write buffer is full."""
        if self.writer is not None:
            self.writer.paused = True

    def resume_writing(self) -> None:
        """Continues after the write buffer has emptied."""
        if self.writer is not None:
            self.writer.paused = False
            self.writer.write()

    def write_request(
        self,
        transport: asyncio.Transport,
        head: bytes,
        body: bytes | large_body.LargeBody,
    ) -> None:
        """Writes a request, a large body as the peer reads it."""
        if isinstance(body, bytes) and len(body) < body_writer.MIN_BODY_BYTES:
            transport.write(head + body if body else head)
            return
        self.writer = body_writer.BodyWriter(transport, self.budget, body)
        transport.write(head)
        self.writer.write()

    def body_written(self) -> bool:
        """Returns whether the last request is completely written."""
        return self.writer is None or self.writer.complete

    def abort(self) -> None:
        """Closes the connection immediately, without flushing."""
        self.must_close = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()

    def close(self) -> None:
        """Closes the connection after the rest of the request's body."""
        self.must_close = True
        if self.writer is not None and not self.writer.complete:
            self.writer.close()
        elif self.transport is not None:
            self.transport.close()

    def drop_body(self) -> None:
        """Drops the rest of a body after the connection is lost."""
        if self.writer is not None:
            self.writer.release()
            self.writer = None
