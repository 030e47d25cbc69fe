"""Sends a request to upstreams until one answers."""

from __future__ import annotations

from lovageyoke.caller import call as call_module
from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.errors import table
from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api as transport_api
from lovageyoke.transport import load_header

Kind = kinds.ErrorKind

MAX_ATTEMPTS = 3
_FAILED_STATUSES = (502, 503, 504)


class Attempt:
    """One exchange that an upstream was chosen for.

    Attributes:
        upstream_id: The upstream.
        exchange: The exchange, once the head of its response has come.
        latency_ms: Time from dispatch to the head.
    """

    def __init__(
        self,
        upstream_id: str,
        policy: routing_api.RoutingPolicy,
        clock: clock_api.Clock,
    ) -> None:
        self.upstream_id = upstream_id
        self.exchange: transport_api.Exchange | None = None
        self.latency_ms = 0.0
        self._policy: routing_api.RoutingPolicy | None = policy
        self._clock = clock
        self._start_ms = clock.now_ms()
        policy.dispatched(upstream_id, self._start_ms)

    def answered(self, exchange: transport_api.Exchange) -> None:
        """Records that the head of a response has come."""
        self.exchange = exchange
        self.latency_ms = self._clock.now_ms() - self._start_ms

    def end(self, result: routing_api.Result) -> None:
        """Ends the exchange and tells the policy how it went."""
        policy, self._policy = self._policy, None
        if policy is None:
            return
        now_ms = self._clock.now_ms()
        report = None
        if self.exchange is None:
            self.latency_ms = now_ms - self._start_ms
        else:
            self.exchange.close()
            report = load_header.report_of(self.exchange.head)
        policy.completed(
            routing_api.Completion(
                self.upstream_id, result, self.latency_ms, report
            ),
            now_ms,
        )


class Dispatcher:
    """Chooses upstreams and sends requests to them."""

    def __init__(
        self, transport: transport_api.Transport, clock: clock_api.Clock
    ) -> None:
        self._transport = transport
        self._clock = clock

    async def dispatch(self, call: call_module.Call) -> Attempt:
        """Returns the attempt whose upstream answered.

        Raises:
            LovageyokeError: The error of the last attempt.
        """
        for number in range(1, MAX_ATTEMPTS + 1):
            try:
                return await self.attempt(call)
            except exceptions.LovageyokeError as error:
                last = number == MAX_ATTEMPTS
                if last or not self._may_retry(call, error):
                    raise
        raise AssertionError("unreachable")

    def _may_retry(
        self, call: call_module.Call, error: exceptions.LovageyokeError
    ) -> bool:
        if self._clock.now_ms() >= call.deadline_ms:
            return False
        retry = error.answer.retry
        if retry is table.Retry.ANY:
            return True
        repeatable = call.request.repeatable
        return retry is table.Retry.REPEATABLE and repeatable

    async def attempt(self, call: call_module.Call) -> Attempt:
        """Sends the request once.

        Raises:
            LovageyokeError: The attempt failed.
        """
        attempt = self._choose(call)
        try:
            await self._send(call, attempt)
        except exceptions.LovageyokeError as error:
            if error.answer.outcome is table.Outcome.UNKNOWN:
                call.may_have_run = True
            shed = error.kind is Kind.UPSTREAM_SHED
            result = routing_api.Result.FAILED
            attempt.end(routing_api.Result.SHED if shed else result)
            raise
        except BaseException:
            attempt.end(routing_api.Result.CANCELLED)
            raise
        return attempt

    def _choose(self, call: call_module.Call) -> Attempt:
        now_ms = self._clock.now_ms()
        if now_ms >= call.deadline_ms:
            raise exceptions.AdmissionError(
                "no time is left to send the request",
                Kind.DEADLINE_BEFORE_DISPATCH,
            )
        policy = call.route.policy
        upstream_id = policy.choose(now_ms, call.excluded)
        if upstream_id is None and call.excluded:
            upstream_id = policy.choose(now_ms, frozenset())
        if upstream_id is None or upstream_id not in call.route.targets:
            raise exceptions.AdmissionError(
                "no upstream may be used now", Kind.NO_UPSTREAM
            )
        call.excluded.add(upstream_id)
        return Attempt(upstream_id, policy, self._clock)

    async def _send(self, call: call_module.Call, attempt: Attempt) -> None:
        target = call.route.targets[attempt.upstream_id]
        exchange = await self._transport.send(
            target, call.request, call.deadline_ms
        )
        attempt.answered(exchange)
        self._note_draining(call, attempt.upstream_id, exchange.head)
        if load_header.is_shed(exchange.head):
            raise exceptions.UpstreamError(
                "the upstream shed the request", Kind.UPSTREAM_SHED
            )

    def _note_draining(
        self,
        call: call_module.Call,
        upstream_id: str,
        head: transport_api.ResponseHead,
    ) -> None:
        report = load_header.report_of(head)
        if report is not None and report.draining:
            call.route.policy.drain(upstream_id, self._clock.now_ms())


def result_of(head: transport_api.ResponseHead) -> routing_api.Result:
    """Returns how a whole response counts for its upstream."""
    if head.status in _FAILED_STATUSES:
        return routing_api.Result.FAILED
    return routing_api.Result.OK
