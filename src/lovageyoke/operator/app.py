"""The ASGI application of the operator API."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs
from loguru import logger
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from lovageyoke.config import audit
from lovageyoke.config import intent
from lovageyoke.config import model
from lovageyoke.config import plan as plans
from lovageyoke.config import store as stores
from lovageyoke.config import updates
from lovageyoke.config import view as views
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.operator import access
from lovageyoke.operator import api
from lovageyoke.operator import bodies
from lovageyoke.schema import structure
from lovageyoke.settings import model as settings_model

TRUE = "true"

OnConfirmed = Callable[[updates.GroupUpdate], object]
Endpoint = Callable[
    [requests.Request, settings_model.Operator], Awaitable[responses.Response]
]


def create(
    store: stores.ConfigStore,
    view: views.ConfigView,
    authenticator: access.Authenticator,
    status_provider: api.StatusProvider,
    on_confirmed: OnConfirmed,
    *,
    extra_routes: Sequence[routing.BaseRoute] = (),
) -> applications.Starlette:
    """Returns the operator application.

    Args:
        store: Plans and confirms changes.
        view: The configuration in force.
        authenticator: Authenticates the operator of a request.
        status_provider: Reports the state of this entry VM.
        on_confirmed: Called with each change confirmed on this entry VM.
        extra_routes: Additional routes, served without authentication.
    """
    handlers = OperatorHandlers(
        store, view, authenticator, status_provider, on_confirmed
    )
    return applications.Starlette(
        routes=[*handlers.routes(), *extra_routes],
        exception_handlers={
            exceptions.LovageyokeError: bodies.problem_response,
            Exception: bodies.problem_response,
        },
    )


class OperatorHandlers:
    """Handles the requests of operators."""

    def __init__(
        self,
        store: stores.ConfigStore,
        view: views.ConfigView,
        authenticator: access.Authenticator,
        status_provider: api.StatusProvider,
        on_confirmed: OnConfirmed,
    ) -> None:
        self._store = store
        self._view = view
        self._authenticator = authenticator
        self._status_provider = status_provider
        self._on_confirmed = on_confirmed

    def routes(self) -> list[routing.Route]:
        """Returns the routes of the API."""
        return [
            self._route("GET", "/v1/services", self.list_services),
            self._route("GET", "/v1/services/{name}", self.get_service),
            self._route("POST", "/v1/plans", self.plan_change),
            self._route("POST", "/v1/undo/{name}", self.plan_undo),
            self._route(
                "POST", "/v1/drain/{name}/{upstream_id}", self.plan_drain
            ),
            self._route("POST", "/v1/confirmations", self.confirm),
            self._route("GET", "/v1/audit", self.list_audit),
            self._route("GET", "/v1/status", self.get_status),
            self._route("GET", "/v1/addresses", self.get_addresses),
        ]

    async def list_services(
        self, request: requests.Request, operator: settings_model.Operator
    ) -> responses.Response:
        """Lists the services in force on this entry VM."""
        del request
        found = [
            each
            for _, each in sorted(self._view.services().items())
            if each.service is not None
            and access.can_read(operator, each.service)
        ]
        return bodies.json_response(found)

    async def get_service(
        self, request: requests.Request, operator: settings_model.Operator
    ) -> responses.Response:
        """Returns the intent of a service in force as TOML."""
        found = self._readable_service(request.path_params["name"], operator)
        text = intent.render(intent.Intent(found.name, found))
        return responses.PlainTextResponse(text, media_type="application/toml")

    async def plan_change(
        self, request: requests.Request, operator: settings_model.Operator
    ) -> responses.Response:
        """Returns the plan for an intent."""
        change = intent.parse(await bodies.read_body(request))
        access.require_read(operator, change.service)
        plan = await self._store.plan(change, _guard(operator))
        return bodies.json_response(self._with_shared_selectors(plan))

    async def plan_undo(
        self, request: requests.Request, operator: settings_model.Operator
    ) -> responses.Response:
        """Returns the plan that undoes the last change of a service."""
        name = request.path_params["name"]
        plan = await self._store.undo(name, _guard(operator))
        access.require_read(operator, plan.service)
        return bodies.json_response(self._with_shared_selectors(plan))

    async def plan_drain(
        self, request: requests.Request, operator: settings_model.Operator
    ) -> responses.Response:
        """Returns the plan that drains an upstream or ends its drain."""
        name = request.path_params["name"]
        service = self._readable_service(name, operator)
        draining = request.query_params.get("draining", TRUE) == TRUE
        upstream_id = request.path_params["upstream_id"]
        changed_service = _with_draining(service, upstream_id, draining)
        change = intent.Intent(name, changed_service)
        return bodies.json_response(
            await self._store.plan(change, _guard(operator))
        )

    async def confirm(
        self, request: requests.Request, operator: settings_model.Operator
    ) -> responses.Response:
        """Applies a plan and returns its audit record."""
        access.require_editor(operator)
        plan = plans.decode(await bodies.read_body(request))
        access.require_read(operator, plan.service)
        force = request.query_params.get("force") == TRUE
        confirmed = await self._store.confirm(
            plan, operator.name, force=force, guard=_guard(operator)
        )
        state = confirmed.state
        self._on_confirmed(updates.from_document(state.group, state.document))
        logger.info(
            "operator {} confirmed plan {}: {} of {} is version {}",
            operator.name,
            plan.plan_id,
            plan.action.value,
            plan.name,
            confirmed.record.version,
        )
        return bodies.json_response(
            {"record": confirmed.record, "repeated": confirmed.repeated}
        )

    async def list_audit(
        self, request: requests.Request, operator: settings_model.Operator
    ) -> responses.Response:
        """Returns audit records, newest last."""
        query = structure.structure(
            _parse_numbers(request.query_params), audit.AuditQuery
        )
        found = await audit.find(self._store, query)
        visible = [
            each
            for each in found
            if access.can_read(operator, model.Service(each.service, each.team))
        ]
        return bodies.json_response(visible)

    async def get_status(
        self, request: requests.Request, operator: settings_model.Operator
    ) -> responses.Response:
        """Returns the state of this entry VM."""
        del request, operator
        return bodies.json_response(self._status_provider.status())

    async def get_addresses(
        self, request: requests.Request, operator: settings_model.Operator
    ) -> responses.Response:
        """Returns the addresses given to callers."""
        del request, operator
        return bodies.json_response(self._status_provider.addresses())

    def _route(
        self, method: str, path: str, endpoint: Endpoint
    ) -> routing.Route:
        async def authenticated(
            request: requests.Request,
        ) -> responses.Response:
            operator = self._authenticator.authenticate(
                request.headers.get("authorization", ""),
                request.client.host if request.client else "",
            )
            return await endpoint(request, operator)

        return routing.Route(path, authenticated, methods=[method])

    def _readable_service(
        self, name: str, operator: settings_model.Operator
    ) -> model.Service:
        found = self._view.service(name)
        if found is None or found.service is None:
            raise _not_found(f"there is no service {name!r}")
        access.require_read(operator, found.service)
        return found.service

    def _with_shared_selectors(self, plan: plans.Plan) -> plans.Plan:
        if plan.service is None:
            return plan
        shared = sorted(self._view.services_with_same_selector(plan.service))
        risks = tuple(
            f"shares a host and path prefix with service {name}; the first "
            "by name serves them"
            for name in shared
        )
        return attrs.evolve(plan, risks=(*plan.risks, *risks))


def _guard(operator: settings_model.Operator) -> stores.Guard:
    return lambda service: access.require_read(operator, service)


def _with_draining(
    service: model.Service, upstream_id: str, draining: bool
) -> model.Service:
    if upstream_id not in {each.upstream_id for each in service.upstreams}:
        raise _not_found(
            f"service {service.name!r} has no upstream {upstream_id!r}"
        )
    upstreams = tuple(
        attrs.evolve(each, draining=draining)
        if each.upstream_id == upstream_id
        else each
        for each in service.upstreams
    )
    return attrs.evolve(service, upstreams=upstreams)


def _parse_numbers(params: Mapping[str, str]) -> dict[str, str | int]:
    return {
        key: int(text) if text.isascii() and text.isdigit() else text
        for key, text in params.items()
    }


def _not_found(detail: str) -> exceptions.OperatorError:
    return exceptions.OperatorError(detail, kinds.ErrorKind.NOT_FOUND)
