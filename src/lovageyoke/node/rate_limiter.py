"""Rate limits of the upstreams in this process."""

from __future__ import annotations

from collections.abc import Callable

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.hop import messages as hop_messages
from lovageyoke.observe import events
from lovageyoke.routing import load_view
from lovageyoke.routing import rate_limit

DecodeRateLimit = Callable[[hop_messages.Headers], float | None]


class RateLimiter:
    """Records the rate limits that upstreams state.

    Attributes:
        clock: Source of time.
        log: The event log.
        decode: Decodes the limit in the headers of a response.
        views: The upstreams that have stated a limit, by key.
        malformed: Keys of the upstreams whose last limit was malformed.
    """

    def __init__(
        self,
        clock: clock_api.Clock,
        log: events.EventLog,
        decode: DecodeRateLimit,
    ) -> None:
        self.clock = clock
        self.log = log
        self.decode = decode
        self.views: dict[tuple[str, int], load_view.UpstreamView] = {}
        self.malformed: set[tuple[str, int]] = set()

    def record_response(
        self,
        view: load_view.UpstreamView,
        headers: hop_messages.Headers,
        sent_ms: float,
        source: rate_limit.Source,
    ) -> None:
        """Records the limit in a response, or that it has none.

        Args:
            view: The upstream that responded.
            headers: The headers of the response.
            sent_ms: When the request was sent.
            source: Whether it was a request or a health check.
        """
        try:
            per_s = self.decode(headers)
        except exceptions.DecodeError as error:
            self.log_malformed(view, error)
            return
        if per_s is None and view.rate_limit is None:
            return
        known = self.limit_of(view)
        before = known.statement
        changed = known.apply_response(
            per_s,
            sent_ms=sent_ms,
            now_ms=self.clock.now_ms(),
            source=source,
        )
        if changed:
            self.log_change(view, before, source)

    def limit_of(self, view: load_view.UpstreamView) -> rate_limit.RateLimit:
        """Returns the limit of an upstream; adds one if it has none."""
        if view.rate_limit is None:
            view.rate_limit = rate_limit.RateLimit()
            self.views[view.upstream.key] = view
        return view.rate_limit

    def keep_only(self, known: dict[str, load_view.UpstreamView]) -> None:
        """Forgets the upstreams that no longer exist.

        Args:
            known: The upstreams that exist, by id.
        """
        keys = {each.upstream.key for each in known.values()}
        for key in [each for each in self.views if each not in keys]:
            del self.views[key]
        self.malformed &= keys

    def limited_count(self) -> int:
        """Returns the number of upstreams with a limit."""
        return sum(
            each.rate_limit is not None and each.rate_limit.per_s is not None
            for each in self.views.values()
        )

    def log_change(
        self,
        view: load_view.UpstreamView,
        before: rate_limit.Statement,
        source: rate_limit.Source,
    ) -> None:
        """Logs that a limit was stated, has changed or has ended."""
        now = self.limit_of(view).statement
        self.log.event(
            "rate-limit",
            upstream=view.upstream.upstream_id,
            service=view.upstream.service,
            per_s=now.per_s,
            before_per_s=before.per_s,
            source=source.value,
            age_ms=round(self.clock.now_ms() - now.stated_ms),
        )

    def log_malformed(
        self, view: load_view.UpstreamView, error: exceptions.DecodeError
    ) -> None:
        """Logs a malformed limit, once until a valid one is received."""
        key = view.upstream.key
        if key not in self.malformed:
            self.malformed.add(key)
            self.log.event(
                "rate-limit-malformed",
                upstream=view.upstream.upstream_id,
                detail=str(error),
            )
