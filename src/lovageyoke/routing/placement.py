"""Chooses the upstream of a request by the time it is expected to take.

The choice serves loads whose upstreams slow down and recover within
milliseconds: a fast upstream with a short queue in another failure domain is
better than a slow one nearby, and a nearly equal one nearby saves the bytes
between failure domains.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import random

import attrs

from lovageyoke.routing import load_view

CROSS_DOMAIN_MS = 3.0  # Round trip between failure domains.
CROSS_DOMAIN_MS_PER_KB = 2.5  # Large answers stay in their domain if they can.
UNHEALTHY_MS = 2_000.0  # Taken only when no other upstream is left.
FAILURE_MS = 1_500.0  # What a certain failure costs the caller.
FULL_SLOWDOWN = 0.15  # Upstreams slow down a little when nearly full.
JITTER = 0.12  # Spreads processes that would choose the same upstream.


@attrs.frozen
class Work:
    """What a request is expected to need.

    Attributes:
        service_ms: Time of work at an upstream of usual pace.
        answer_kb: Size of its answer in kilobytes.
    """

    service_ms: float
    answer_kb: float


@attrs.frozen
class Choice:
    """An upstream and what to expect of it.

    Attributes:
        view: The upstream.
        finish_ms: Expected time until its answer.
        cost_ms: ``finish_ms`` and all that speaks against the upstream.
    """

    view: load_view.UpstreamView
    finish_ms: float
    cost_ms: float


def expected_finish_ms(
    view: load_view.UpstreamView, work: Work, now_ms: float, usual: float
) -> float:
    """Returns the time until an upstream answers a request sent now.

    Args:
        view: The upstream.
        work: What the request needs.
        now_ms: The time.
        usual: Pace of an upstream that nothing is known of.
    """
    slots = view.slots()
    load = view.load()
    ahead = max(0, load + 1 - slots)
    each_ms = view.pace(now_ms, usual) * work.service_ms
    each_ms *= 1.0 + FULL_SLOWDOWN * min(1.0, load / slots)
    return each_ms * (1.0 + ahead / slots)


def usable(view: load_view.UpstreamView) -> bool:
    """Returns whether new requests may go to an upstream."""
    return not view.upstream.draining


def choose(
    views: Iterable[load_view.UpstreamView],
    work: Work,
    *,
    failure_domain: str,
    usual: float,
    now_ms: float,
    rng: random.Random,
    excluded: Collection[tuple[str, int]] = (),
) -> Choice | None:
    """Returns the best upstream for a request, None when there is none.

    Args:
        views: The upstreams of the request's service.
        work: What the request needs.
        failure_domain: Where this process runs.
        usual: Pace of an upstream that nothing is known of.
        now_ms: The time.
        rng: Source of the jitter.
        excluded: Upstreams that were tried already.
    """
    best: Choice | None = None
    for view in views:
        if not usable(view) or view.upstream.key in excluded:
            continue
        finish_ms = expected_finish_ms(view, work, now_ms, usual)
        cost_ms = finish_ms * (1.0 + JITTER * rng.random())
        cost_ms += FAILURE_MS * view.aged_failure_rate(now_ms)
        if view.upstream.failure_domain != failure_domain:
            finish_ms += CROSS_DOMAIN_MS
            cost_ms += CROSS_DOMAIN_MS
            cost_ms += CROSS_DOMAIN_MS_PER_KB * work.answer_kb
        if view.unhealthy or view.silent_probes >= load_view.SILENT_PROBES:
            cost_ms += UNHEALTHY_MS
        if best is None or cost_ms < best.cost_ms:
            best = Choice(view, finish_ms, cost_ms)
    return best
