"""Interface of connections to upstreams."""

from __future__ import annotations

import abc

import attrs

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.transport import timers

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Target:
    """An upstream's socket address.

    Attributes:
        upstream_id: Identifier of the upstream in its service.
        address: IP address.
        port: TCP port.
    """

    upstream_id: str
    address: str
    port: int


@attrs.frozen
class Request:
    """A request to send to an upstream.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: End-to-end headers, names in lower case.
        body: The complete body.
        repeatable: Whether it is safe to execute twice.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    repeatable: bool


@attrs.frozen
class ResponseHead:
    """Status and headers of an upstream's response.

    Attributes:
        status: HTTP status code.
        headers: Headers, names in lower case.
    """

    status: int
    headers: Headers


class ConnectionShareError(exceptions.UpstreamError):
    """This entry VM's share of the upstream's connections is in use."""

    default_kind = kinds.ErrorKind.CONNECT_FAILED


class Exchange(abc.ABC):
    """One request and its response, on a connection that it owns.

    Attributes:
        target: The upstream.
        head: Status and headers of the response.
    """

    target: Target
    head: ResponseHead

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Returns the next part of the response body, b"" at its end.

        Raises:
            UpstreamError: Kind RESPONSE_TRUNCATED when the body ends early,
                UPSTREAM_SILENT when no byte arrives before the timeout.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Ends the exchange; reuses the connection only if it is clean."""


class Transport(abc.ABC):
    """Sends requests to upstreams.

    Attributes:
        timers: Timers that ``run`` calls.
    """

    timers: timers.Timers

    @abc.abstractmethod
    async def send(
        self, target: Target, request: Request, deadline_ms: float
    ) -> Exchange:
        """Sends a request and waits for the head of its response.

        Args:
            target: The upstream.
            request: The request.
            deadline_ms: Monotonic deadline of the call.

        Raises:
            UpstreamError: Its kind states whether any byte of the request was
                written: CONNECT_FAILED and NOTHING_WRITTEN mean none was.
            ConnectionShareError: No further connection may be opened.
        """

    @abc.abstractmethod
    async def run(self) -> None:
        """Watches deadlines and idle connections until it is cancelled."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes all idle connections."""
