"""Sends a request to upstreams until one answers."""

from __future__ import annotations

from lovageyoke.caller import call as call_module
from lovageyoke.caller import headers
from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.errors import table
from lovageyoke.idempotency import api as claim_api
from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api as transport_api
from lovageyoke.transport import load_header

Kind = kinds.ErrorKind

MAX_ATTEMPTS = 3
EAGER_BYTES = 65_536
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
        start: The beginning of its body.
        is_whole: Whether ``start`` is the whole body.
    """

    def __init__(
        self, attempt: Attempt, exchange: transport_api.Exchange
    ) -> None:
        self.attempt = attempt
        self.exchange = exchange
        self.report = load_header.report_of(exchange.head)
        self.start = b""
        self.is_whole = False
        self._latency_ms = attempt.elapsed_ms()

    @property
    def head(self) -> transport_api.ResponseHead:
        """Status and headers of the answer."""
        return self.exchange.head

    async def read_start(self, least_bytes: int) -> None:
        """Reads the beginning of the body.

        Args:
            least_bytes: Reads more than this many bytes, or the whole body.
        """
        while len(self.start) <= least_bytes:
            data = await self.exchange.read()
            if not data:
                self.is_whole = True
                return
            self.start += data

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

    async def dispatch_rest(
        self, call: call_module.Call, request: transport_api.Request
    ) -> Answer:
        """Dispatches a request for the rest of a call's answer.

        The answer has begun within the call's deadline; each part of it gets
        the service's own.
        """
        limit_ms = call.route.service.limits.deadline_ms
        rest = call_module.Call(
            call.route, request, None, self._clock.now_ms() + limit_ms
        )
        rest.excluded.update(call.excluded)
        return await self.dispatch(rest)

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
        answer: Answer | None = None
        target = call.route.targets[attempt.upstream_id]
        try:
            exchange = await self._transport.send(
                target, call.request, call.deadline_ms
            )
            answer = Answer(attempt, exchange)
            self._accept(call, answer)
            await answer.read_start(_eager_bytes(call, answer.head))
        except exceptions.LovageyokeError as error:
            if error.answer.outcome is table.Outcome.UNKNOWN:
                call.may_have_run = True
            _end(attempt, answer, _result_of(error))
            raise
        except BaseException:
            _end(attempt, answer, routing_api.Result.CANCELLED)
            raise
        return answer

    def _accept(self, call: call_module.Call, answer: Answer) -> None:
        report = answer.report
        if report is not None and report.draining:
            call.route.policy.drain(
                answer.attempt.upstream_id, self._clock.now_ms()
            )
        if load_header.is_shed(answer.head):
            raise exceptions.UpstreamError(
                "the upstream shed the request", Kind.UPSTREAM_SHED
            )

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


def _end(
    attempt: Attempt, answer: Answer | None, result: routing_api.Result
) -> None:
    if answer is None:
        attempt.end(result)
    else:
        answer.end(result)


def _result_of(error: exceptions.LovageyokeError) -> routing_api.Result:
    if error.kind is Kind.UPSTREAM_SHED:
        return routing_api.Result.SHED
    if isinstance(error, exceptions.AdmissionError):
        return routing_api.Result.CANCELLED
    return routing_api.Result.FAILED


def _eager_bytes(
    call: call_module.Call, head: transport_api.ResponseHead
) -> int:
    """Returns how much of a body to read before any of it is passed on.

    A short body is read whole, so that its loss can be repaired or reported;
    of a long one, so much as makes it likely that the rest will come.
    """
    if call.claim is not None:
        return claim_api.MAX_STORED_ANSWER_BYTES
    length = headers.length_of(head.headers)
    if length is not None and length <= EAGER_BYTES:
        return EAGER_BYTES
    return 0
