"""Parses the requests of a caller's connection, one message at a time."""

from __future__ import annotations

import abc

import httptools

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import kinds
from lovageyoke.hop import large_body
from lovageyoke.hop import line_limit
from lovageyoke.hop import messages
from lovageyoke.routing import model

HEAD_END = b"\r\n\r\n"
# Objects for the name and the value of a header.
HEADER_BYTES = 200
MAX_SMALL_BODY_BYTES = large_body.BLOCK_BYTES


class RequestReceiver(abc.ABC):
    """Receives what a parser finds."""

    @abc.abstractmethod
    def caller_limits(self) -> model.CallerLimits:
        """Returns the limits that currently apply to callers."""

    @abc.abstractmethod
    def receive_request(self, request: messages.Request, size: int) -> None:
        """Receives a complete request.

        Args:
            request: The request.
            size: Bytes that it holds.
        """

    @abc.abstractmethod
    def expect_body(self) -> None:
        """Tells that the caller waits for 100 (Continue) before the body."""

    @abc.abstractmethod
    def reject(self, kind: kinds.ErrorKind) -> None:
        """Receives the reason why the message can't be accepted."""

    @abc.abstractmethod
    def stop_accepting(self) -> None:
        """Ends the connection after the responses to what was received."""


class RequestParser:
    """Parses requests and enforces the limits of their sizes.

    Attributes:
        receiver: Receives the requests.
        clock: Source of time.
        parser: The parser, None after the connection is closed. It refers to
            this object and may hold much of a request.
        in_message: Whether a message has begun and isn't complete.
        body_left: Bytes of the body that are still to come, 0 in a head, None
            if the body has no stated length.
        target: Target of the request, as far as received.
        headers: Headers of the request, as far as received.
        body: Body of the request as far as received, if it is small.
        large_body: Body of the request as far as received, if it is large.
    """

    def __init__(
        self, receiver: RequestReceiver, clock: clock_api.Clock
    ) -> None:
        self.receiver = receiver
        self.clock = clock
        self.parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self.line_limit = line_limit.LineLimit()
        self.in_message = False
        self.body_left: int | None = 0
        self.body = bytearray()
        self.large_body: large_body.LargeBody | None = None
        self.reset_message()

    def feed(self, data: bytes, start: int) -> int:
        """Parses bytes up to the end of at most one message.

        A message ends where its stated length ends or, without one, with an
        empty line. So the requests behind it stay unparsed until they can be
        accepted. An empty line that is split between two reads isn't found;
        at most two messages are parsed then.

        Args:
            data: Received bytes.
            start: Index of the first byte that isn't parsed yet.

        Returns:
            The index of the first byte that is left.
        """
        if self.parser is None:
            return len(data)
        end = self.slice_end(data, start)
        piece = data if end - start == len(data) else data[start:end]
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            if self.in_message:
                self.receiver.reject(kinds.ErrorKind.BAD_REQUEST)
            else:
                self.receiver.stop_accepting()
        except (
            httptools.HttpParserError,
            httptools.HttpParserCallbackError,
        ):
            self.receiver.reject(kinds.ErrorKind.BAD_REQUEST)
        pending_bytes = self.line_limit.record_bytes(end - start)
        if pending_bytes > self.receiver.caller_limits().header_bytes:
            self.receiver.reject(kinds.ErrorKind.HEAD_TOO_LARGE)
        return end

    def slice_end(self, data: bytes, start: int) -> int:
        """Returns the index up to which the parser may be fed."""
        if self.body_left:
            return min(len(data), start + self.body_left)
        found = data.find(HEAD_END, start)
        return len(data) if found < 0 else found + len(HEAD_END)

    def held_bytes(self) -> int:
        """Returns the number of bytes held of an incomplete message."""
        held_bytes = (
            self.head_bytes
            + self.line_limit.pending_bytes
            + len(self.headers) * HEADER_BYTES
            + len(self.body)
        )
        if self.large_body is not None:
            held_bytes += self.large_body.held_bytes()
        return held_bytes

    def close(self) -> None:
        """Frees what was received of an incomplete message."""
        self.parser = None
        self.in_message = False
        self.reset_message()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Starts a request."""
        self.in_message = True

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
        """Finds the body's length and whether the caller waits to send it."""
        self.line_limit.record_progress()
        length = None
        for name, value in self.headers:
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                self.body_left = None
        if length is not None:
            self.body_left = length
            if length > self.receiver.caller_limits().body_bytes:
                self.receiver.reject(kinds.ErrorKind.BODY_TOO_LARGE)
                return
        expected = messages.first_value(self.headers, b"expect")
        if expected is not None and expected.lower() == b"100-continue":
            self.receiver.expect_body()

    def on_body(self, body: bytes) -> None:
        """Buffers a chunk of the body and enforces the size limit."""
        self.line_limit.record_progress()
        limit = self.receiver.caller_limits().body_bytes
        large = self.large_body
        size = len(self.body) if large is None else len(large)
        if size + len(body) > limit:
            self.receiver.reject(kinds.ErrorKind.BODY_TOO_LARGE)
            return
        if self.body_left is not None:
            self.body_left -= len(body)
        if large is None and size + len(body) <= MAX_SMALL_BODY_BYTES:
            self.body += body
            return
        if large is None:
            self.large_body = large = large_body.LargeBody()
            large.append(self.body)
            self.body = bytearray()
        large.append(body)

    def on_message_complete(self) -> None:
        """Passes on a complete request."""
        self.line_limit.record_progress()
        if self.parser is None:
            return
        size = self.held_bytes()
        body = self.large_body
        request = messages.Request(
            self.parser.get_method(),
            self.target,
            self.headers,
            bytes(self.body) if body is None else body,
            self.parser.should_keep_alive(),
            self.clock.now_ms(),
        )
        self.in_message = False
        self.reset_message()
        self.receiver.receive_request(request, size)

    # Internal methods

    def add_head_bytes(self, size: int) -> None:
        """Rejects a request whose head is too large."""
        self.head_bytes += size
        if self.head_bytes > self.receiver.caller_limits().header_bytes:
            self.receiver.reject(kinds.ErrorKind.HEAD_TOO_LARGE)

    def reset_message(self) -> None:
        """Resets the parse state for the next request."""
        self.target = b""
        self.headers: messages.Headers = []
        self.head_bytes = 0
        self.body_left = 0
        # Chunks of a few bytes each would take many times their size.
        self.body = bytearray()
        self.large_body = None
