"""Counts responses to callers and optionally logs each request."""

from __future__ import annotations

import collections

from loguru import logger

from lovageyoke.caller import api
from lovageyoke.clock import api as clock_api

RESPONSE_START = "http.response.start"


class RequestObserver:
    """Observes the status of each response to a caller.

    Attributes:
        responses: Number of responses by status code.
        log_requests: Whether each request is logged.
    """

    def __init__(self, clock: clock_api.Clock, log_requests: bool) -> None:
        self.responses: collections.Counter[int] = collections.Counter()
        self.log_requests = log_requests
        self._clock = clock

    def observe(self, scope: api.Scope, send: api.Send) -> api.Send:
        """Returns a wrapper of ``send`` that records the response status."""
        start_ms = self._clock.now_ms()

        async def observed(message: api.Message) -> None:
            if message["type"] == RESPONSE_START:
                self.responses[message["status"]] += 1
                if self.log_requests:
                    self._log(scope, message["status"], start_ms)
            await send(message)

        return observed

    def _log(self, scope: api.Scope, status: int, start_ms: float) -> None:
        # The query string may contain secrets and is not logged.
        logger.bind(
            method=scope["method"],
            path=scope["path"],
            status=status,
            head_ms=round(self._clock.now_ms() - start_ms, 2),
        ).info("request served")
