"""Sends a request to one upstream."""

from __future__ import annotations

import attrs

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.hop import api as hop_api
from lovageyoke.hop import connection as hop_connection
from lovageyoke.hop import messages
from lovageyoke.hop import names
from lovageyoke.hop import pool as hop_pool
from lovageyoke.routing import model

CONNECT_TIMEOUT_MS = 250.0  # Many round trips, even between failure domains.
MISDIRECTED = 421

Kind = kinds.ErrorKind


@attrs.frozen
class Sending:
    """What goes to the upstreams of one request.

    Attributes:
        request: The caller's request.
        request_id: Its identity, None if it has none.
        start_line: Request line.
        headers: Headers that are the same for all upstreams.
        repeatable: Whether it may run more than once.
        deadline_ms: When its final answer is due.
    """

    request: messages.Request
    request_id: bytes | None
    start_line: bytes
    headers: messages.Headers
    repeatable: bool
    deadline_ms: float


@attrs.define
class Delivery:
    """What became of sending a request to an upstream.

    Attributes:
        sent: Whether any byte of it may have reached the upstream.
    """

    sent: bool = False


class UpstreamClient:
    """Sends requests over pooled connections.

    Attributes:
        names: The headers that have a meaning.
        pool: Idle connections.
        clock: Source of time.
    """

    def __init__(
        self,
        header_names: names.HeaderNames,
        pool: hop_pool.ConnectionPool,
        clock: clock_api.Clock,
    ) -> None:
        self.names = header_names
        self.pool = pool
        self.clock = clock

    def prepare(
        self, request: messages.Request, repeatable: bool, deadline_ms: float
    ) -> Sending:
        """Returns what goes to any upstream for a caller's request."""
        dropped = {
            self.names.deadline,
            self.names.expected_upstream,
            b"content-length",
            b"expect",
        }
        headers = [
            each
            for each in messages.end_to_end(request.headers)
            if each[0] not in dropped
        ]
        if request.body or request.header(b"content-length") is not None:
            length = str(len(request.body)).encode()
            headers.append((b"content-length", length))
        elif request.header(b"transfer-encoding") is not None:
            headers.append((b"content-length", b"0"))
        start_line = request.method + b" " + request.target + b" HTTP/1.1"
        return Sending(
            request,
            request.header(self.names.request_id),
            start_line,
            headers,
            repeatable,
            deadline_ms,
        )

    async def send(
        self,
        sending: Sending,
        upstream: model.Upstream,
        delivery: Delivery,
        sink: hop_api.BodySink | None,
    ) -> messages.Response:
        """Sends a request and waits for its response.

        Cancelling the call ends the connection, which tells the upstream to
        stop work.

        Args:
            sending: The request.
            upstream: Where it goes.
            delivery: Told what became of it.
            sink: Where a large body goes while it comes.

        Raises:
            UpstreamError: No response came; ``delivery`` tells whether the
                request may have run.
        """
        connection = await self.connection(sending, upstream)
        left_ms = sending.deadline_ms - self.clock.now_ms()
        if left_ms < 1.0:
            connection.close()
            raise exceptions.UpstreamError(
                "no time was left to send the request",
                Kind.DEADLINE_BEFORE_DISPATCH,
            )
        head = self.head(sending, upstream, left_ms)
        delivery.sent = True
        try:
            response = await connection.begin(
                head,
                sending.request.body,
                sending.request_id,
                sink,
                sending.request.method == b"HEAD",
            )
        except BaseException:
            connection.abort()
            raise
        self.pool.put(upstream, connection, self.clock.now_ms())
        return response

    def head(
        self, sending: Sending, upstream: model.Upstream, left_ms: float
    ) -> bytes:
        """Returns the request head for one upstream."""
        headers = [
            *sending.headers,
            (self.names.deadline, str(int(left_ms)).encode()),
            (self.names.expected_upstream, upstream.upstream_id.encode()),
        ]
        return messages.encode_head(sending.start_line, headers)

    async def connection(
        self,
        sending: Sending,
        upstream: model.Upstream,
    ) -> hop_connection.ClientConnection:
        """Returns an idle connection or a new one."""
        now_ms = self.clock.now_ms()
        fresh_only = not sending.repeatable
        connection = self.pool.take(upstream, now_ms, fresh_only)
        if connection is not None:
            return connection
        left_ms = sending.deadline_ms - now_ms
        self.pool.opened += 1
        return await hop_connection.connect(
            upstream.host,
            upstream.port,
            self.names.request_id,
            min(CONNECT_TIMEOUT_MS, max(1.0, left_ms)),
        )

    def failure_of(self, response: messages.Response) -> kinds.ErrorKind | None:
        """Returns the error that a response tells of, None for success."""
        if response.status == MISDIRECTED:
            return Kind.UPSTREAM_MISDIRECTED
        if response.header(self.names.not_executed) is not None:
            return Kind.UPSTREAM_SHED
        if response.status >= messages.FIRST_SERVER_ERROR_STATUS:
            return Kind.UPSTREAM_FAILED
        return None
