"""Supervisor of the tasks of a process."""

from __future__ import annotations

import anyio
from loguru import logger

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.supervisor import child as child_lib
from lovageyoke.supervisor import runner

SEPARATOR = "/"


class Supervisor:
    """Starts children in order, restarts them, stops them in reverse order.

    A child that fails and may not be restarted stops its siblings and fails
    the supervisor; the failure of the root supervisor ends the process.

    Attributes:
        name: Name in logs and errors.
        children: The children, in start order.
        runners: Runners of the children, set when the supervisor runs.
    """

    def __init__(
        self,
        name: str,
        children: tuple[child_lib.Child, ...],
        clock: clock_api.Clock,
    ) -> None:
        names = [child.name for child in children]
        if len(set(names)) != len(names):
            raise ValueError(f"{name}: duplicate child names in {names}")
        self.name = name
        self.children = children
        self.runners: tuple[runner.Runner, ...] = ()
        self._clock = clock
        self._stop = anyio.Event()
        self._running_count = 0
        self._failure: exceptions.SupervisorError | None = None

    async def run(self) -> None:
        """Runs until ``stop`` is called or all children have ended.

        Raises:
            SupervisorError: A child failed and may not be restarted.
        """
        self._failure = None
        self._running_count = len(self.children)
        self.runners = tuple(
            runner.Runner(
                each, f"{self.name}{SEPARATOR}{each.name}", self._clock
            )
            for each in self.children
        )
        async with anyio.create_task_group() as tasks:
            for each in self.runners:
                tasks.start_soon(self._supervise, each, name=each.path)
            if self.runners:
                await self._stop.wait()
            await self._stop_children()
        self._stop = anyio.Event()
        if self._failure is not None:
            raise self._failure

    async def stop(self) -> None:
        """Starts a graceful stop; ``run`` returns when it is complete."""
        self._stop.set()

    def as_child(
        self,
        restart: child_lib.Restart = child_lib.Restart.NEVER,
        stop_timeout_ms: float = child_lib.DEFAULT_STOP_TIMEOUT_MS,
    ) -> child_lib.Child:
        """Returns a child that runs this supervisor under a parent supervisor.

        Args:
            restart: Restart policy.
            stop_timeout_ms: Time for all children to stop, in milliseconds.
        """
        return child_lib.Child(
            name=self.name,
            run=self.run,
            stop=self.stop,
            restart=restart,
            stop_timeout_ms=stop_timeout_ms,
        )

    async def _supervise(self, each: runner.Runner) -> None:
        try:
            await each.run()
        except exceptions.SupervisorError as error:
            logger.error("{}", error.detail)
            self._failure = self._failure or error
            self._stop.set()
        self._running_count -= 1
        if not self._running_count:
            self._stop.set()

    async def _stop_children(self) -> None:
        for each in reversed(self.runners):
            await each.stop()
