"""Sends a request to one upstream."""

from __future__ import annotations

import attrs

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.hop import api as hop_api
from lovageyoke.hop import connection as hop_connection
from lovageyoke.hop import exchange as hop_exchange
from lovageyoke.hop import messages
from lovageyoke.hop import names
from lovageyoke.hop import pool as hop_pool
from lovageyoke.limits import memory_budget
from lovageyoke.routing import model

# Covers many round trips, even between failure domains.
CONNECT_TIMEOUT_MS = 250.0
MISDIRECTED = 421

Kind = kinds.ErrorKind


@attrs.frozen
class PreparedRequest:
    """A caller's request prepared for sending to any upstream.

    Attributes:
        request: The caller's request.
        request_id: Value of its request ID header, None if absent.
        start_line: Request line.
        headers: Headers that are the same for all upstreams.
        repeatable: Whether the request may be executed more than once.
        deadline_ms: Time by which the final response is due.
        account: Name of the caller's account, empty if it has none.
    """

    request: messages.Request
    request_id: bytes | None
    start_line: bytes
    headers: messages.Headers
    repeatable: bool
    deadline_ms: float
    account: str = ""


@attrs.define
class DispatchState:
    """Progress of sending a request to an upstream.

    Attributes:
        sent: Whether any byte of the request may have reached the upstream.
    """

    sent: bool = False


class UpstreamClient:
    """Sends requests over pooled connections.

    Attributes:
        names: Names of the headers that the client sets and interprets.
        pool: Idle connections.
        clock: Source of time.
        budget: Counts the bytes that the connections hold.
    """

    def __init__(
        self,
        header_names: names.HeaderNames,
        pool: hop_pool.ConnectionPool,
        clock: clock_api.Clock,
        budget: memory_budget.MemoryBudget | None = None,
    ) -> None:
        self.names = header_names
        self.pool = pool
        self.clock = clock
        self.budget = budget or memory_budget.unlimited()

    def prepare(
        self,
        request: messages.Request,
        repeatable: bool,
        deadline_ms: float,
        account: str | None = None,
    ) -> PreparedRequest:
        """Prepares a caller's request for sending to any upstream.

        Args:
            request: The request.
            repeatable: Whether it may be executed more than once.
            deadline_ms: Time by which the final response is due.
            account: Name of the caller's account, empty for an anonymous
                caller. None if there are no accounts; the headers of API
                keys and accounts are then forwarded like any other.
        """
        dropped = {
            self.names.deadline,
            self.names.expected_upstream,
            b"content-length",
            b"expect",
        }
        if account is not None:
            dropped |= {self.names.api_key, self.names.account}
        headers = [
            each
            for each in messages.end_to_end(request.headers)
            if each[0] not in dropped
        ]
        if account:
            headers.append((self.names.account, account.encode()))
        if request.body or request.header(b"content-length") is not None:
            length = str(len(request.body)).encode()
            headers.append((b"content-length", length))
        elif request.header(b"transfer-encoding") is not None:
            headers.append((b"content-length", b"0"))
        start_line = request.method + b" " + request.target + b" HTTP/1.1"
        return PreparedRequest(
            request,
            request.header(self.names.request_id),
            start_line,
            headers,
            repeatable,
            deadline_ms,
            account or "",
        )

    async def send(
        self,
        prepared: PreparedRequest,
        upstream: model.Upstream,
        dispatch: DispatchState,
        sink: hop_api.BodySink | None,
        on_head: hop_exchange.OnHead | None = None,
    ) -> messages.Response:
        """Sends a request and waits for its response.

        Cancelling the call aborts the connection, which signals the upstream
        to stop processing the request.

        Args:
            prepared: The request.
            upstream: The upstream to send it to.
            dispatch: Updated once the request may have been sent.
            sink: Receives a large response body as it arrives.
            on_head: Called with the status and headers of the response when
                they are complete.

        Raises:
            UpstreamError: No response was received; ``dispatch`` tells
                whether the upstream may have executed the request.
        """
        connection = await self.connection(prepared, upstream)
        left_ms = prepared.deadline_ms - self.clock.now_ms()
        if left_ms < 1.0:
            connection.close()
            raise exceptions.UpstreamError(
                "the deadline passed before the request was sent",
                Kind.DEADLINE_BEFORE_DISPATCH,
            )
        head = self.head(prepared, upstream, left_ms)
        dispatch.sent = True
        try:
            response = await connection.send_request(
                head,
                prepared.request.body,
                prepared.request_id,
                sink,
                head_only=prepared.request.method == b"HEAD",
                on_head=on_head,
            )
        except BaseException:
            connection.abort()
            raise
        self.pool.put(upstream, connection, self.clock.now_ms())
        return response

    def head(
        self,
        prepared: PreparedRequest,
        upstream: model.Upstream,
        left_ms: float,
    ) -> bytes:
        """Returns the request head for one upstream."""
        headers = [
            *prepared.headers,
            (self.names.deadline, str(int(left_ms)).encode()),
            (self.names.expected_upstream, upstream.upstream_id.encode()),
        ]
        return messages.encode_head(prepared.start_line, headers)

    async def connection(
        self,
        prepared: PreparedRequest,
        upstream: model.Upstream,
    ) -> hop_connection.ClientConnection:
        """Returns an idle connection or a new one."""
        now_ms = self.clock.now_ms()
        connection = self.pool.take(
            upstream,
            now_ms,
            recent_only=not prepared.repeatable,
            request_id=prepared.request_id,
        )
        if connection is not None:
            return connection
        left_ms = prepared.deadline_ms - now_ms
        self.pool.opened += 1
        return await hop_connection.connect(
            upstream.host,
            upstream.port,
            self.names.request_id,
            min(CONNECT_TIMEOUT_MS, max(1.0, left_ms)),
            self.budget,
        )

    def error_kind_of(
        self, response: messages.Response
    ) -> kinds.ErrorKind | None:
        """Returns the error that a response indicates, None for success."""
        if response.status == MISDIRECTED:
            return Kind.UPSTREAM_MISDIRECTED
        if response.header(self.names.not_executed) is not None:
            return Kind.UPSTREAM_SHED
        if response.status >= messages.FIRST_SERVER_ERROR_STATUS:
            return Kind.UPSTREAM_FAILED
        return None
