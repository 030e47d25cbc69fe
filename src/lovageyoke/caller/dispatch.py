"""Sends a request to upstreams until one responds."""

from __future__ import annotations

import attrs

from lovageyoke.caller import api
from lovageyoke.caller import attempt as attempt_module
from lovageyoke.caller import call as call_module
from lovageyoke.caller import headers
from lovageyoke.caller import race
from lovageyoke.caller import routes
from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.errors import table
from lovageyoke.idempotency import api as claim_api
from lovageyoke.retry import decision
from lovageyoke.retry import hedge
from lovageyoke.retry import marks as call_marks
from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api as transport_api
from lovageyoke.transport import load_header

Kind = kinds.ErrorKind

PREFETCH_BYTES = 65_536


class Dispatcher(race.AttemptSender):
    """Selects upstreams and sends requests to them."""

    def __init__(
        self,
        transport: transport_api.Transport,
        clock: clock_api.Clock,
        on_drain: api.DrainListener,
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._on_drain = on_drain

    async def dispatch(self, call: call_module.Call) -> attempt_module.Response:
        """Returns the first response from an upstream.

        Raises:
            LovageyokeError: The error of the last attempt.
        """
        call.route.budget.record_request(self._clock.now_ms())
        while True:
            try:
                return await self._attempt_or_hedge(call)
            except exceptions.LovageyokeError as error:
                if not self._may_retry(call, error):
                    raise

    async def _attempt_or_hedge(
        self, call: call_module.Call
    ) -> attempt_module.Response:
        now_ms = self._clock.now_ms()
        delay_ms = None
        if not call.attempts and len(call.route.targets) > 1:
            delay_ms = hedge.delay_ms(
                call.route.latency,
                call.request.repeatable,
                call.marks,
                now_ms,
                call.deadline_ms,
            )
        if delay_ms is None:
            return await self.attempt(call)
        return await race.Race(
            self, call, self._clock, self._transport.timers
        ).run(now_ms + delay_ms)

    async def dispatch_remainder(
        self, call: call_module.Call, request: transport_api.Request
    ) -> attempt_module.Response:
        """Dispatches a request for the rest of a call's response.

        The response started within the call's deadline. Each resumed part has
        the service's full deadline.
        """
        limit_ms = call.route.service.limits.deadline_ms
        remainder = call_module.Call(
            call.route,
            request,
            None,
            self._clock.now_ms() + limit_ms,
            marks=call.marks,
        )
        remainder.excluded = call.excluded
        return await self.dispatch(remainder)

    def _may_retry(
        self, call: call_module.Call, error: exceptions.LovageyokeError
    ) -> bool:
        verdict = decision.decide(
            error.kind,
            call.request.repeatable,
            call.attempts - 1,
            self._clock.now_ms(),
            call.deadline_ms,
            marks=call.marks,
            budget=call.route.budget,
        )
        return verdict is decision.Verdict.RETRY

    async def attempt(
        self, call: call_module.Call, *, untried_only: bool = False
    ) -> attempt_module.Response:
        """Sends the request once.

        Args:
            call: The call.
            untried_only: Whether to use only upstreams that were not tried.

        Raises:
            LovageyokeError: The attempt failed.
        """
        attempt = self._choose(call, untried_only)
        target = call.route.targets[attempt.upstream_id]
        request = self._mark(call)
        call.attempts += 1
        response: attempt_module.Response | None = None
        try:
            exchange = await self._transport.send(
                target, request, call.deadline_ms
            )
            response = attempt_module.Response(attempt, exchange)
            self._accept(call, response)
            await response.read_prefix(_prefetch_bytes(call, response.head))
            _check_length(call, response)
        except exceptions.LovageyokeError as error:
            if error.response.outcome is table.Outcome.UNKNOWN:
                call.may_have_run = True
            _end(attempt, response, _result_of(error))
            raise
        except BaseException:
            call.may_have_run = True
            _end(attempt, response, routing_api.Result.CANCELLED)
            raise
        return response

    def _choose(
        self, call: call_module.Call, untried_only: bool
    ) -> attempt_module.Attempt:
        now_ms = self._clock.now_ms()
        if now_ms >= call.deadline_ms:
            raise exceptions.AdmissionError(
                "the deadline passed before the request was sent",
                Kind.DEADLINE_BEFORE_DISPATCH,
            )
        upstream_id = call.route.choose(now_ms, call.excluded, untried_only)
        if upstream_id is None:
            raise exceptions.AdmissionError(
                "no usable upstream", Kind.NO_UPSTREAM
            )
        call.excluded.add(upstream_id)
        return attempt_module.Attempt(upstream_id, call.route, self._clock)

    def _mark(self, call: call_module.Call) -> transport_api.Request:
        marks = call_marks.for_upstream(
            call.marks, call.attempts, self._clock.now_ms(), call.deadline_ms
        )
        marked = (*call.request.headers, *call_marks.encode(marks))
        return attrs.evolve(call.request, headers=marked)

    def _drain(self, route: routes.Route, upstream_id: str) -> None:
        if route.drain(upstream_id, self._clock.now_ms()):
            self._on_drain(route.service.name, upstream_id)

    def _accept(
        self, call: call_module.Call, response: attempt_module.Response
    ) -> None:
        report = response.report
        if report is not None and report.draining:
            self._drain(call.route, response.attempt.upstream_id)
        if load_header.is_shed(response.head):
            raise exceptions.UpstreamError(
                "the upstream shed the request", Kind.UPSTREAM_SHED
            )


def _end(
    attempt: attempt_module.Attempt,
    response: attempt_module.Response | None,
    result: routing_api.Result,
) -> None:
    if response is None:
        attempt.end(result)
    else:
        response.end(result)


def _result_of(error: exceptions.LovageyokeError) -> routing_api.Result:
    if error.kind is Kind.UPSTREAM_SHED:
        return routing_api.Result.SHED
    if isinstance(error, transport_api.ConnectionShareError):
        return routing_api.Result.CANCELLED
    return routing_api.Result.FAILED


def _prefetch_bytes(
    call: call_module.Call, head: transport_api.ResponseHead
) -> int:
    """Returns how many bytes of a body to buffer before forwarding any.

    A short body is buffered completely, so that its loss can be retried or
    reported. For a long one, the buffered part makes it likely that the rest
    will arrive.
    """
    if call.claim is not None:
        return claim_api.MAX_STORED_RESPONSE_BYTES
    length = headers.content_length(head.headers)
    if length is None:
        return 0 if call.accepts_chunked else PREFETCH_BYTES
    return PREFETCH_BYTES if length <= PREFETCH_BYTES else 0


def _check_length(
    call: call_module.Call, response: attempt_module.Response
) -> None:
    if call.accepts_chunked or response.is_complete:
        return
    if headers.content_length(response.head.headers) is None:
        raise exceptions.UpstreamError(
            "a response of unknown length needs an HTTP/1.1 caller",
            Kind.UPSTREAM_PROTOCOL,
        )
