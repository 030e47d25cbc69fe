"""The requests of one connection: which run now, and their responses' order."""

from __future__ import annotations

import asyncio
import collections
import typing

from lovageyoke.errors import kinds
from lovageyoke.hop import answers
from lovageyoke.hop import api
from lovageyoke.hop import caller_exchange
from lovageyoke.hop import connection_set
from lovageyoke.hop import messages

if typing.TYPE_CHECKING:
    from lovageyoke.hop import server

# Requests of one connection that are parsed and whose responses are not
# complete; all of them may run if they are safe.
MAX_PIPELINED = 8
# Methods that change nothing (RFC 9110, section 9.2.1). A pipelined request
# with another method waits for those before it and holds those behind it.
SAFE_METHODS = frozenset({b"GET", b"HEAD"})

Exchanges = collections.deque[caller_exchange.CallerExchange]


class Pipeline:
    """Handles consecutive safe requests concurrently, all others alone.

    Attributes:
        connection: The caller's connection.
        handler: Handles the requests.
        exchanges: Requests whose responses are not complete, in order.
        waiting: Those of them that have not been started.
        running: Number of requests being handled.
        running_overlap: Whether the requests being handled may run beside
            others, None if not known yet.
        request_bytes: Bytes that the requests hold.
        held_bytes: Bytes of the responses that wait for their turn.
    """

    def __init__(
        self, connection: server.CallerConnection, handler: api.RequestHandler
    ) -> None:
        self.connection = connection
        self.handler = handler
        self.exchanges: Exchanges = collections.deque()
        self.waiting: Exchanges = collections.deque()
        self.running = 0
        self.running_overlap: bool | None = None
        self.request_bytes = 0
        self.held_bytes = 0

    def add(self, request: messages.Request, size: int) -> None:
        """Handles a request now or when those before it permit it.

        Args:
            request: The request.
            size: Bytes that it holds.
        """
        exchange = caller_exchange.CallerExchange(
            self.connection,
            request,
            first=not self.exchanges,
            request_bytes=size + connection_set.REQUEST_BYTES,
        )
        self.request_bytes += exchange.request_bytes
        self.exchanges.append(exchange)
        if not self.waiting and self.may_start(request):
            self.start(exchange, request)
        else:
            self.waiting.append(exchange)

    def add_response(self, response: messages.Response) -> None:
        """Responds to a message that isn't handled, and closes after it."""
        exchange = caller_exchange.CallerExchange(
            self.connection, None, first=not self.exchanges
        )
        self.exchanges.append(exchange)
        exchange.send_response(response)
        exchange.done = True
        if exchange.first:
            self.proceed()

    def close_after_last(self) -> None:
        """Closes the connection after the response to the last request."""
        if self.exchanges and self.exchanges[-1].request is not None:
            self.exchanges[-1].request.keep_alive = False

    def proceed(self) -> None:
        """Completes responses in order and starts what may run now."""
        self.complete_responses()
        if self.connection.disconnected():
            return
        while self.waiting:
            request = self.waiting[0].request
            if request is None or not self.may_start(request):
                break
            self.start(self.waiting.popleft(), request)

    def drop(self) -> None:
        """Cancels the requests whose handler allows that."""
        self.waiting.clear()
        for exchange in self.exchanges:
            exchange.drop()
            if exchange.task is None:
                self.release(exchange)
            if (
                exchange.task is not None
                and exchange.request is not None
                and self.handler.may_cancel(exchange.request)
            ):
                exchange.task.cancel()
                if not exchange.started:
                    # ``run`` will never begin.
                    self.running -= 1
                    self.release(exchange)
        self.exchanges.clear()

    # Internal methods

    def complete_responses(self) -> None:
        """Removes handled requests from the front; lets the next one write."""
        while self.exchanges and self.exchanges[0].done:
            if self.connection.disconnected():
                return
            exchange = self.exchanges.popleft()
            self.release(exchange)
            if not exchange.response_complete:
                self.connection.abort()
            elif exchange.closes:
                self.connection.finish()
            elif self.exchanges:
                self.exchanges[0].start_turn()

    def release(self, exchange: caller_exchange.CallerExchange) -> None:
        """Stops counting the bytes of a request."""
        self.request_bytes -= exchange.request_bytes
        exchange.request_bytes = 0

    def may_start(self, request: messages.Request) -> bool:
        """Returns whether a request may run with those being handled."""
        if not self.connection.writable.is_set():
            return False
        if not self.running:
            return True
        if self.running_overlap is None:
            running = self.exchanges[0].request
            self.running_overlap = running is not None and self.overlaps(
                running
            )
        return self.running_overlap and self.overlaps(request)

    def overlaps(self, request: messages.Request) -> bool:
        """Returns whether a request may run beside others."""
        return request.method in SAFE_METHODS and self.handler.may_overlap(
            request
        )

    def start(
        self,
        exchange: caller_exchange.CallerExchange,
        request: messages.Request,
    ) -> None:
        """Starts to handle a request."""
        if not self.running:
            self.running_overlap = None
        self.running += 1
        exchange.task = asyncio.ensure_future(self.run(exchange, request))

    async def run(
        self,
        exchange: caller_exchange.CallerExchange,
        request: messages.Request,
    ) -> None:
        """Handles a request, then continues with those behind it."""
        exchange.started = True
        connections = self.connection.connections
        connections.in_flight += 1
        try:
            await self.handler.handle(request, exchange)
        except Exception as error:
            self.handler.report_error(request, error)
            if exchange.streaming or exchange.response_complete:
                exchange.abort()
            else:
                exchange.send_response(
                    answers.error_response(kinds.ErrorKind.INTERNAL)
                )
        finally:
            connections.in_flight -= 1
            self.running -= 1
            exchange.task = None
            exchange.done = True
            if exchange not in self.exchanges:
                # The caller has disconnected.
                self.release(exchange)
            self.connection.proceed()
