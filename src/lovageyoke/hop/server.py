"""Server connections from callers, with pipelining.

Requests are parsed, handled one at a time and responded to in order.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import typing

import attrs
import httptools

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import kinds
from lovageyoke.hop import answers
from lovageyoke.hop import api
from lovageyoke.hop import line_limit
from lovageyoke.hop import messages

MAX_PIPELINED = 16  # Requests queued behind the one being handled.
LOW_WATER_BYTES = 32_768
HIGH_WATER_BYTES = 131_072
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@attrs.define
class ConnectionSet:
    """The open connections of one listener.

    Attributes:
        open: The connections.
        in_flight: Number of requests being handled.
    """

    open: set[CallerConnection] = attrs.field(factory=set)
    in_flight: int = 0

    def close_idle(self) -> None:
        """Closes the connections that have no request in progress."""
        for connection in list(self.open):
            if connection.idle():
                connection.close()


class CallerConnection(asyncio.Protocol, api.BodySink):
    """A connection from a caller.

    Attributes:
        handler: Handles the requests.
        clock: Source of time.
        connections: The listener's open connections.
        transport: The transport, None before the connection is made.
        queued: Complete requests queued behind the current one.
        task: Task that handles the current request, if any.
        current: The request being handled, if any.
        streaming: Whether a streamed response has been started.
        response_complete: Whether the current response is complete.
        read_timer: Read timeout for the next request.
    """

    def __init__(
        self,
        handler: api.RequestHandler,
        clock: clock_api.Clock,
        connections: ConnectionSet,
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.connections = connections
        self.transport: asyncio.Transport | None = None
        self.queued: collections.deque[messages.Request] = collections.deque()
        self.task: asyncio.Task[None] | None = None
        self.current: messages.Request | None = None
        self.streaming = False
        self.response_complete = False
        self.chunked = False
        self.rejected = False
        self.read_timer: asyncio.TimerHandle | None = None
        self.writable = asyncio.Event()
        self.writable.set()
        self.parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self.line_limit = line_limit.LineLimit()
        self.reset_message()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and waits for the first request."""
        # uvloop's transports don't derive from asyncio's.
        self.transport = typing.cast("asyncio.Transport", transport)
        self.transport.set_write_buffer_limits(
            high=HIGH_WATER_BYTES, low=LOW_WATER_BYTES
        )
        self.connections.open.add(self)
        # The time limit of a head starts with its first byte.
        self.start_read_timer(self.handler.limits().idle_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the current request if its handler allows that."""
        del exc
        self.connections.open.discard(self)
        self.stop_read_timer()
        self.queued.clear()
        self.writable.set()
        # The parser refers to this connection and may hold much of a request.
        self.parser = None
        self.reset_message()
        if self.task is None or self.current is None:
            return
        if self.handler.may_cancel(self.current):
            self.task.cancel()

    def eof_received(self) -> bool:
        """Treats a half-closed connection as closed by the caller."""
        return False

    def pause_writing(self) -> None:
        """Blocks ``wait_writable`` while the write buffer is full."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Releases ``wait_writable`` after the write buffer has emptied."""
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; rejects a malformed message."""
        if self.rejected or self.parser is None:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject_message(kinds.ErrorKind.BAD_REQUEST)
        except (
            httptools.HttpParserError,
            httptools.HttpParserCallbackError,
        ):
            self.reject_message(kinds.ErrorKind.BAD_REQUEST)
        pending_bytes = self.line_limit.record_bytes(len(data))
        if pending_bytes > self.handler.limits().header_bytes:
            self.reject_message(kinds.ErrorKind.HEAD_TOO_LARGE)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Starts a request and its read timeout."""
        self.reset_message()
        if self.current is None:
            self.start_read_timer(self.handler.limits().header_timeout_ms)

    def on_url(self, url: bytes) -> None:
        """Collects a part of the request target."""
        self.target += url
        self.add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self.line_limit.record_progress()
        self.headers.append((name.lower(), value))
        self.add_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Sends an interim response if the caller expects one."""
        self.line_limit.record_progress()
        expected = messages.first_value(self.headers, b"expect")
        if expected is not None and expected.lower() == b"100-continue":
            self.write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Buffers a chunk of the body and enforces the size limit."""
        self.line_limit.record_progress()
        if len(self.body) + len(body) > self.handler.limits().body_bytes:
            self.reject_message(kinds.ErrorKind.BODY_TOO_LARGE)
            return
        self.body += body

    def on_message_complete(self) -> None:
        """Queues a complete request and handles it when it is next."""
        self.line_limit.record_progress()
        if self.rejected or self.parser is None:
            return
        request = messages.Request(
            self.parser.get_method(),
            self.target,
            self.headers,
            bytes(self.body),
            self.parser.should_keep_alive(),
            self.clock.now_ms(),
        )
        self.reset_message()
        self.stop_read_timer()
        self.queued.append(request)
        if self.task is None:
            self.start_next()
        elif len(self.queued) >= MAX_PIPELINED and self.transport is not None:
            self.transport.pause_reading()

    # Responses

    def send_response(self, response: messages.Response) -> None:
        """Writes a complete response."""
        headers = answers.forwarded_headers(response)
        headers.append((b"content-length", str(len(response.body)).encode()))
        self.write_head(response, headers)
        if self.current is None or self.current.method != b"HEAD":
            self.write(response.body)
        self.complete_response()

    def start_response(self, response: messages.Response) -> None:
        """Starts a response whose body is streamed."""
        self.streaming = True
        headers = answers.forwarded_headers(response)
        length = response.header(b"content-length")
        self.chunked = length is None
        if length is not None:
            headers.append((b"content-length", length))
        else:
            headers.append((b"transfer-encoding", b"chunked"))
        self.write_head(response, headers)

    def write_body(self, chunk: bytes) -> None:
        """Writes a chunk of the body of a streamed response."""
        if self.chunked:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        self.write(chunk)

    def end_response(self) -> None:
        """Completes a streamed response."""
        if self.chunked:
            self.write(b"0\r\n\r\n")
        self.complete_response()

    async def wait_writable(self) -> None:
        """Waits until the write buffer is below its low-water mark."""
        await self.writable.wait()

    def abort(self) -> None:
        """Aborts the connection so that no response appears complete."""
        if self.transport is not None:
            self.transport.abort()

    # Internal methods

    def disconnected(self) -> bool:
        """Returns whether the connection is closed or closing."""
        return self.transport is None or self.transport.is_closing()

    def idle(self) -> bool:
        """Returns whether no request is in progress or being received."""
        return self.task is None and not self.queued and not self.target

    def close(self) -> None:
        """Closes the connection after flushing the write buffer."""
        if self.transport is not None:
            self.transport.close()

    def write(self, data: bytes) -> None:
        """Writes data unless the connection is closing."""
        if data and self.transport is not None and not self.disconnected():
            self.transport.write(data)

    def write_head(
        self, response: messages.Response, headers: messages.Headers
    ) -> None:
        """Writes the head of a response."""
        if self.closes_after_response():
            headers.append((b"connection", b"close"))
        start = b"HTTP/1.1 %d %b" % (response.status, response.reason)
        self.write(messages.encode_head(start, headers))

    def closes_after_response(self) -> bool:
        """Returns whether to close the connection after the response."""
        if self.current is None or not self.current.keep_alive:
            return True
        return self.handler.leaving() and not self.queued

    def start_next(self) -> None:
        """Starts to handle the next queued request."""
        self.current = self.queued.popleft()
        self.streaming = False
        self.response_complete = False
        self.connections.in_flight += 1
        self.task = asyncio.ensure_future(self.run(self.current))

    async def run(self, request: messages.Request) -> None:
        """Handles a request, then closes the connection or continues."""
        try:
            await self.handler.handle(request, self)
        except Exception as error:
            self.handler.report_error(request, error)
            if self.streaming or self.response_complete:
                self.abort()
            else:
                self.send_response(
                    answers.error_response(kinds.ErrorKind.INTERNAL)
                )
        finally:
            self.connections.in_flight -= 1
            self.task = None
            closes = self.closes_after_response()
            self.current = None
            if self.disconnected():
                self.queued.clear()
            elif closes:
                self.close()
            else:
                self.next_request()

    def next_request(self) -> None:
        """Handles the next queued request, or waits for one."""
        if self.queued:
            self.start_next()
            if self.transport is not None:
                self.transport.resume_reading()
            return
        if not self.target:
            self.start_read_timer(self.handler.limits().idle_timeout_ms)

    def complete_response(self) -> None:
        """Marks the current response as complete."""
        self.streaming = False
        self.response_complete = True

    def add_head_bytes(self, size: int) -> None:
        """Rejects a request whose head is too large."""
        self.head_bytes += size
        if self.head_bytes > self.handler.limits().header_bytes:
            self.reject_message(kinds.ErrorKind.HEAD_TOO_LARGE)

    def reject_message(self, kind: kinds.ErrorKind) -> None:
        """Responds to an unacceptable message and closes the connection."""
        if self.rejected:
            return
        self.rejected = True
        self.stop_read_timer()
        if self.task is None and not self.queued:
            self.current = None
            self.send_response(answers.error_response(kind))
            self.close()
            return
        # The response to an earlier request is still pending; the connection
        # is closed after it and no further request is parsed.
        if self.current is not None:
            self.current.keep_alive = False
        self.queued.clear()

    def start_read_timer(self, timeout_ms: float) -> None:
        """Closes the connection unless a complete request arrives in time."""
        self.stop_read_timer()
        loop = asyncio.get_running_loop()
        self.read_timer = loop.call_later(
            timeout_ms / 1_000.0, self.on_read_timeout
        )

    def on_read_timeout(self) -> None:
        """Closes an idle connection or rejects a slow request."""
        self.read_timer = None
        if self.target and not self.disconnected():
            self.reject_message(kinds.ErrorKind.REQUEST_TIMEOUT)
        else:
            self.close()

    def stop_read_timer(self) -> None:
        """Stops the read timeout."""
        if self.read_timer is not None:
            self.read_timer.cancel()
            self.read_timer = None

    def reset_message(self) -> None:
        """Resets the parse state for the next request."""
        self.target = b""
        self.headers: messages.Headers = []
        self.head_bytes = 0
        # Chunks of a few bytes each would take many times their size.
        self.body = bytearray()


ProtocolFactory = Callable[[], CallerConnection]


async def listen(
    factory: ProtocolFactory, host: str, port: int, backlog: int = 512
) -> asyncio.Server:
    """Starts a server that accepts connections.

    Args:
        factory: Creates the protocol of each connection.
        host: IP address.
        port: TCP port.
        backlog: Maximum number of connections waiting to be accepted.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        factory, host, port, backlog=backlog, reuse_address=True
    )
