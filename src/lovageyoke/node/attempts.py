"""An attempt to send a request to an upstream."""

from __future__ import annotations

import asyncio

import attrs

from lovageyoke.hop import attempt as hop_attempt
from lovageyoke.hop import messages
from lovageyoke.retry import progress as retry_progress
from lovageyoke.routing import load_view
from lovageyoke.routing import placement

MAX_LOGGED_AGE_MS = 99_999.0


@attrs.define(eq=False)
class Attempt:
    """One attempt to send a request to an upstream.

    Attributes:
        view: Load view of the upstream.
        task: The task that sends the request.
        delivery: Delivery state of the request.
        progress: Estimated progress of the upstream's work.
        hedge: Whether another attempt was running when this one started.
        crowded: Whether the upstream's load was above the comfortable share
            of its slots when the attempt started.
    """

    view: load_view.UpstreamView
    task: asyncio.Task[messages.Response]
    delivery: hop_attempt.DispatchState
    progress: retry_progress.Progress
    hedge: bool
    crowded: bool


def story_step(
    choice: placement.Candidate,
    hedge: bool,
    pace: float,
    now_ms: float,
    elapsed_ms: float,
) -> str:
    """Describes the start of an attempt in the log of its request.

    Args:
        choice: The selected upstream and what is expected of it.
        hedge: Whether another attempt is running.
        pace: Slowdown of the upstream.
        now_ms: The time.
        elapsed_ms: Time since the request arrived.
    """
    view = choice.view
    age_ms = min(now_ms - view.reported_ms, MAX_LOGGED_AGE_MS)
    return (
        f"{'hedge' if hedge else 'send'} {view.upstream.upstream_id}"
        f" at={elapsed_ms:.0f} pace={pace:.1f}"
        f" load={view.load()}/{view.slots()} age={age_ms:.0f}"
        f" expect={choice.latency_ms:.0f}"
    )
