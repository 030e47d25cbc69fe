"""Interfaces between connections and those who use them."""

from __future__ import annotations

import abc
import typing

from lovageyoke.hop import messages
from lovageyoke.routing import model

if typing.TYPE_CHECKING:
    from lovageyoke.hop import server


class BodySink(abc.ABC):
    """Takes a response body while it comes."""

    @abc.abstractmethod
    def start(self, response: messages.Response) -> None:
        """Begins the answer; the response has no body yet."""

    @abc.abstractmethod
    def data(self, piece: bytes) -> None:
        """Passes on a piece of the body."""

    @abc.abstractmethod
    async def drained(self) -> None:
        """Waits until the receiver can take more."""


class RequestHandler(abc.ABC):
    """Answers the requests of callers."""

    @abc.abstractmethod
    async def handle(
        self, request: messages.Request, caller: server.CallerConnection
    ) -> None:
        """Answers one request by ``caller.answer`` or ``caller.start``."""

    @abc.abstractmethod
    def failed(self, request: messages.Request, error: Exception) -> None:
        """Notes that answering a request failed for an unforeseen reason."""

    @abc.abstractmethod
    def limits(self) -> model.CallerLimits:
        """Returns the bounds on callers that are in force."""

    @abc.abstractmethod
    def may_cancel(self, request: messages.Request) -> bool:
        """Returns whether to give up a request whose caller has left."""

    @abc.abstractmethod
    def leaving(self) -> bool:
        """Returns whether connections should end after their answer."""
