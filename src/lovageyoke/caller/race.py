"""A hedged first attempt: a second copy is sent when the first is slow."""

from __future__ import annotations

import abc

import anyio

from lovageyoke.caller import attempt as attempt_module
from lovageyoke.caller import call as call_module
from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.routing import api as routing_api
from lovageyoke.transport import timers


class Attempter(abc.ABC):
    """Makes single attempts at calls."""

    @abc.abstractmethod
    async def attempt(
        self, call: call_module.Call, *, elsewhere: bool = False
    ) -> attempt_module.Answer:
        """Sends the request once."""


class Race:
    """Two attempts at one call, of which the first answer wins.

    Attributes:
        settled: Whether a winner is known; a later answer is dropped.
        answer: The answer of the second attempt, if it won.
    """

    def __init__(
        self,
        attempter: Attempter,
        call: call_module.Call,
        clock: clock_api.Clock,
        timer_queue: timers.Timers,
    ) -> None:
        self.settled = False
        self.answer: attempt_module.Answer | None = None
        self._attempter = attempter
        self._call = call
        self._clock = clock
        self._timers = timer_queue
        self._first = anyio.CancelScope()
        self._second: anyio.CancelScope | None = None
        self._second_ended: anyio.Event | None = None

    async def run(self, second_due_ms: float) -> attempt_module.Answer:
        """Returns the first answer.

        Args:
            second_due_ms: When the second attempt is due.

        Raises:
            LovageyokeError: The first attempt's error, when both failed.
        """
        timer = self._timers.call_at(second_due_ms, self._start_second)
        try:
            return await self._run()
        finally:
            timer.cancel()
            self._settle()

    async def _run(self) -> attempt_module.Answer:
        failure: exceptions.LovageyokeError | None = None
        with self._first:
            try:
                answer = await self._attempter.attempt(self._call)
            except exceptions.LovageyokeError as error:
                failure = error
            else:
                return answer
        if failure is not None and self._second_ended is not None:
            await self._second_ended.wait()
        if self.answer is not None:
            answer, self.answer = self.answer, None
            return answer
        if failure is not None:
            raise failure
        raise exceptions.LovageyokeError("a hedge ended without a result")

    def _settle(self) -> None:
        self.settled = True
        if self._second is not None:
            self._second.cancel()
        if self.answer is not None:
            self.answer.end(routing_api.Result.CANCELLED)

    def _start_second(self) -> None:
        if not self._call.route.budget.try_spend(self._clock.now_ms()):
            return
        scope = anyio.CancelScope()
        if self._timers.spawn(scope, self._run_second):
            self._second = scope
            self._second_ended = anyio.Event()

    async def _run_second(self) -> None:
        try:
            answer = await self._attempter.attempt(self._call, elsewhere=True)
            if self.settled:
                answer.end(routing_api.Result.CANCELLED)
            else:
                self.answer = answer
                self._first.cancel()
        except exceptions.LovageyokeError:
            # The first attempt goes on and decides the outcome.
            pass
        finally:
            if self._second_ended is not None:
                self._second_ended.set()
