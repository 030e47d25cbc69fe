"""HTTP server on a loopback port with a scripted handler."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from lovageyoke.clock import system
from lovageyoke.hop import api as hop_api
from lovageyoke.hop import listener as hop_listener
from lovageyoke.hop import messages
from lovageyoke.hop import server as hop_server
from lovageyoke.routing import model

Respond = Callable[[messages.Request], Awaitable[messages.Response | None]]


class Handler(hop_api.RequestHandler):
    """Responds with a function's result; aborts the connection on None."""

    def __init__(
        self, respond: Respond, limits: model.CallerLimits | None = None
    ) -> None:
        self.respond = respond
        self.caller_limits = limits or model.CallerLimits()
        self.requests: list[messages.Request] = []
        self.cancelled = 0
        self.failures: list[Exception] = []
        self.is_leaving = False
        self.overlaps = False

    async def handle(
        self, request: messages.Request, caller: hop_api.ResponseWriter
    ) -> None:
        self.requests.append(request)
        try:
            response = await self.respond(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if response is None:
            caller.abort()
            return
        caller.send_response(response)

    def report_error(self, request: messages.Request, error: Exception) -> None:
        del request
        self.failures.append(error)

    def limits(self) -> model.CallerLimits:
        return self.caller_limits

    def may_cancel(self, request: messages.Request) -> bool:
        return request.method == b"GET"

    def may_overlap(self, request: messages.Request) -> bool:
        del request
        return self.overlaps

    def leaving(self) -> bool:
        return self.is_leaving


class Listener:
    """Server that listens on a free port while its context is open."""

    def __init__(self, handler: hop_api.RequestHandler) -> None:
        self.handler = handler
        self.connections = hop_server.ConnectionSet()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def __aenter__(self) -> Listener:
        clock = system.SystemClock()
        self.server = await hop_listener.listen(
            lambda: hop_server.CallerConnection(
                self.handler, clock, self.connections
            ),
            "127.0.0.1",
            0,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.server is not None
        self.server.close()
        for connection in list(self.connections.open):
            connection.abort()
        await asyncio.sleep(0)


def ok(body: bytes = b"ok") -> messages.Response:
    return messages.Response(200, b"OK", [], body)
