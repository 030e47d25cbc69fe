"""Hedges the first attempt: sends a second one if the first is slow."""

from __future__ import annotations

import abc

import anyio

from lovageyoke.caller import attempt as attempt_module
from lovageyoke.caller import call as call_module
from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.routing import api as routing_api
from lovageyoke.transport import timers


class AttemptSender(abc.ABC):
    """Sends single attempts at calls."""

    @abc.abstractmethod
    async def attempt(
        self, call: call_module.Call, *, untried_only: bool = False
    ) -> attempt_module.Response:
        """Sends the request once."""


class Race:
    """Two attempts at one call, of which the first response wins.

    Attributes:
        finished: Whether the race is over; a later response is discarded.
        response: The response of the second attempt, if it won.
    """

    def __init__(
        self,
        attempt_sender: AttemptSender,
        call: call_module.Call,
        clock: clock_api.Clock,
        timer_queue: timers.Timers,
    ) -> None:
        self.finished = False
        self.response: attempt_module.Response | None = None
        self._attempt_sender = attempt_sender
        self._call = call
        self._clock = clock
        self._timers = timer_queue
        self._first = anyio.CancelScope()
        self._second: anyio.CancelScope | None = None
        self._second_ended: anyio.Event | None = None

    async def run(self, second_due_ms: float) -> attempt_module.Response:
        """Returns the first response.

        Args:
            second_due_ms: Monotonic time to send the second attempt.

        Raises:
            LovageyokeError: The first attempt's error if both failed.
        """
        timer = self._timers.call_at(second_due_ms, self._start_second)
        try:
            return await self._run()
        finally:
            timer.cancel()
            self._finish()

    async def _run(self) -> attempt_module.Response:
        failure: exceptions.LovageyokeError | None = None
        with self._first:
            try:
                response = await self._attempt_sender.attempt(self._call)
            except exceptions.LovageyokeError as error:
                failure = error
            else:
                return response
        if failure is not None and self._second_ended is not None:
            await self._second_ended.wait()
        if self.response is not None:
            response, self.response = self.response, None
            return response
        if failure is not None:
            raise failure
        raise exceptions.LovageyokeError("the hedge ended without a response")

    def _finish(self) -> None:
        self.finished = True
        if self._second is not None:
            self._second.cancel()
        if self.response is not None:
            self.response.end(routing_api.Result.CANCELLED)

    def _start_second(self) -> None:
        if not self._call.route.budget.try_spend(self._clock.now_ms()):
            return
        scope = anyio.CancelScope()
        if self._timers.spawn(scope, self._run_second):
            self._second = scope
            self._second_ended = anyio.Event()

    async def _run_second(self) -> None:
        try:
            response = await self._attempt_sender.attempt(
                self._call, untried_only=True
            )
            if self.finished:
                response.end(routing_api.Result.CANCELLED)
            else:
                self.response = response
                self._first.cancel()
        except exceptions.LovageyokeError:
            # The first attempt continues and determines the outcome.
            pass
        finally:
            if self._second_ended is not None:
                self._second_ended.set()
