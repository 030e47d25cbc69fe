"""Tests of the virtual clock."""

from __future__ import annotations

import anyio
from testtools import assertions
from testtools import matchers


async def test_sleepers_wake_in_order_of_time(clock, anyio_backend):
    woken = []

    async def sleeper(duration_ms):
        await clock.sleep_ms(duration_ms)
        woken.append(duration_ms)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sleeper, 20)
        tasks.start_soon(sleeper, 10)
        await anyio.wait_all_tasks_blocked()
        clock.advance(10)
        await anyio.wait_all_tasks_blocked()
        assertions.assert_that(woken, matchers.Equals([10]))
        clock.advance(10)
    assertions.assert_that(woken, matchers.Equals([10, 20]))
