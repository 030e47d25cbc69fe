"""Results of attempts while a response is being streamed to the caller."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import os

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import nodes
from lovageyoke.errors import exceptions
from lovageyoke.hop import attempt as hop_attempt
from lovageyoke.hop import messages
from lovageyoke.node import assembly
from lovageyoke.node import attempts
from lovageyoke.node import race as node_race
from lovageyoke.retry import progress
from lovageyoke.routing import load_view
from lovageyoke.routing import model

pytestmark = pytest.mark.anyio

ROUTE = model.Route(
    "r",
    "h",
    "/",
    model.RepeatRule.IDEMPOTENT,
    (model.Target("maps", 1.0),),
    1_000.0,
    300.0,
    2,
    0,
)
UPSTREAM = model.Upstream("u1", 1, "maps", "127.0.0.1", 80, "a", 6)


class StreamingCaller:
    """A caller to which a response is being streamed."""

    streaming = True


@pytest.fixture
def race() -> Iterator[node_race.Race]:
    descriptor = os.open(os.devnull, os.O_WRONLY)
    node = assembly.build(nodes.settings(), nodes.settings, descriptor).node
    request = messages.Request(b"GET", b"/x", [(b"host", b"h")])
    sending = node.client.prepare(request, True, node.clock.now_ms() + 1_000)
    yield node_race.Race(node, sending, ROUTE, "maps", StreamingCaller())  # type: ignore[arg-type]
    os.close(descriptor)


async def finished_attempt(
    hedge: bool, error: exceptions.UpstreamError | None
) -> attempts.Attempt:
    async def send() -> messages.Response:
        if error is not None:
            raise error
        return messages.Response(200, b"OK", [], b"other")

    task = asyncio.ensure_future(send())
    await asyncio.wait([task])
    return attempts.Attempt(
        load_view.UpstreamView(UPSTREAM, 0.0),
        task,
        hop_attempt.DispatchState(sent=True),
        progress.Progress(100.0, 0.0, 0.0, 0.0),
        hedge,
        crowded=False,
    )


async def test_a_hedge_s_response_is_ignored_once_streaming_has_begun(
    race: node_race.Race,
) -> None:
    attempt = await finished_attempt(hedge=True, error=None)
    assert_that(race.process_result(attempt), matchers.Is(None))


async def test_a_failed_hedge_is_ignored_once_streaming_has_begun(
    race: node_race.Race,
) -> None:
    error = exceptions.UpstreamError("reset")
    attempt = await finished_attempt(hedge=True, error=error)
    assert_that(race.process_result(attempt), matchers.Is(None))


async def test_a_truncated_streamed_response_is_not_retried(
    race: node_race.Race,
) -> None:
    error = exceptions.UpstreamError("reset")
    attempt = await finished_attempt(hedge=False, error=error)
    outcome = race.process_result(attempt)
    assert outcome is not None
    assert_that(outcome.response, matchers.Is(None))
