"""Client connections to upstreams and the store, without pipelining."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.hop import api
from lovageyoke.hop import client_transport
from lovageyoke.hop import exchange as hop_exchange
from lovageyoke.hop import large_body
from lovageyoke.hop import line_limit
from lovageyoke.hop import messages
from lovageyoke.hop import response_body
from lovageyoke.hop import response_checks
from lovageyoke.limits import memory_budget
from lovageyoke.schema import status as http_status

STREAMING_THRESHOLD_BYTES = response_body.STREAMING_THRESHOLD_BYTES
MAX_HEAD_BYTES = 65_536
MAX_INTERIM_RESPONSES = 64  # Before one final response.
# A faulty peer may repeat any earlier refusal, so each one is remembered.
MAX_REFUSALS = 16

Kind = kinds.ErrorKind


class ClientConnection(client_transport.ClientTransport):
    """A connection with exclusive ownership while it is out of the pool.

    A response that carries another request's ID is discarded, and the
    connection is not reused. Nor is a connection reused that received bytes
    after its response, or whose request was not completely written.

    Attributes:
        identity_header: Response header that carries the request ID.
        body: The part of a response body that has not been passed on.
        exchange: The exchange in progress, if any.
        responses_received: Number of responses received over the connection.
        refused_ids: IDs of the requests that were answered with an error.
        idle_since_ms: Set by the pool when the connection is put back.
        keep_alive_ms: Idle timeout announced by the peer, None if absent.
        closed: Whether the connection is lost.
        on_closed: Called when the connection is lost.
        parser: Parses the responses, None once the connection is lost. It
            refers to this connection and may hold much of a response.
    """

    def __init__(
        self,
        identity_header: bytes,
        budget: memory_budget.MemoryBudget | None = None,
    ) -> None:
        super().__init__(budget or memory_budget.unlimited())
        self.identity_header = identity_header
        self.body = response_body.ResponseBody(self.budget)
        self.exchange: hop_exchange.Exchange | None = None
        self.responses_received = 0
        self.refused_ids: set[bytes | None] = set()
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None
        self.closed = False
        self.on_closed: Callable[[ClientConnection], None] | None = None
        self.parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self.line_limit = line_limit.LineLimit()
        self.reset_message()

    # asyncio.Protocol

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange in progress."""
        self.closed = True
        self.fail(Kind.UPSTREAM_RESET, f"connection ended: {exc or 'closed'}")
        self.parser = None
        self.reset_message()
        self.drop_body()
        if self.on_closed is not None:
            self.on_closed(self)

    def eof_received(self) -> bool:
        """Completes a response whose body is delimited by the close."""
        self.must_close = True
        # Only the answer to the request in progress ends with the connection;
        # a copy of an earlier one leaves the request unanswered.
        if self.exchange is not None and self.is_close_delimited():
            self.complete()
        return False

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; aborts if no exchange is in progress."""
        if self.exchange is None or self.parser is None:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserCallbackError,
        ) as error:
            self.reject(f"malformed response: {error}")
        except httptools.HttpParserUpgrade:
            self.reject("unexpected protocol upgrade")
        if self.line_limit.record_bytes(len(data)) > MAX_HEAD_BYTES:
            self.reject("endless line in a response")

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Starts a response; without an exchange, it prevents reuse."""
        self.reset_message()
        if self.exchange is None:
            self.must_close = True

    def on_status(self, reason: bytes) -> None:
        """Collects the reason phrase."""
        self.reason += reason
        if response_checks.contains_status_line(self.reason):
            self.reject("a second response begins in the status line")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header and enforces the size limit of the head."""
        self.line_limit.record_progress()
        self.headers.append((name.lower(), value))
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.reject("response head too large")
        elif response_checks.contains_status_line(value):
            self.reject("a second response begins in a header")

    def on_headers_complete(self) -> None:
        """Matches the response to the request and finds its body framing."""
        self.line_limit.record_progress()
        if self.exchange is None or self.parser is None:
            return
        self.status = self.parser.get_status_code()
        if not http_status.is_valid(self.status):
            self.reject(f"invalid status {self.status:03}")
            return
        if self.status < messages.FIRST_FINAL_STATUS:
            self.count_interim_response(self.exchange)
            return
        if self.exchange.request_id is not None:
            self.mismatched = response_checks.answers_other_request(
                self.headers,
                self.identity_header,
                self.exchange.request_id,
                is_first=self.responses_received == 0,
            )
            if self.mismatched:
                self.must_close = True
        if self.exchange.on_head is not None and not self.mismatched:
            self.exchange.on_head(self.status, self.headers)
        if self.exchange.head_only and not self.mismatched:
            # The parser would wait for the body that Content-Length announces.
            self.must_close = True
            self.complete()

    def on_body(self, body: bytes) -> None:
        """Buffers or streams a chunk of the body."""
        self.line_limit.record_progress()
        if self.exchange is None or self.mismatched:
            return
        sink = self.exchange.sink
        if self.streaming and sink is not None:
            sink.write_body(body)
            self.pause_until_writable(sink)
            return
        self.body.add(body)
        if sink is None:
            if len(self.body.collected) > self.exchange.most_body_bytes:
                self.reject("response body too large")
        elif self.body.should_stream():
            self.start_streaming(sink)

    def on_message_complete(self) -> None:
        """Completes the exchange if the response belongs to its request."""
        self.line_limit.record_progress()
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
        body: bytes | large_body.LargeBody,
        request_id: bytes | None,
        sink: api.BodySink | None = None,
        *,
        head_only: bool = False,
        on_head: hop_exchange.OnHead | None = None,
        most_body_bytes: int = STREAMING_THRESHOLD_BYTES,
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
            most_body_bytes: Largest response body if there is no sink.

        Returns:
            A future of the response. It fails with ``UpstreamError``.
        """
        if self.transport is None:
            raise exceptions.UpstreamError(
                "the connection is not open", Kind.NOTHING_WRITTEN
            )
        future = asyncio.get_running_loop().create_future()
        self.exchange = hop_exchange.Exchange(
            request_id, future, sink, head_only, on_head, most_body_bytes
        )
        self.write_request(self.transport, head, body)
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
            or not self.body_written()
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

    # Internal methods

    def reset_message(self) -> None:
        """Resets the parse state for the next response."""
        self.status = 0
        self.reason = b""
        self.headers: messages.Headers = []
        self.head_bytes = 0
        self.body.clear()
        self.mismatched = False
        self.streaming = False

    def count_interim_response(self, exchange: hop_exchange.Exchange) -> None:
        """Rejects interim responses without end."""
        exchange.interim_responses += 1
        if exchange.interim_responses > MAX_INTERIM_RESPONSES:
            self.reject("too many interim responses")

    def is_close_delimited(self) -> bool:
        """Returns whether the awaited response ends with the connection."""
        return not self.mismatched and response_checks.ends_with_connection(
            self.status, self.headers
        )

    def start_streaming(self, sink: api.BodySink) -> None:
        """Passes the buffered body to the sink and streams the rest."""
        self.streaming = True
        sink.start_response(self.response(b""))
        sink.write_body(self.body.take())
        self.pause_until_writable(sink)

    def pause_until_writable(self, sink: api.BodySink) -> None:
        """Pauses reading until the sink can accept more data."""
        if self.transport is not None:
            response_body.pause_until_writable(self.transport, sink, self.abort)

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
        response = self.response(self.body.take())
        if (
            self.parser is None
            or self.is_close_delimited()
            or not self.parser.should_keep_alive()
            or len(self.refused_ids) >= MAX_REFUSALS
        ):
            self.must_close = True
        response.reusable = not self.must_close
        if not exchange.future.done():
            exchange.future.set_result(response)

    def reject(self, detail: str) -> None:
        """Fails the exchange because of invalid bytes and closes."""
        self.fail(Kind.UPSTREAM_PROTOCOL, detail)
        self.abort()

    def fail(self, kind: kinds.ErrorKind, detail: str) -> None:
        """Completes the exchange with an error."""
        if self.exchange is None:
            return
        exchange, self.exchange = self.exchange, None
        self.must_close = True
        if self.status and self.body.collected:
            kind = Kind.RESPONSE_TRUNCATED
        if not exchange.future.done():
            exchange.future.set_exception(
                exceptions.UpstreamError(detail, kind)
            )


async def connect(
    host: str,
    port: int,
    identity_header: bytes,
    timeout_ms: float,
    budget: memory_budget.MemoryBudget | None = None,
) -> ClientConnection:
    """Opens a connection.

    Args:
        host: IP address.
        port: TCP port.
        identity_header: Response header that carries the request ID.
        timeout_ms: Connect timeout in milliseconds.
        budget: Counts the bytes that the connection holds, None to count none.

    Raises:
        UpstreamError: The connection failed; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1_000.0):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(identity_header, budget), host, port
            )
    # An address that no socket accepts raises other errors than OSError.
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        raise exceptions.UpstreamError(
            f"cannot connect to {host}:{port}: {error!r}", Kind.CONNECT_FAILED
        ) from error
    return connection
