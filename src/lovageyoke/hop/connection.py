"""Client connections to upstreams and the store, without pipelining."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import socket
import typing

import attrs
import httptools

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.hop import api
from lovageyoke.hop import messages

# Larger response bodies are streamed instead of buffered.
STREAMING_THRESHOLD_BYTES = 1_048_576
MAX_HEAD_BYTES = 65_536
NO_BODY_STATUSES = frozenset({204, 304})
# A faulty peer may repeat any earlier refusal, so each one is remembered.
MAX_REFUSALS = 16
# TCP user timeout, after which the connection to a dead peer is closed.
USER_TIMEOUT_MS = 10_000

Kind = kinds.ErrorKind
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
    """

    request_id: bytes | None
    future: asyncio.Future[messages.Response]
    sink: api.BodySink | None = None
    head_only: bool = False
    on_head: OnHead | None = None


class ClientConnection(asyncio.Protocol):
    """A connection with exclusive ownership while it is out of the pool.

    A response that carries another request's ID is discarded, and the
    connection is not reused. Nor is a connection reused that received bytes
    after its response, or whose request was not completely written.

    Attributes:
        identity_header: Response header that carries the request ID.
        transport: The transport, None before the connection is made.
        exchange: The exchange in progress, if any.
        responses_received: Number of responses received over the connection.
        refused_ids: IDs of the requests that were answered with an error.
        idle_since_ms: Set by the pool when the connection is put back.
        keep_alive_ms: Idle timeout announced by the peer, None if absent.
        closed: Whether the connection is lost.
        must_close: Whether the connection must not be reused.
        on_closed: Called when the connection is lost.
    """

    def __init__(self, identity_header: bytes) -> None:
        self.identity_header = identity_header
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.responses_received = 0
        self.refused_ids: set[bytes | None] = set()
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None
        self.closed = False
        self.must_close = False
        self.on_closed: Callable[[ClientConnection], None] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.reset_message()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the TCP user timeout."""
        # uvloop's transports don't derive from asyncio's.
        self.transport = typing.cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange in progress."""
        self.closed = True
        self.fail(Kind.UPSTREAM_RESET, f"connection ended: {exc or 'closed'}")
        if self.on_closed is not None:
            self.on_closed(self)

    def eof_received(self) -> bool:
        """Completes a response whose body is delimited by the close."""
        self.must_close = True
        if self.exchange is not None and self.close_delimited:
            self.complete()
        return False

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; aborts if no exchange is in progress."""
        if self.exchange is None:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserCallbackError,
        ) as error:
            self.fail(Kind.UPSTREAM_PROTOCOL, f"malformed response: {error}")
            self.abort()
        except httptools.HttpParserUpgrade:
            self.fail(Kind.UPSTREAM_PROTOCOL, "unexpected protocol upgrade")
            self.abort()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Starts a response; without an exchange, it prevents reuse."""
        self.reset_message()
        if self.exchange is None:
            self.must_close = True

    def on_status(self, reason: bytes) -> None:
        """Collects the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header and enforces the size limit of the head."""
        self.headers.append((name.lower(), value))
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.fail(Kind.UPSTREAM_PROTOCOL, "response head too large")
            self.abort()

    def on_headers_complete(self) -> None:
        """Matches the response to the request and finds its body framing."""
        self.status = self.parser.get_status_code()
        if self.exchange is None or self.status < messages.FIRST_FINAL_STATUS:
            return
        if self.exchange.request_id is not None:
            received_id = messages.first_value(
                self.headers, self.identity_header
            )
            self.mismatched = self.is_mismatched(
                received_id, self.exchange.request_id
            )
            if self.mismatched:
                self.must_close = True
        if self.exchange.on_head is not None and not self.mismatched:
            self.exchange.on_head(self.status, self.headers)
        self.close_delimited = self.is_close_delimited(self.exchange)
        if self.exchange.head_only and not self.mismatched:
            # The parser would wait for the body that Content-Length announces.
            self.must_close = True
            self.complete()

    def on_body(self, body: bytes) -> None:
        """Buffers or streams a chunk of the body."""
        if self.exchange is None or self.mismatched:
            return
        sink = self.exchange.sink
        if self.streaming and sink is not None:
            sink.write_body(body)
            self.pause_until_writable(sink)
            return
        self.chunks.append(body)
        self.body_bytes += len(body)
        if self.body_bytes > STREAMING_THRESHOLD_BYTES and sink is not None:
            self.start_streaming(sink)

    def on_message_complete(self) -> None:
        """Completes the exchange if the response belongs to its request."""
        if (
            self.exchange is None
            or self.status < messages.FIRST_FINAL_STATUS
            or self.mismatched
        ):
            return
        self.complete()

    # Used by the owner

    def send_request(
        self,
        head: bytes,
        body: bytes,
        request_id: bytes | None,
        sink: api.BodySink | None = None,
        *,
        head_only: bool = False,
        on_head: OnHead | None = None,
    ) -> asyncio.Future[messages.Response]:
        """Sends a request.

        Args:
            head: Request line and headers.
            body: The complete body.
            request_id: ID that the response must carry, None for any.
            sink: Receives a large response body as it arrives.
            head_only: Whether the response will have no body.
            on_head: Called with the status and headers of the response when
                they are complete.

        Returns:
            A future of the response. It fails with ``UpstreamError``.
        """
        if self.transport is None:
            raise exceptions.UpstreamError(
                "the connection is not open", Kind.NOTHING_WRITTEN
            )
        future = asyncio.get_running_loop().create_future()
        self.exchange = Exchange(request_id, future, sink, head_only, on_head)
        self.transport.write(head + body if body else head)
        return future

    def usable(self) -> bool:
        """Returns whether the connection can carry another request."""
        return not (
            self.closed
            or self.must_close
            or self.exchange is not None
            or self.transport is None
            or self.transport.is_closing()
            or self.transport.get_write_buffer_size() > 0
        )

    def distinguishes(self, request_id: bytes | None) -> bool:
        """Returns whether a repeated earlier response would be recognised.

        A response is matched to its request by the ID alone, so a request
        needs one that was not refused before on the same connection.

        Args:
            request_id: ID of the next request, None if it has none.
        """
        if request_id is None:
            return self.responses_received == 0
        return request_id not in self.refused_ids

    def abort(self) -> None:
        """Closes the connection immediately, without flushing."""
        self.must_close = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()

    def close(self) -> None:
        """Closes an idle connection."""
        self.must_close = True
        if self.transport is not None:
            self.transport.close()

    # Internal methods

    def reset_message(self) -> None:
        """Resets the parse state for the next response."""
        self.status = 0
        self.reason = b""
        self.headers: messages.Headers = []
        self.head_bytes = 0
        self.chunks: list[bytes] = []
        self.body_bytes = 0
        self.mismatched = False
        self.close_delimited = False
        self.streaming = False

    def is_mismatched(
        self, received_id: bytes | None, expected_id: bytes
    ) -> bool:
        """Returns whether a response belongs to another request.

        A response without an ID is accepted only as the first one on a
        connection, where no earlier request can have caused it.
        """
        if received_id is None:
            return self.responses_received > 0
        return received_id != expected_id

    def is_close_delimited(self, exchange: Exchange) -> bool:
        """Returns whether the body ends when the connection is closed."""
        if exchange.head_only or self.status in NO_BODY_STATUSES:
            return False
        names = {name for name, _ in self.headers}
        return not names & {b"content-length", b"transfer-encoding"}

    def start_streaming(self, sink: api.BodySink) -> None:
        """Passes the buffered body to the sink and streams the rest."""
        self.streaming = True
        sink.start_response(self.response(b""))
        for chunk in self.chunks:
            sink.write_body(chunk)
        self.chunks = []
        self.pause_until_writable(sink)

    def pause_until_writable(self, sink: api.BodySink) -> None:
        """Pauses reading until the sink can accept more data."""
        if self.transport is None:
            return
        self.transport.pause_reading()
        task = asyncio.ensure_future(sink.wait_writable())
        task.add_done_callback(self.on_sink_writable)

    def on_sink_writable(self, task: asyncio.Task[None]) -> None:
        """Resumes reading, or aborts if waiting for the sink failed."""
        if not task.cancelled() and task.exception() is None:
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()
            return
        self.abort()

    def response(self, body: bytes) -> messages.Response:
        """Returns the parsed response with the given body."""
        return messages.Response(
            self.status,
            self.reason,
            self.headers,
            body,
            streamed=self.streaming,
        )

    def complete(self) -> None:
        """Completes the exchange with the parsed response."""
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        self.responses_received += 1
        if self.status >= messages.FIRST_ERROR_STATUS:
            self.refused_ids.add(exchange.request_id)
        self.keep_alive_ms = messages.keep_alive_timeout_ms(self.headers)
        response = self.response(b"".join(self.chunks))
        self.chunks = []
        if (
            self.close_delimited
            or not self.parser.should_keep_alive()
            or len(self.refused_ids) >= MAX_REFUSALS
        ):
            self.must_close = True
        response.reusable = not self.must_close
        if not exchange.future.done():
            exchange.future.set_result(response)

    def fail(self, kind: kinds.ErrorKind, detail: str) -> None:
        """Completes the exchange with an error."""
        if self.exchange is None:
            return
        exchange, self.exchange = self.exchange, None
        self.must_close = True
        if self.status and self.chunks:
            kind = Kind.RESPONSE_TRUNCATED
        if not exchange.future.done():
            exchange.future.set_exception(
                exceptions.UpstreamError(detail, kind)
            )


async def connect(
    host: str, port: int, identity_header: bytes, timeout_ms: float
) -> ClientConnection:
    """Opens a connection.

    Args:
        host: IP address.
        port: TCP port.
        identity_header: Response header that carries the request ID.
        timeout_ms: Connect timeout in milliseconds.

    Raises:
        UpstreamError: The connection failed; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1_000.0):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(identity_header), host, port
            )
    # An address that no socket accepts raises other errors than OSError.
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        raise exceptions.UpstreamError(
            f"cannot connect to {host}:{port}: {error!r}", Kind.CONNECT_FAILED
        ) from error
    return connection
