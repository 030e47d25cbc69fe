"""Updates load and work estimates from an upstream's response."""

from __future__ import annotations

from lovageyoke.hop import attempt as hop_attempt
from lovageyoke.hop import messages
from lovageyoke.node import attempts
from lovageyoke.node import state as node_state
from lovageyoke.routing import load_view
from lovageyoke.routing import model
from lovageyoke.routing import placement
from lovageyoke.routing import rate_limit


def record_head(
    node: node_state.NodeState,
    view: load_view.UpstreamView,
    sent_ms: float,
    status: int,
    headers: messages.Headers,
) -> None:
    """Records the rate limit in the head of a response.

    Args:
        node: Shared state of the process.
        view: The upstream that the request was sent to.
        sent_ms: When the request was sent.
        status: Status of the response.
        headers: Headers of the response.
    """
    if status == hop_attempt.MISDIRECTED:
        return
    node.rate_limiter.record_response(
        view, headers, sent_ms, rate_limit.Source.RESPONSE
    )


def record_response(
    node: node_state.NodeState,
    route: model.Route,
    service: str,
    attempt: attempts.Attempt,
    response: messages.Response,
) -> None:
    """Records the load report and the duration of a response.

    Args:
        node: Shared state of the process.
        route: The request's route.
        service: The service that served it.
        attempt: The attempt that received the response.
        response: The response.
    """
    now_ms = node.clock.now_ms()
    view = attempt.view
    report = node.decode_load(response.header(node.client.names.load))
    usual = node.loads.mean_slowdown(service)
    attempt.progress.advance(view.slowdown(now_ms, usual), now_ms)
    if report is not None:
        node.reports.record_report(view, report, now_ms)
        # The response frees a slot that a queued request of another process
        # may need, so the report is sent without waiting for the period.
        node.heartbeat_requested.set()
    crowded = attempt.crowded
    if report is not None:
        busy = placement.CONTENTION_THRESHOLD * report.slots
        crowded = crowded or report.running >= busy
    succeeded = response.status < messages.FIRST_REDIRECT_STATUS
    if not succeeded or attempt.progress.queue_ms > 0.0:
        return
    node.work.record(
        route,
        service,
        elapsed_ms=now_ms - attempt.progress.started_ms,
        slowdown=attempt.progress.mean_slowdown(now_ms),
        answer_bytes=len(response.body),
        contended=crowded,
    )
