"""Queueing, retries and hedging of one caller's request."""

from __future__ import annotations

import asyncio
import functools

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.errors import table
from lovageyoke.hop import api as hop_api
from lovageyoke.hop import attempt as hop_attempt
from lovageyoke.hop import messages
from lovageyoke.node import admission
from lovageyoke.node import attempts
from lovageyoke.node import feedback
from lovageyoke.node import outcomes
from lovageyoke.node import state as node_state
from lovageyoke.node import upstream_selector
from lovageyoke.retry import progress as retry_progress
from lovageyoke.routing import load_view
from lovageyoke.routing import model
from lovageyoke.routing import placement

HEDGE_CHECK_INTERVAL_MS = 30.0
# A cancelled attempt that took this multiple of its expected time counts as a
# failure of the upstream.
OVERDUE_FAILURE_FACTOR = 2.0
MS_PER_SECOND = 1_000.0

Kind = kinds.ErrorKind


class Race:
    """Sends a request to upstreams until one of them answers it.

    Attributes:
        node: Shared state of the process.
        sending: The request.
        route: The request's route.
        service: The service that serves it.
        arrived_ms: When the request arrived.
        waited_ms: Time that the caller spent on earlier tries.
        account: Name of the client account, None if there is none.
        selector: Selects the upstreams.
        sink: Receives a large response body as it is streamed.
        running: The attempts in progress.
        tried: Keys of the upstreams that were tried.
        sends: Number of attempts that may have reached an upstream.
        first_sent_ms: When the first attempt started, None before.
        may_have_run: Whether an upstream may have run the request.
        last_kind: Error of the last failed attempt.
        last_response: The last error response of an upstream.
        stopped: Whether this process ends now.
        steps: Steps of the request, for the log.
        admission: Starts the first attempt when there is capacity.
    """

    def __init__(
        self,
        node: node_state.NodeState,
        sending: hop_attempt.PreparedRequest,
        route: model.Route,
        service: str,
        sink: hop_api.ResponseWriter | None,
        *,
        waited_ms: float = 0.0,
        account: str | None = None,
    ) -> None:
        self.node = node
        self.sending = sending
        self.route = route
        self.service = service
        self.arrived_ms = sending.request.arrived_ms
        self.waited_ms = waited_ms
        self.account = account
        self.selector = upstream_selector.UpstreamSelector(
            node,
            route,
            service,
            self.arrived_ms - waited_ms,
            sending.deadline_ms,
            request_bytes=len(sending.request.body),
        )
        self.sink = sink
        self.running: list[attempts.Attempt] = []
        self.tried: set[tuple[str, int]] = set()
        self.sends = 0
        self.first_sent_ms: float | None = None
        self.may_have_run = False
        self.last_kind: kinds.ErrorKind | None = None
        self.last_response: messages.Response | None = None
        self.stopped = False
        self.steps: list[str] = []
        self.admission = admission.Admission(self)

    async def run(self) -> outcomes.Outcome:
        """Runs the request; cancels attempts that are left at the end."""
        try:
            return await self.run_attempts()
        finally:
            self.cancel_running()

    async def run_attempts(self) -> outcomes.Outcome:
        """Starts attempts until a result determines the outcome."""
        refusal = await self.admission.start()
        if refusal is not None:
            return outcomes.Outcome(None, refusal)
        while True:
            left_ms = self.sending.deadline_ms - self.node.clock.now_ms()
            if left_ms <= 0.0:
                return self.deadline_outcome()
            if self.stopped:
                return outcomes.at_stop(self.was_sent())
            await asyncio.wait(
                [each.task for each in self.running],
                timeout=min(HEDGE_CHECK_INTERVAL_MS, left_ms) / MS_PER_SECOND,
                return_when=asyncio.FIRST_COMPLETED,
            )
            outcome = self.process_results()
            if outcome is not None:
                return outcome
            if not self.running:
                refusal = await self.retry()
                if refusal is not None:
                    return outcomes.after_failures(
                        refusal, self.last_response, self.may_have_run
                    )
            else:
                self.consider_hedge()

    def was_sent(self) -> bool:
        """Returns whether the request may have reached an upstream."""
        sent = any(each.delivery.sent for each in self.running)
        return self.may_have_run or sent

    # Starting

    def try_start(
        self,
        freed: load_view.UpstreamView | None = None,
        was_queued: bool = False,
    ) -> bool:
        """Starts the first attempt if an upstream has capacity for it.

        Args:
            freed: The only upstream to consider, None for any.
            was_queued: Whether the request has been queued.

        Returns:
            Whether an attempt was started.
        """
        choice = self.selector.select_first(freed, was_queued, self.tried)
        if choice is None or (self.sends and not self.spend_retry_budget()):
            return False
        self.start(choice, hedge=False)
        return True

    async def retry(self) -> kinds.ErrorKind | None:
        """Retries after a failure.

        Returns:
            The error to report if no retry was started, else None.
        """
        kind = self.last_kind or Kind.UPSTREAM_RESET
        if not self.may_retry(kind):
            return kind
        choice = self.selector.select_other(self.tried)
        if choice is None:
            # An upstream may have capacity soon.
            waits = not self.may_have_run
            if waits and await self.admission.start() is None:
                return None
            return kind
        if self.sends > 0 and not self.spend_retry_budget():
            return kind
        self.start(choice, hedge=False)
        return None

    def may_retry(self, kind: kinds.ErrorKind) -> bool:
        """Returns whether the request may be retried after an error."""
        return self.sends < self.route.max_attempts and outcomes.permits_retry(
            kind, self.sending.repeatable, self.may_have_run
        )

    def spend_retry_budget(self) -> bool:
        """Takes a retry from the service's budget; returns False if empty."""
        now_ms = self.node.clock.now_ms()
        fleet_size = self.node.members.fleet_size(now_ms)
        budget = self.node.retry_budget(self.service)
        return budget.try_spend(now_ms, fleet_size)

    def start(self, choice: placement.Candidate, hedge: bool) -> None:
        """Starts an attempt."""
        view = choice.view
        now_ms = self.node.clock.now_ms()
        work = self.selector.work
        usual = self.node.loads.mean_slowdown(self.service)
        pace = view.slowdown(now_ms, usual)
        queue_ms = choice.latency_ms - pace * work.service_ms
        self.steps.append(
            attempts.story_step(
                choice, hedge, pace, now_ms, now_ms - self.arrived_ms
            )
        )
        delivery = hop_attempt.DispatchState()
        sink = None if hedge else self.sink
        task = asyncio.ensure_future(
            self.node.client.send(
                self.sending,
                view.upstream,
                delivery,
                sink,
                functools.partial(
                    feedback.record_head, self.node, view, now_ms
                ),
            )
        )
        view.record_send(now_ms)
        self.tried.add(view.upstream.key)
        self.sends += 1
        if self.first_sent_ms is None:
            self.first_sent_ms = now_ms
        self.node.sends += 1
        self.node.hedges += hedge
        crowded = view.load() > placement.CONTENTION_THRESHOLD * view.slots()
        progress = retry_progress.Progress(
            max(1.0, work.service_ms), max(0.0, queue_ms), now_ms, now_ms
        )
        self.running.append(
            attempts.Attempt(view, task, delivery, progress, hedge, crowded)
        )

    def process_results(self) -> outcomes.Outcome | None:
        """Processes finished attempts; returns the outcome once decided."""
        for attempt in [each for each in self.running if each.task.done()]:
            self.running.remove(attempt)
            attempt.view.own_in_flight -= 1
            self.node.offer_slot(self.service, attempt.view)
            outcome = self.process_result(attempt)
            if outcome is not None:
                return outcome
        return None

    def process_result(
        self, attempt: attempts.Attempt
    ) -> outcomes.Outcome | None:
        """Processes one finished attempt; returns the outcome if decided."""
        now_ms = self.node.clock.now_ms()
        error = attempt.task.exception()
        if attempt.hedge and self.sink is not None and self.sink.streaming:
            # Another upstream's response is already being streamed.
            return None
        if error is not None:
            if not isinstance(error, exceptions.UpstreamError):
                raise error
            self.record_failure(attempt, error.kind, now_ms)
            if self.sink is not None and self.sink.streaming:
                return outcomes.Outcome(None, Kind.RESPONSE_TRUNCATED)
            return None
        response = attempt.task.result()
        feedback.record_response(
            self.node, self.route, self.service, attempt, response
        )
        kind = self.node.client.error_kind_of(response)
        if kind is None or response.streamed:
            attempt.view.record_outcome(False, now_ms)
            self.steps.append(f"answer {response.status}")
            return outcomes.Outcome(response)
        self.record_failure(attempt, kind, now_ms)
        if kind is Kind.UPSTREAM_FAILED:
            self.last_response = response
        return None

    def record_failure(
        self, attempt: attempts.Attempt, kind: kinds.ErrorKind, now_ms: float
    ) -> None:
        """Records a failed attempt and whether it may have run."""
        self.last_kind = kind
        self.steps.append(
            f"{kind.value} {attempt.view.upstream.upstream_id}"
            f" at={now_ms - self.arrived_ms:.0f}"
        )
        not_run = table.response_for(kind).outcome is table.Outcome.NOT_RUN
        if not attempt.delivery.sent:
            self.sends -= 1
        elif not not_run:
            self.may_have_run = True
        attempt.view.record_outcome(True, now_ms)
        self.node.reports.record_failure(attempt.view)

    def consider_hedge(self) -> None:
        """Starts a hedge if another upstream is likely to be much faster."""
        if not self.sending.repeatable or len(self.running) != 1:
            return
        attempt = self.running[0]
        now_ms = self.node.clock.now_ms()
        usual = self.node.loads.mean_slowdown(self.service)
        pace = attempt.view.slowdown(now_ms, usual)
        attempt.progress.advance(pace, now_ms)
        if (
            self.sends >= self.route.max_attempts
            or self.node.queue(self.service).queued
            or (self.sink is not None and self.sink.streaming)
        ):
            return
        remaining_ms = attempt.progress.remaining_ms(pace)
        if retry_progress.meets_target(
            now_ms - self.arrived_ms, remaining_ms, self.route.target_latency_ms
        ):
            return
        choice = self.selector.select_other(self.tried)
        left_ms = self.sending.deadline_ms - now_ms
        if (
            choice is not None
            and retry_progress.should_hedge(
                remaining_ms, choice.latency_ms, left_ms
            )
            and self.spend_retry_budget()
        ):
            self.start(choice, hedge=True)

    def cancel_running(self) -> None:
        """Cancels the attempts that are still running.

        An attempt that is long overdue counts as a failure of its upstream.
        """
        now_ms = self.node.clock.now_ms()
        for attempt in self.running:
            attempt.task.cancel()
            attempt.view.own_in_flight -= 1
            self.node.offer_slot(self.service, attempt.view)
            if attempt.progress.done > OVERDUE_FAILURE_FACTOR:
                attempt.view.record_outcome(True, now_ms)
                self.node.reports.record_failure(attempt.view)
        self.running = []

    def deadline_outcome(self) -> outcomes.Outcome:
        """Returns the outcome after the deadline has passed."""
        self.steps.append("deadline")
        return outcomes.at_deadline(self.was_sent())
