"""One request of a caller and its response, in the order of the requests."""

from __future__ import annotations

import asyncio
import typing

from lovageyoke.hop import answers
from lovageyoke.hop import api
from lovageyoke.hop import messages

if typing.TYPE_CHECKING:
    from lovageyoke.hop import server

# Larger bodies are written on their own rather than copied behind the head.
MAX_JOINED_BODY_BYTES = 16_384


class CallerExchange(api.ResponseWriter):
    """A request and the response that the caller gets in its turn.

    A response is written at once if it is first in the order of the
    connection's requests, and held otherwise. A response whose body is
    streamed is held with the body received so far: ``wait_writable`` doesn't
    return before its turn, so the upstream is not read any further.

    Attributes:
        connection: The caller's connection.
        request: The request; None for the rejection of a message that isn't
            one.
        request_bytes: Bytes that the request holds.
        response_bytes: Bytes that the held response has.
        task: Handles the request, None before and after.
        first: Whether all earlier responses are complete.
        started: Whether the task has begun to run.
        done: Whether the request has been handled.
        streaming: Whether a streamed response has been started and isn't
            complete.
        response_complete: Whether the response is complete.
        closes: Whether the connection is closed after this response.
        held: The head of a response that waits for its turn, with the body
            unless that is streamed.
        held_chunks: What was received of a streamed body before its turn.
        aborted: Whether the connection has to be aborted in its turn.
    """

    def __init__(
        self,
        connection: server.CallerConnection,
        request: messages.Request | None,
        first: bool,
        request_bytes: int = 0,
    ) -> None:
        self.connection = connection
        self.request = request
        self.request_bytes = request_bytes
        self.response_bytes = 0
        self.task: asyncio.Task[None] | None = None
        self.first = first
        self.started = False
        self.done = False
        self.streaming = False
        self.streamed = False
        self.response_complete = False
        self.closes = False
        self.chunked = False
        self.held: messages.Response | None = None
        self.held_chunks: list[bytes] = []
        self.aborted = False
        self.turn: asyncio.Event | None = None

    # Responses

    def send_response(self, response: messages.Response) -> None:
        """Writes a complete response."""
        self.response_complete = True
        if not self.first:
            self.held = response
            self.hold(len(response.body))
            return
        headers = answers.forwarded_headers(response)
        headers.append((b"content-length", str(len(response.body)).encode()))
        head = self.encode_head(response, headers)
        body = response.body
        if self.request is not None and self.request.method == b"HEAD":
            body = b""
        if len(body) <= MAX_JOINED_BODY_BYTES:
            self.connection.write(head + body)
        else:
            self.connection.write(head)
            self.connection.write(body)

    def start_response(self, response: messages.Response) -> None:
        """Starts a response whose body is streamed."""
        self.streaming = True
        self.streamed = True
        if not self.first:
            self.held = response
            return
        headers = answers.forwarded_headers(response)
        length = response.header(b"content-length")
        self.chunked = length is None
        if length is not None:
            headers.append((b"content-length", length))
        else:
            headers.append((b"transfer-encoding", b"chunked"))
        self.connection.write(self.encode_head(response, headers))

    def write_body(self, chunk: bytes) -> None:
        """Writes a chunk of the body of a streamed response."""
        if not self.first:
            self.held_chunks.append(chunk)
            self.hold(len(chunk))
            return
        if self.chunked:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        self.connection.write(chunk)

    def end_response(self) -> None:
        """Completes a streamed response."""
        self.streaming = False
        self.response_complete = True
        if self.first and self.chunked:
            self.connection.write(b"0\r\n\r\n")

    async def wait_writable(self) -> None:
        """Waits for its turn and until the write buffer has emptied."""
        if not self.first:
            if self.turn is None:
                self.turn = asyncio.Event()
            await self.turn.wait()
        await self.connection.writable.wait()

    def abort(self) -> None:
        """Aborts the connection so that this response never seems complete.

        Earlier responses are still completed.
        """
        if self.first:
            self.connection.abort()
        else:
            self.aborted = True

    # Used by the connection

    def start_turn(self) -> None:
        """Writes what was held until all earlier responses were complete."""
        self.first = True
        self.hold(-self.response_bytes)
        if self.aborted:
            self.connection.abort()
        held, self.held = self.held, None
        if held is not None and self.streamed:
            self.write_held_stream(held)
        elif held is not None:
            self.send_response(held)
        if self.turn is not None:
            self.turn.set()

    def write_held_stream(self, response: messages.Response) -> None:
        """Writes the part of a streamed response that was held."""
        is_complete = self.response_complete
        chunks, self.held_chunks = self.held_chunks, []
        self.start_response(response)
        for chunk in chunks:
            self.write_body(chunk)
        if is_complete:
            self.end_response()

    def drop(self) -> None:
        """Drops what is held after the connection is closed."""
        self.first = True
        self.hold(-self.response_bytes)
        self.held = None
        self.held_chunks = []
        if self.turn is not None:
            self.turn.set()

    # Internal methods

    def hold(self, size: int) -> None:
        """Counts bytes of a response that waits for its turn."""
        self.response_bytes += size
        self.connection.pipeline.held_bytes += size
        if size > 0:
            self.connection.update_charge()

    def encode_head(
        self, response: messages.Response, headers: messages.Headers
    ) -> bytes:
        """Returns the head; decides whether the connection is closed."""
        self.closes = self.connection.closes_after(self)
        if self.closes:
            headers.append((b"connection", b"close"))
        start = b"HTTP/1.1 %d %b" % (response.status, response.reason)
        return messages.encode_head(start, headers)
