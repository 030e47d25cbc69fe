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
_FAILED_STATUSES = frozenset((502, 503, 504))


class Attempt:
    """One exchange that an upstream was chosen for.

    Attributes:
        upstream_id: The upstream.
    """

    def __init__(
        self,
        upstream_id: str,
        policy: routing_api.RoutingPolicy,
        clock: clock_api.Clock,
    ) -> None:
        self.upstream_id = upstream_id
        self._policy: routing_api.RoutingPolicy | None = policy
        self._clock = clock
        self._start_ms = clock.now_ms()
        policy.dispatched(upstream_id, self._start_ms)

    def elapsed_ms(self) -> float:
        """Returns the time since dispatch."""
        return self._clock.now_ms() - self._start_ms

    def end(
        self,
        result: routing_api.Result,
        latency_ms: float | None = None,
        report: routing_api.LoadReport | None = None,
    ) -> None:
        """Tells the policy once how the exchange ended."""
        policy, self._policy = self._policy, None
        if policy is None:
            return
        if latency_ms is None:
            latency_ms = self.elapsed_ms()
        policy.completed(
            routing_api.Completion(
                self.upstream_id, result, latency_ms, report
            ),
            self._clock.now_ms(),
        )


class Answer:
    """An upstream's answer, whose body is still to be read.

    Attributes:
        attempt: The attempt that it answers.
        exchange: The exchange that brings it.
        report: The load report that came with it.
    """

    def __init__(
        self, attempt: Attempt, exchange: transport_api.Exchange
    ) -> None:
        self.attempt = attempt
        self.exchange = exchange
        self.report = load_header.report_of(exchange.head)
        self._latency_ms = attempt.elapsed_ms()

    @property
    def head(self) -> transport_api.ResponseHead:
        """Status and headers of the answer."""
        return self.exchange.head

    def end(self, result: routing_api.Result) -> None:
        """Ends the exchange and tells the policy how it went."""
        self.exchange.close()
        self.attempt.end(result, self._latency_ms, self.report)

    def end_whole(self) -> None:
        """Ends an exchange whose answer has been read whole."""
        failed = self.head.status in _FAILED_STATUSES
        result = routing_api.Result.OK
        self.end(routing_api.Result.FAILED if failed else result)


class Dispatcher:
    """Chooses upstreams and sends requests to them."""

    def __init__(
        self, transport: transport_api.Transport, clock: clock_api.Clock
    ) -> None:
        self._transport = transport
        self._clock = clock

    async def dispatch(self, call: call_module.Call) -> Answer:
        """Returns the answer of the first upstream that gives one.

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

    async def attempt(self, call: call_module.Call) -> Answer:
        """Sends the request once.

        Raises:
            LovageyokeError: The attempt failed.
        """
        attempt = self._choose(call)
        target = call.route.targets[attempt.upstream_id]
        try:
            exchange = await self._transport.send(
                target, call.request, call.deadline_ms
            )
        except exceptions.LovageyokeError as error:
            if error.answer.outcome is table.Outcome.UNKNOWN:
                call.may_have_run = True
            attempt.end(routing_api.Result.FAILED)
            raise
        except BaseException:
            attempt.end(routing_api.Result.CANCELLED)
            raise
        return self._accept(call, Answer(attempt, exchange))

    def _accept(self, call: call_module.Call, answer: Answer) -> Answer:
        report = answer.report
        if report is not None and report.draining:
            call.route.policy.drain(
                answer.attempt.upstream_id, self._clock.now_ms()
            )
        if load_header.is_shed(answer.head):
            answer.end(routing_api.Result.SHED)
            raise exceptions.UpstreamError(
                "the upstream shed the request", Kind.UPSTREAM_SHED
            )
        return answer

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
