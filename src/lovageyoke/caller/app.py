"""ASGI application that serves callers."""

from __future__ import annotations

import anyio
from loguru import logger

from lovageyoke.caller import api
from lovageyoke.caller import call as call_module
from lovageyoke.caller import claimed
from lovageyoke.caller import disconnect
from lovageyoke.caller import dispatch
from lovageyoke.caller import forward
from lovageyoke.caller import problem
from lovageyoke.caller import request_reader
from lovageyoke.caller import routes
from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.idempotency import api as claim_api
from lovageyoke.limits import admission as admission_module
from lovageyoke.limits import control
from lovageyoke.transport import api as transport_api

Kind = kinds.ErrorKind

DEFAULT_ENTRIES = 16
DEFAULT_MAX_REQUESTS = 1_024


class App:
    """Serves callers' requests.

    Attributes:
        routes: Routing state of each service.
        admission: Queues requests while upstreams are at capacity.
    """

    def __init__(
        self,
        services: api.ServiceDirectory,
        policies: api.PolicyFactory,
        transport: transport_api.Transport,
        claims: claim_api.ClaimLog,
        clock: clock_api.Clock,
        *,
        admission: admission_module.Admission,
        entries: int,
        on_drain: api.DrainListener,
    ) -> None:
        self.admission = admission
        self._clock = clock
        self._timers = transport.timers
        self.routes = routes.Routes(policies, admission, clock, entries)
        self._request_reader = request_reader.RequestReader(
            services, self.routes, clock, transport.timers
        )
        dispatcher = dispatch.Dispatcher(transport, clock, on_drain)
        self._forwarder = forward.Forwarder(dispatcher)
        self._claimed = claimed.ClaimedForwarder(dispatcher, claims)

    async def __call__(
        self, scope: api.Scope, receive: api.Receive, send: api.Send
    ) -> None:
        """Serves one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)
        else:
            await send({"type": "websocket.close"})

    async def _serve(
        self, scope: api.Scope, receive: api.Receive, send: api.Send
    ) -> None:
        call: call_module.Call | None = None
        try:
            call = await self._request_reader.read(scope, receive)
            name = call.route.service.name
            async with self.admission.acquire(name, call.deadline_ms):
                await self._forward(call, receive, send)
        except forward.ResponseAbortedError as error:
            # Returning before the end of the response makes the server close
            # the connection, so the caller detects the truncation.
            logger.info("response aborted: {}", error.detail)
        except exceptions.LovageyokeError as error:
            if error.kind is not Kind.CALLER_GONE:
                may_have_run = call is not None and call.may_have_run
                await problem.send(error, may_have_run, send)
        except Exception:
            # If a response has already started, the server rejects this second
            # one and closes the connection.
            logger.exception("unexpected error while serving a request")
            await problem.send(
                exceptions.LovageyokeError("unexpected error"),
                may_have_run=True,
                send=send,
            )

    async def _forward(
        self, call: call_module.Call, receive: api.Receive, send: api.Send
    ) -> None:
        if call.request.repeatable:
            await self._forward_watched(call, receive, send)
            return
        with anyio.CancelScope(shield=True):
            if call.claim is None:
                await self._forwarder.forward(call, send)
            else:
                await self._claimed.forward(call, call.claim, send)

    async def _forward_watched(
        self, call: call_module.Call, receive: api.Receive, send: api.Send
    ) -> None:
        """Forwards a repeatable request until the caller disconnects."""
        now_ms = self._clock.now_ms()
        with disconnect.cancelled_on_disconnect(receive, self._timers, now_ms):
            await self._forwarder.forward(call, send)


async def _serve_lifespan(receive: api.Receive, send: api.Send) -> None:
    await receive()
    await send({"type": "lifespan.startup.complete"})
    await receive()
    await send({"type": "lifespan.shutdown.complete"})


def _ignore_drain(service: str, upstream_id: str) -> None:
    """Ignores a drain signal."""


def create(
    services: api.ServiceDirectory,
    policies: api.PolicyFactory,
    transport: transport_api.Transport,
    claims: claim_api.ClaimLog,
    clock: clock_api.Clock,
    *,
    admission: admission_module.Admission | None = None,
    entries: int = DEFAULT_ENTRIES,
    on_drain: api.DrainListener = _ignore_drain,
) -> App:
    """Returns the application that serves callers.

    Args:
        services: Looks up services.
        policies: Creates the routing policy of a service.
        transport: Sends requests to upstreams.
        claims: Log of at-most-once claims.
        clock: Source of time.
        admission: Shares this entry VM's capacity between teams and services.
        entries: Entry VMs that share the upstreams.
        on_drain: Called with service and upstream when a drain is first seen.
    """
    if admission is None:
        admission = admission_module.Admission(
            control.AdmissionControl(DEFAULT_MAX_REQUESTS), clock
        )
    return App(
        services,
        policies,
        transport,
        claims,
        clock,
        admission=admission,
        entries=entries,
        on_drain=on_drain,
    )
