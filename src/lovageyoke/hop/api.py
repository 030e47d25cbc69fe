"""Interfaces between connections and the code that uses them."""

from __future__ import annotations

import abc

from lovageyoke.hop import messages
from lovageyoke.routing import model


class BodySink(abc.ABC):
    """Receives a response body as it arrives."""

    @abc.abstractmethod
    def start_response(self, response: messages.Response) -> None:
        """Starts the response, which has no body yet."""

    @abc.abstractmethod
    def write_body(self, chunk: bytes) -> None:
        """Forwards a chunk of the body."""

    @abc.abstractmethod
    async def wait_writable(self) -> None:
        """Waits until the receiver can accept more data."""


class ResponseWriter(BodySink):
    """Writes the response to one request.

    Attributes:
        streaming: Whether a streamed response has been started and isn't
            complete.
    """

    streaming: bool

    @abc.abstractmethod
    def send_response(self, response: messages.Response) -> None:
        """Writes a complete response."""

    @abc.abstractmethod
    def end_response(self) -> None:
        """Completes a streamed response."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Breaks the caller's connection so that no response seems complete."""


class RequestHandler(abc.ABC):
    """Handles the requests of callers."""

    @abc.abstractmethod
    async def handle(
        self, request: messages.Request, caller: ResponseWriter
    ) -> None:
        """Handles a request and writes its response to the caller."""

    @abc.abstractmethod
    def report_error(self, request: messages.Request, error: Exception) -> None:
        """Records an unexpected exception raised by ``handle``."""

    @abc.abstractmethod
    def limits(self) -> model.CallerLimits:
        """Returns the limits that currently apply to callers."""

    @abc.abstractmethod
    def may_cancel(self, request: messages.Request) -> bool:
        """Returns whether to cancel a request if its caller disconnects."""

    def may_overlap(self, request: messages.Request) -> bool:
        """Returns whether a request may run beside others of its connection.

        Asked only for safe methods of pipelined requests.
        """
        del request
        return False

    @abc.abstractmethod
    def leaving(self) -> bool:
        """Returns whether to close connections after the current response."""
