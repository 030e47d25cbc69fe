"""Builds a call from an ASGI request."""

from __future__ import annotations

import uuid

import attrs

from lovageyoke.caller import api
from lovageyoke.caller import body as body_module
from lovageyoke.caller import call as call_module
from lovageyoke.caller import headers
from lovageyoke.caller import routes
from lovageyoke.clock import api as clock_api
from lovageyoke.config import model
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.idempotency import api as claim_api
from lovageyoke.idempotency import identity
from lovageyoke.retry import marks as call_marks
from lovageyoke.transport import api as transport_api
from lovageyoke.transport import timers

Kind = kinds.ErrorKind

_FRAMING = (b"content-length", b"transfer-encoding")
_IDEMPOTENT_METHODS = frozenset(
    (b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE", b"TRACE")
)


class RequestReader:
    """Reads callers' requests and looks up their services."""

    def __init__(
        self,
        services: api.ServiceDirectory,
        routes_: routes.Routes,
        clock: clock_api.Clock,
        timer_queue: timers.Timers,
    ) -> None:
        self._services = services
        self._routes = routes_
        self._clock = clock
        self._timers = timer_queue

    async def read(
        self, scope: api.Scope, receive: api.Receive
    ) -> call_module.Call:
        """Returns the call of a request.

        Raises:
            CallerError: The request is rejected.
        """
        start_ms = self._clock.now_ms()
        _check_request_line(scope)
        route = self._find_route(scope)
        limits = route.service.limits
        scope_headers = scope["headers"]
        body_module.check_content_length(
            headers.first_value(scope_headers, b"content-length"),
            limits.max_body_bytes,
        )
        marks = call_marks.parse(scope_headers)
        deadline_ms = call_marks.deadline_ms(
            marks, start_ms, limits.deadline_ms
        )
        body = b""
        if _has_body(scope_headers):
            body = await body_module.read_until_deadline(
                deadline_ms, self._timers, receive, limits.max_body_bytes
            )
        request = _build_request(scope, body)
        identified = _identify(route.service, scope, request)
        claim = None
        if identified is not None:
            request = attrs.evolve(request, repeatable=False)
            claim = _build_claim(identified)
        return call_module.Call(
            route,
            request,
            claim,
            deadline_ms,
            accepts_chunked=scope["http_version"] != "1.0",
            marks=marks,
        )

    def _find_route(self, scope: api.Scope) -> routes.Route:
        host = headers.first_value(scope["headers"], b"host").decode("latin-1")
        versioned = self._services.service_for(host, scope["path"])
        route = None if versioned is None else self._routes.route(versioned)
        if route is None:
            raise exceptions.CallerError(
                "no service matches this host and path", Kind.UNKNOWN_SERVICE
            )
        return route


def _check_request_line(scope: api.Scope) -> None:
    if scope["http_version"] not in {"1.0", "1.1"}:
        raise exceptions.CallerError("only HTTP/1.0 and HTTP/1.1 are supported")
    if not scope["raw_path"].startswith(b"/"):
        raise exceptions.CallerError("the request target must be a path")


def _has_body(scope_headers: list[tuple[bytes, bytes]]) -> bool:
    return any(name in _FRAMING for name, _ in scope_headers)


def _build_request(scope: api.Scope, body: bytes) -> transport_api.Request:
    method = scope["method"].encode("ascii")
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    client = scope.get("client") or ("unknown", 0)
    return transport_api.Request(
        method,
        target,
        headers.to_upstream(scope["headers"], method, body, client[0]),
        body,
        method in _IDEMPOTENT_METHODS,
    )


def _identify(
    service: model.Service,
    scope: api.Scope,
    request: transport_api.Request,
) -> identity.IdentifiedRequest | None:
    if not service.unrepeatable:
        return None
    scope_headers = tuple(scope["headers"])
    return identity.identify(
        service.name,
        service.unrepeatable,
        identity.Request(
            request.method, request.target, scope_headers, request.body
        ),
        identity.credential_of(scope_headers),
    )


def _build_claim(
    identified: identity.IdentifiedRequest,
) -> claim_api.Claim | None:
    if identified.identity is None:
        return None
    return claim_api.Claim(
        scope=identified.scope,
        identity=identified.identity,
        fingerprint=identified.fingerprint,
        attempt_id=uuid.uuid4().hex,
        retention_ms=identified.rule.retention_ms,
    )
