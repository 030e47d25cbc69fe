"""Transport with pooled connections."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

import anyio
import attrs

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.transport import api
from lovageyoke.transport import h11_connection
from lovageyoke.transport import latency
from lovageyoke.transport import sockets
from lovageyoke.transport import timers

Kind = kinds.ErrorKind
T = TypeVar("T")

MAX_IDLE_MS = 4_000.0
MAX_IDLE_UNREPEATABLE_MS = 1_000.0
SWEEP_MS = 1_000.0
CONNECT_TIMEOUT_MS = 1_000.0
BODY_SILENCE_MS = 5_000.0
CONNECTION_SHARE = 15


@attrs.frozen
class Timeout:
    """Error to report when an operation times out.

    Attributes:
        kind: The error kind.
        detail: Human-readable description.
    """

    kind: kinds.ErrorKind
    detail: str


_CONNECT_TIMEOUT = Timeout(Kind.CONNECT_FAILED, "connecting timed out")
_RESPONSE_TIMEOUT = Timeout(
    Kind.DEADLINE_AFTER_DISPATCH, "no response before the deadline"
)
_SILENCE_TIMEOUT = Timeout(
    Kind.UPSTREAM_SILENT, "no response within the expected latency"
)
_BODY_TIMEOUT = Timeout(Kind.UPSTREAM_SILENT, "the response stalled")


@attrs.define
class TargetState:
    """Connections to one upstream.

    Attributes:
        idle: Idle connections, the most recently used last.
        in_use: Connections used by exchanges.
        opening: Number of connections being opened.
        estimate: Response latency of the upstream.
    """

    idle: list[h11_connection.H11Connection] = attrs.field(factory=list)
    in_use: set[h11_connection.H11Connection] = attrs.field(factory=set)
    opening: int = 0
    estimate: latency.LatencyEstimate = attrs.field(
        factory=latency.LatencyEstimate
    )

    def total(self) -> int:
        """Returns the number of connections."""
        return len(self.idle) + len(self.in_use) + self.opening


class PooledTransport(api.Transport):
    """Sends each request on a connection of its own.

    Attributes:
        connection_share: Maximum connections of this entry VM per upstream.
        timers: Timers that ``run`` calls.
    """

    def __init__(
        self,
        clock: clock_api.Clock,
        connection_share: int = CONNECTION_SHARE,
    ) -> None:
        self.connection_share = connection_share
        self._clock = clock
        self.timers = timers.Timers(clock)
        self._states: dict[api.Target, TargetState] = {}

    async def run(self) -> None:
        """Watches deadlines and idle connections until it is cancelled."""
        self._sweep()
        await self.timers.run()

    def close(self) -> None:
        """Closes all idle connections."""
        for state in self._states.values():
            while state.idle:
                state.idle.pop().close()

    async def send(
        self, target: api.Target, request: api.Request, deadline_ms: float
    ) -> api.Exchange:
        """Sends a request and waits for the head of its response."""
        state = self._states.setdefault(target, TargetState())
        connection = self._take_idle(state, request.repeatable)
        if connection is None:
            connection = await self._open(target, state, deadline_ms)
        state.in_use.add(connection)
        exchange = PooledExchange(self, state, connection)
        try:
            exchange.head = await self._send_request(
                state, connection, request, deadline_ms
            )
        except BaseException:
            exchange.close()
            raise
        return exchange

    def _take_idle(
        self, state: TargetState, repeatable: bool
    ) -> h11_connection.H11Connection | None:
        now_ms = self._clock.now_ms()
        max_idle_ms = MAX_IDLE_MS if repeatable else MAX_IDLE_UNREPEATABLE_MS
        while state.idle:
            connection = state.idle[-1]
            if now_ms - connection.last_received_ms > max_idle_ms:
                return None
            state.idle.pop()
            if connection.is_idle():
                return connection
            connection.close()
        return None

    async def _open(
        self, target: api.Target, state: TargetState, deadline_ms: float
    ) -> h11_connection.H11Connection:
        self._ensure_capacity(state)
        now_ms = self._clock.now_ms()
        limit_ms = min(deadline_ms, now_ms + CONNECT_TIMEOUT_MS)
        state.opening += 1
        try:
            sock = await self.run_until(
                limit_ms,
                sockets.connect(target.address, target.port),
                _CONNECT_TIMEOUT,
            )
        finally:
            state.opening -= 1
        return h11_connection.H11Connection(target, sock, self._clock.now_ms())

    def _ensure_capacity(self, state: TargetState) -> None:
        if state.total() < self.connection_share:
            return
        if not state.idle:
            raise api.ConnectionShareError(
                "the upstream's connections are all in use"
            )
        state.idle.pop(0).close()

    async def _send_request(
        self,
        state: TargetState,
        connection: h11_connection.H11Connection,
        request: api.Request,
        deadline_ms: float,
    ) -> api.ResponseHead:
        start_ms = self._clock.now_ms()
        limit_ms = deadline_ms
        timeout = _RESPONSE_TIMEOUT
        silent_ms = start_ms + state.estimate.silence_bound_ms()
        if request.repeatable and silent_ms < deadline_ms:
            limit_ms = silent_ms
            timeout = _SILENCE_TIMEOUT
        try:
            head = await self.run_until(
                limit_ms, _send_and_read_head(connection, request), timeout
            )
        except exceptions.UpstreamError as raised:
            if raised.kind is Kind.UPSTREAM_SILENT:
                self._close_all(state)
            raise
        state.estimate.add(self._clock.now_ms() - start_ms)
        return head

    def _close_all(self, state: TargetState) -> None:
        while state.idle:
            state.idle.pop().close()
        for connection in state.in_use:
            connection.must_close = True

    async def run_until(
        self,
        limit_ms: float,
        operation: Awaitable[T],
        timeout: Timeout,
    ) -> T:
        """Returns the operation's result; raises an error on timeout."""
        with anyio.CancelScope() as scope:
            timer = self.timers.call_at(limit_ms, scope.cancel)
            try:
                return await operation
            finally:
                timer.cancel()
        raise exceptions.UpstreamError(timeout.detail, timeout.kind)

    def idle_connections(self) -> int:
        """Returns the number of idle connections."""
        return sum(len(state.idle) for state in self._states.values())

    def now_ms(self) -> float:
        """Returns the current time in milliseconds."""
        return self._clock.now_ms()

    def _sweep(self) -> None:
        now_ms = self._clock.now_ms()
        for target, state in list(self._states.items()):
            self._close_expired(state, now_ms)
            if not state.total() and state.estimate.mean_ms is None:
                del self._states[target]
        self.timers.call_at(now_ms + SWEEP_MS, self._sweep)

    def _close_expired(self, state: TargetState, now_ms: float) -> None:
        oldest_ms = now_ms - MAX_IDLE_MS
        while state.idle and state.idle[0].last_received_ms < oldest_ms:
            state.idle.pop(0).close()


async def _send_and_read_head(
    connection: h11_connection.H11Connection, request: api.Request
) -> api.ResponseHead:
    await connection.send(request)
    return await connection.read_head()


class PooledExchange(api.Exchange):
    """An exchange on a pooled connection."""

    def __init__(
        self,
        transport: PooledTransport,
        state: TargetState,
        connection: h11_connection.H11Connection,
    ) -> None:
        self.target = connection.target
        self._transport = transport
        self._state = state
        self._connection: h11_connection.H11Connection | None = connection

    async def read(self) -> bytes:
        """Returns the next part of the response body, b"" at its end."""
        if self._connection is None:
            return b""
        data = self._connection.buffered_body()
        if data is None:
            data = await self._transport.run_until(
                self._transport.now_ms() + BODY_SILENCE_MS,
                self._connection.read_body(),
                _BODY_TIMEOUT,
            )
        if not data:
            self.close()
        return data

    def close(self) -> None:
        """Ends the exchange; reuses the connection only if it is clean."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        self._state.in_use.discard(connection)
        if connection.recycle(self._transport.now_ms()):
            self._state.idle.append(connection)
        else:
            connection.close()
