"""Runs a supervised child and restarts it by its policy."""

from __future__ import annotations

import collections

import anyio
from loguru import logger

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.supervisor import child as child_lib


class Runner:
    """Runs a child under its supervisor.

    Attributes:
        child: The child.
        path: Name of the supervisor and of the child, for logs and errors.
        ended: Set when the child has ended and will not be restarted.
        restarts: Number of restarts so far.
    """

    def __init__(
        self, child: child_lib.Child, path: str, clock: clock_api.Clock
    ) -> None:
        self.child = child
        self.path = path
        self.ended = anyio.Event()
        self.restarts = 0
        self._clock = clock
        self._scope = anyio.CancelScope()
        self._stopping = False
        self._restart_times_ms: collections.deque[float] = collections.deque()

    async def run(self) -> None:
        """Runs the child until it ends without a restart or is stopped.

        Raises:
            SupervisorError: The child failed and may not be restarted.
        """
        try:
            with self._scope:
                while await self._run_once():
                    await self._back_off()
        finally:
            self.ended.set()

    async def stop(self) -> None:
        """Stops the child gracefully; cancels it after the stop timeout."""
        self._stopping = True
        if self.child.stop is not None and not self.ended.is_set():
            await self._stop_gracefully(self.child.stop)
        self._scope.cancel()
        await self.ended.wait()

    async def _run_once(self) -> bool:
        """Runs the child once; returns whether to restart it."""
        try:
            await self.child.run()
        except Exception as error:
            return self._should_restart_after_failure(error)
        return self._should_restart_after_exit()

    def _should_restart_after_failure(self, error: Exception) -> bool:
        if self._stopping:
            logger.warning("{} failed while stopping: {!r}", self.path, error)
            return False
        if self.child.restart is child_lib.Restart.NEVER:
            raise exceptions.SupervisorError(
                f"{self.path} failed: {error!r}"
            ) from error
        if not self._record_restart():
            raise exceptions.SupervisorError(
                f"{self.path} failed more than {self.child.max_restarts} times"
                f" within {self.child.window_ms:.0f} ms; last: {error!r}"
            ) from error
        logger.opt(exception=error).error("{} failed; restarting", self.path)
        return True

    def _should_restart_after_exit(self) -> bool:
        always = self.child.restart is child_lib.Restart.ALWAYS
        if self._stopping or not always:
            return False
        if self._record_restart():
            return True
        raise exceptions.SupervisorError(
            f"{self.path} ended more than {self.child.max_restarts} times"
            f" within {self.child.window_ms:.0f} ms"
        )

    def _record_restart(self) -> bool:
        now_ms = self._clock.now_ms()
        window_start_ms = now_ms - self.child.window_ms
        while (
            self._restart_times_ms
            and self._restart_times_ms[0] < window_start_ms
        ):
            self._restart_times_ms.popleft()
        if len(self._restart_times_ms) >= self.child.max_restarts:
            return False
        self._restart_times_ms.append(now_ms)
        self.restarts += 1
        return True

    async def _back_off(self) -> None:
        restarts = len(self._restart_times_ms) - 1
        await self._clock.sleep_ms(self.child.backoff.delay_ms(restarts))

    async def _stop_gracefully(self, stop: child_lib.Run) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_after_timeout, tasks.cancel_scope)
            try:
                await stop()
            except Exception as error:
                logger.warning("stopping {} failed: {!r}", self.path, error)
            await self.ended.wait()
            tasks.cancel_scope.cancel()

    async def _cancel_after_timeout(self, scope: anyio.CancelScope) -> None:
        await self._clock.sleep_ms(self.child.stop_timeout_ms)
        logger.warning(
            "{} did not stop before the timeout; cancelling it", self.path
        )
        scope.cancel()
