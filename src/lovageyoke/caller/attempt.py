"""An attempt at a request and its response."""

from __future__ import annotations

from lovageyoke.caller import headers
from lovageyoke.caller import routes
from lovageyoke.clock import api as clock_api
from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api as transport_api
from lovageyoke.transport import load_header

_FAILED_STATUSES = frozenset((502, 503, 504))


class Attempt:
    """One exchange with a selected upstream.

    Attributes:
        upstream_id: The upstream.
    """

    def __init__(
        self,
        upstream_id: str,
        route: routes.Route,
        clock: clock_api.Clock,
    ) -> None:
        self.upstream_id = upstream_id
        self._route: routes.Route | None = route
        self._clock = clock
        self._start_ms = clock.now_ms()
        route.dispatched(upstream_id, self._start_ms)

    def elapsed_ms(self) -> float:
        """Returns the time since dispatch."""
        return self._clock.now_ms() - self._start_ms

    def end(
        self,
        result: routing_api.Result,
        latency_ms: float | None = None,
        report: routing_api.LoadReport | None = None,
    ) -> None:
        """Reports the result of the exchange to the route, at most once."""
        route, self._route = self._route, None
        if route is None:
            return
        if latency_ms is None:
            latency_ms = self.elapsed_ms()
        route.completed(
            routing_api.Completion(
                self.upstream_id, result, latency_ms, report
            ),
            self._clock.now_ms(),
        )


class Response:
    """An upstream's response whose body has not been fully read.

    Attributes:
        attempt: The attempt that received it.
        exchange: The exchange that carries it.
        report: Load report in its headers, None if absent or malformed.
        start: The buffered beginning of its body.
        is_complete: Whether ``prefix`` is the complete body.
    """

    def __init__(
        self, attempt: Attempt, exchange: transport_api.Exchange
    ) -> None:
        self.attempt = attempt
        self.exchange = exchange
        self.report = load_header.find_report(exchange.head)
        self.prefix = b""
        self.is_complete = False
        self._latency_ms = attempt.elapsed_ms()

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Returns the headers for the caller."""
        kept = headers.to_caller(self.head.headers)
        if self.prefix and self.is_complete:
            length = (b"content-length", str(len(self.prefix)).encode())
            if headers.content_length(kept) is None:
                kept.append(length)
        return kept

    @property
    def head(self) -> transport_api.ResponseHead:
        """Status and headers of the response."""
        return self.exchange.head

    async def read_prefix(self, min_bytes: int) -> None:
        """Buffers the beginning of the body.

        Args:
            min_bytes: Reads more than this many bytes, or the whole body.
        """
        while len(self.prefix) <= min_bytes:
            data = await self.exchange.read()
            if not data:
                self.is_complete = True
                return
            self.prefix += data

    def end(self, result: routing_api.Result) -> None:
        """Closes the exchange and reports its result to the route."""
        self.exchange.close()
        self.attempt.end(result, self._latency_ms, self.report)

    def end_complete(self) -> None:
        """Ends an exchange whose response was read completely."""
        failed = self.head.status in _FAILED_STATUSES
        result = routing_api.Result.OK
        self.end(routing_api.Result.FAILED if failed else result)
