"""Server connections from callers, with pipelining.

Consecutive safe requests are handled concurrently and responded to in order.
"""

from __future__ import annotations

import asyncio
import typing

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import kinds
from lovageyoke.hop import answers
from lovageyoke.hop import api
from lovageyoke.hop import caller_exchange
from lovageyoke.hop import connection_set
from lovageyoke.hop import messages
from lovageyoke.hop import pipeline as request_pipeline
from lovageyoke.hop import read_timer
from lovageyoke.hop import request_parser
from lovageyoke.hop import unread_timer
from lovageyoke.limits import memory_budget
from lovageyoke.routing import model

# Unparsed bytes above which a connection isn't read. Below it, reading
# continues so that a disconnect is noticed.
MAX_UNPARSED_BYTES = 16_384
LOW_WATER_BYTES = 32_768
HIGH_WATER_BYTES = 131_072
# Time to discard the rest of a refused body.
DISCARD_TIMEOUT_MS = 1_000.0
BODY_REFUSALS = frozenset(
    {
        kinds.ErrorKind.BODY_TOO_LARGE,
        kinds.ErrorKind.LEAVING,
        kinds.ErrorKind.OVERLOADED,
    }
)
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


ConnectionSet = connection_set.ConnectionSet


class CallerConnection(
    asyncio.BufferedProtocol,
    request_parser.RequestReceiver,
    memory_budget.Holder,
):
    """A connection from a caller.

    Attributes:
        handler: Handles the requests.
        clock: Source of time.
        connections: The listener's open connections.
        transport: The transport, None before the connection is made.
        parser: Parses the requests.
        unparsed: Received bytes, parsed up to ``parsed_end``.
        accepting: Whether further requests are accepted.
        pipeline: The requests whose responses are not complete.
        read_timer: Read timeout for the next request.
        receiving: Whether a message is being received, with its time limit.
        reading_paused: Whether reading is paused.
        continue_due: Whether the caller waits for 100 (Continue), which has
            to follow the earlier responses.
        lingers: Whether the caller may still send a refused body.
        finished: Whether nothing is written any more.
        lost: Whether the connection is closed.
        unread_timer: Time limit for a caller that reads nothing.
        writable: Set unless the write buffer is full.
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
        self.parser = request_parser.RequestParser(self, clock)
        self.unparsed = b""
        self.parsed_end = 0
        self.accepting = True
        self.pipeline = request_pipeline.Pipeline(self, handler)
        self.read_timer = read_timer.ReadTimer(self.on_read_timeout)
        self.receiving = False
        self.reading_paused = False
        self.continue_due = False
        self.lingers = False
        self.finished = False
        self.lost = False
        self.unread_timer: unread_timer.UnreadTimer | None = None
        self.writable = asyncio.Event()
        self.writable.set()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and waits for the first request."""
        # uvloop's transports don't derive from asyncio's.
        self.transport = typing.cast("asyncio.Transport", transport)
        self.transport.set_write_buffer_limits(
            high=HIGH_WATER_BYTES, low=LOW_WATER_BYTES
        )
        self.unread_timer = unread_timer.UnreadTimer(self.transport)
        self.connections.add(self)
        # The time limit of a head starts with its first byte.
        self.read_timer.start(self.handler.limits().idle_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests whose handler allows that."""
        del exc
        self.connections.open.discard(self)
        self.read_timer.stop()
        self.discard_input()
        self.writable.set()
        self.pipeline.drop()
        if self.unread_timer is not None:
            self.unread_timer.stop()
        self.lost = True
        self.update_charge()

    def eof_received(self) -> bool:
        """Treats a half-closed connection as closed by the caller."""
        return False

    def pause_writing(self) -> None:
        """Holds further requests while the write buffer is full."""
        self.writable.clear()
        self.start_unread_timer()
        self.update_charge()

    def resume_writing(self) -> None:
        """Continues after the write buffer has emptied."""
        self.writable.set()
        if self.unread_timer is not None:
            self.unread_timer.stop()
        # A transport that is closed while it resumes writing reports the end
        # of the connection twice.
        asyncio.get_running_loop().call_soon(self.proceed)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for received bytes."""
        del sizehint
        return self.connections.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes received bytes from the buffer."""
        if self.accepting:
            self.data_received(bytes(self.connections.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parses received bytes as far as requests can be accepted."""
        if not self.accepting:
            return
        if self.unparsed:
            self.unparsed = self.unparsed[self.parsed_end :] + data
        else:
            self.unparsed = data
        self.parsed_end = 0
        self.parse()
        if (
            self.unparsed
            or self.parser.in_message
            or self.pipeline.request_bytes
            > connection_set.ORDINARY_REQUEST_BYTES
        ):
            self.update_charge()

    # request_parser.RequestReceiver

    def caller_limits(self) -> model.CallerLimits:
        """Returns the limits that currently apply to callers."""
        return self.handler.limits()

    def receive_request(self, request: messages.Request, size: int) -> None:
        """Handles a request now or when those before it permit it."""
        if not self.accepting:
            return
        self.read_timer.stop()
        self.receiving = False
        self.continue_due = False
        self.pipeline.add(request, size)
        if not request.keep_alive:
            self.discard_input()

    def expect_body(self) -> None:
        """Sends 100 (Continue) after the responses to earlier requests."""
        if self.pipeline.exchanges:
            self.continue_due = True
        else:
            self.write(CONTINUE_RESPONSE)

    def reject(self, kind: kinds.ErrorKind) -> None:
        """Responds to an unacceptable message and closes the connection.

        Requests before it get their responses first.
        """
        if not self.accepting:
            return
        self.read_timer.stop()
        self.discard_input()
        self.lingers = kind in BODY_REFUSALS
        self.pipeline.add_response(answers.rejection(kind))

    def stop_accepting(self) -> None:
        """Closes the connection after the response to the last request."""
        self.discard_input()
        self.pipeline.close_after_last()

    # Used by the responses

    def write(self, data: bytes) -> None:
        """Writes data unless the connection is closing."""
        if data and self.transport is not None and not self.disconnected():
            self.transport.write(data)

    def closes_after(self, exchange: caller_exchange.CallerExchange) -> bool:
        """Returns whether to close the connection after a response.

        Nothing is accepted any more if so.
        """
        if exchange.request is None or not exchange.request.keep_alive:
            return True
        if not self.handler.leaving():
            return False
        if len(self.pipeline.exchanges) > 1 or self.unparsed:
            return False
        self.discard_input()
        return True

    def abort(self) -> None:
        """Aborts the connection so that no response appears complete."""
        if self.transport is not None:
            self.transport.abort()

    # Internal methods

    def disconnected(self) -> bool:
        """Returns whether nothing is written any more."""
        return self.finished or self.closing()

    def closing(self) -> bool:
        """Returns whether the connection is closed or closing."""
        return self.transport is None or self.transport.is_closing()

    def idle(self) -> bool:
        """Returns whether no request is in progress or being received."""
        return not (
            self.pipeline.exchanges
            or self.pipeline.running
            or self.unparsed
            or self.parser.in_message
        )

    def unsent_bytes(self) -> int:
        """Returns the bytes that wait to be sent."""
        if self.transport is None or self.transport.is_closing():
            return 0
        return self.transport.get_write_buffer_size()

    def discard_input(self) -> None:
        """Ignores all bytes that are not part of a received request."""
        self.accepting = False
        self.unparsed = b""
        self.parser.close()

    def close(self) -> None:
        """Closes the connection after flushing the write buffer."""
        if self.transport is not None:
            self.start_unread_timer()
            self.transport.close()

    def finish(self) -> None:
        """Closes the connection after the last response.

        A caller that still sends a refused body may lose a response that is
        closed before the body is read, so the rest is discarded for a while.
        """
        if not self.lingers or self.transport is None:
            self.close()
            return
        self.start_unread_timer()
        self.finished = True
        self.read_timer.start(DISCARD_TIMEOUT_MS)
        try:
            self.transport.write_eof()
        except OSError:  # The caller has reset the connection.
            self.transport.abort()

    def parse(self) -> None:
        """Parses received bytes while requests can be accepted."""
        while (
            self.parsed_end < len(self.unparsed)
            and len(self.pipeline.exchanges) < request_pipeline.MAX_PIPELINED
            and self.writable.is_set()
        ):
            self.parsed_end = self.parser.feed(self.unparsed, self.parsed_end)
        if self.parsed_end >= len(self.unparsed):
            self.unparsed = b""
            if self.parser.in_message and not self.receiving:
                self.receiving = True
                self.read_timer.start(self.handler.limits().header_timeout_ms)
        too_many = len(self.unparsed) - self.parsed_end > MAX_UNPARSED_BYTES
        if self.reading_paused == too_many or self.transport is None:
            return
        self.reading_paused = too_many
        if too_many:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def proceed(self) -> None:
        """Continues after a response or when more can be written."""
        self.pipeline.proceed()
        if not self.disconnected():
            self.continue_reading()
        self.update_charge()

    def continue_reading(self) -> None:
        """Parses what has been received, or waits for more."""
        idle = not self.pipeline.exchanges
        if self.continue_due and idle:
            self.continue_due = False
            self.write(CONTINUE_RESPONSE)
        if self.unparsed:
            self.parse()
        elif idle and not self.receiving and self.accepting:
            self.read_timer.start(self.handler.limits().idle_timeout_ms)

    # memory_budget.Holder

    def reclaimable_bytes(self) -> int:
        """Returns the bytes of unfinished requests and unread responses."""
        if self.transport is None or self.lost:
            return 0
        held_bytes = self.transport.get_write_buffer_size()
        if self.unparsed or self.parser.in_message or self.pipeline.held_bytes:
            held_bytes += self.pipeline.held_bytes + len(self.unparsed)
            held_bytes += self.parser.held_bytes()
        return held_bytes

    def give_up(self) -> str:
        """Refuses an unfinished request or disconnects the caller."""
        unread = self.transport is None or (
            self.transport.get_write_buffer_size() > 0
        )
        if self.receiving and self.accepting and not unread:
            self.reject(kinds.ErrorKind.OVERLOADED)
            self.update_charge()
            return "request refused"
        self.abort()
        self.discard_input()
        self.pipeline.drop()
        self.update_charge()
        return "connection closed"

    def update_charge(self) -> None:
        """Counts the bytes that the connection holds now."""
        if self.lost and not self.pipeline.running:
            self.connections.budget.remove(self)
            return
        held_bytes = self.reclaimable_bytes()
        request_bytes = self.pipeline.request_bytes
        if request_bytes <= connection_set.ORDINARY_REQUEST_BYTES:
            size = connection_set.ORDINARY_BYTES + held_bytes
        else:
            size = connection_set.CONNECTION_BYTES + request_bytes + held_bytes
        if size != self.charged_bytes:
            self.connections.budget.charge(self, size)

    # Time limits

    def start_unread_timer(self) -> None:
        """Disconnects a caller that reads nothing for the idle time."""
        if self.unread_timer is not None:
            self.unread_timer.start(self.handler.limits().idle_timeout_ms)

    def on_read_timeout(self) -> None:
        """Closes an idle connection or rejects a slow request."""
        if self.receiving and self.unparsed:
            # The rest of the request waits for earlier responses to be read.
            self.read_timer.start(self.handler.limits().header_timeout_ms)
        elif self.receiving and not self.disconnected():
            self.reject(kinds.ErrorKind.REQUEST_TIMEOUT)
        else:
            self.close()
