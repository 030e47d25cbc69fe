"""HTTP server of the stand-in platform."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import json

import anyio
import cattrs
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from lovageyoke.errors import exceptions
from lovageyoke.store import api
from lovageyoke.store import fake
from lovageyoke.store import faults
from lovageyoke.store import wire

Endpoint = Callable[[requests.Request], Awaitable[responses.Response]]

CONFLICT_STATUS = 409
NOT_FOUND_STATUS = 404
UNAVAILABLE_STATUS = 503
OUTCOME_UNKNOWN_STATUS = 504
BAD_REQUEST_STATUS = 400


class PlatformServer:
    """Serves the platform protocol from an in-process platform.

    Attributes:
        platform: The platform that backs the server.
        app: The ASGI application.
    """

    def __init__(self, platform: fake.FakePlatform) -> None:
        self.platform = platform
        self.app = applications.Starlette(
            routes=[
                _route(wire.RECORD_PATH, self.get, "GET"),
                _route(wire.RECORD_PATH, self.create, "POST"),
                _route(wire.RECORD_PATH, self.compare_and_swap, "PUT"),
                _route(wire.RECORD_PATH, self.delete, "DELETE"),
                _route(wire.WATCH_PATH, self.watch, "GET"),
                _route(wire.LEASES_PATH, self.grant_lease, "POST"),
                _route(wire.LEASES_PATH, self.renew_lease, "PUT"),
                _route(wire.VMS_PATH, self.list_vms, "GET"),
                _route("/admin/faults", self.set_faults, "PUT"),
                _route("/admin/vms", self.set_vms, "PUT"),
                _route("/admin/calls", self.get_calls, "GET"),
            ],
            exception_handlers={
                exceptions.RevisionConflictError: _conflict,
                exceptions.PlatformUnavailableError: _no_effect,
                exceptions.PlatformOutcomeUnknownError: _outcome_unknown,
                exceptions.DecodeError: _bad_request,
                KeyError: _bad_request,
                ValueError: _bad_request,
                cattrs.BaseValidationError: _bad_request,
            },
        )

    async def get(self, request: requests.Request) -> responses.Response:
        """Handles a read of a key."""
        record = await self.platform.get(request.query_params["key"])
        if record is None:
            return _absent()
        return _record(record)

    async def create(self, request: requests.Request) -> responses.Response:
        """Handles a create-if-absent."""
        params = request.query_params
        record = await self.platform.create(
            params["key"], await request.body(), params.get("lease_id")
        )
        return _revision(record)

    async def compare_and_swap(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles a compare-and-swap."""
        params = request.query_params
        record = await self.platform.compare_and_swap(
            params["key"], await request.body(), int(params["revision"])
        )
        return _revision(record)

    async def delete(self, request: requests.Request) -> responses.Response:
        """Handles a delete."""
        params = request.query_params
        await self.platform.delete(params["key"], int(params["revision"]))
        return responses.Response()

    async def watch(self, request: requests.Request) -> responses.Response:
        """Handles a watch, which ends early if the client disconnects."""
        record: api.Record | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, request, tasks.cancel_scope)
            record = await self._watch(request)
            tasks.cancel_scope.cancel()
        if record is None:
            return responses.Response(
                headers={wire.RESULT_HEADER: wire.RESULT_UNCHANGED}
            )
        return _record(record)

    async def _watch(self, request: requests.Request) -> api.Record | None:
        params = request.query_params
        return await self.platform.watch(
            params["key"], int(params["revision"]), int(params["timeout_ms"])
        )

    async def grant_lease(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles the grant of a lease."""
        ttl_ms = int(request.query_params["ttl_ms"])
        lease = await self.platform.grant_lease(ttl_ms)
        return responses.Response(wire.encode(lease))

    async def renew_lease(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles the renewal of a lease."""
        lease_id = request.query_params["lease_id"]
        if await self.platform.renew_lease(lease_id):
            return responses.Response()
        return responses.Response(
            headers={wire.RESULT_HEADER: wire.RESULT_ABSENT}
        )

    async def list_vms(self, request: requests.Request) -> responses.Response:
        """Returns the VM list, which may lag behind the actual state."""
        del request
        vms = await self.platform.list_vms()
        return responses.Response(wire.encode(vms))

    async def set_faults(self, request: requests.Request) -> responses.Response:
        """Replaces the injected faults."""
        body = json.loads(await request.body())
        self.platform.injector.faults = wire.CONVERTER.structure(
            body, faults.Faults
        )
        return responses.Response()

    async def set_vms(self, request: requests.Request) -> responses.Response:
        """Sets the VM list."""
        vms = wire.decode_vms(await request.body())
        self.platform.store.set_vms(vms, self.platform.clock.now_ms())
        return responses.Response()

    async def get_calls(self, request: requests.Request) -> responses.Response:
        """Returns the number of calls by kind."""
        del request
        counter = self.platform.store.counter
        return responses.JSONResponse(
            {
                "admitted": {k.value: n for k, n in counter.admitted.items()},
                "refused": {k.value: n for k, n in counter.refused.items()},
            }
        )


async def _cancel_on_disconnect(
    request: requests.Request, scope: anyio.CancelScope
) -> None:
    """Cancels a pending call when its client disconnects."""
    while not await request.is_disconnected():
        message = await request.receive()
        if message["type"] == "http.disconnect":
            break
    scope.cancel()


def _route(path: str, endpoint: Endpoint, method: str) -> routing.Route:
    return routing.Route(path, endpoint, methods=[method])


def _record(record: api.Record) -> responses.Response:
    return responses.Response(
        record.value, headers={wire.REVISION_HEADER: str(record.revision)}
    )


def _revision(record: api.Record) -> responses.Response:
    return responses.Response(
        headers={wire.REVISION_HEADER: str(record.revision)}
    )


def _absent() -> responses.Response:
    return responses.Response(
        status_code=NOT_FOUND_STATUS,
        headers={wire.RESULT_HEADER: wire.RESULT_ABSENT},
    )


def _conflict(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request
    return responses.PlainTextResponse(
        str(error),
        CONFLICT_STATUS,
        {wire.RESULT_HEADER: wire.RESULT_CONFLICT},
    )


def _no_effect(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request
    return responses.PlainTextResponse(
        str(error),
        UNAVAILABLE_STATUS,
        {wire.RESULT_HEADER: wire.RESULT_NO_EFFECT},
    )


def _outcome_unknown(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request, error
    return responses.Response(status_code=OUTCOME_UNKNOWN_STATUS)


def _bad_request(
    request: requests.Request, error: Exception
) -> responses.Response:
    del request
    return responses.PlainTextResponse(
        f"bad request: {error}",
        BAD_REQUEST_STATUS,
        {wire.RESULT_HEADER: wire.RESULT_NO_EFFECT},
    )
