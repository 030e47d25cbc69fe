"""The metrics page of the forwarding process."""

from __future__ import annotations

import collections

from lovageyoke.fleet import follower as fleet_follower
from lovageyoke.fleet import link as fleet_link
from lovageyoke.hop import api as hop_api
from lovageyoke.hop import connection_set as hop_connections
from lovageyoke.hop import messages
from lovageyoke.node import forwarder as node_forwarder
from lovageyoke.node import internal
from lovageyoke.node import prober as node_prober
from lovageyoke.node import state as node_state
from lovageyoke.observe import exposition
from lovageyoke.store import revisions

PATH = "/metrics"
TEXT = (b"content-type", b"text/plain; version=0.0.4")


class MetricsPage(internal.InternalHandler):
    """Renders the metrics for a scraper.

    Attributes:
        node: Shared state of the process.
        forwarder: Source of the request metrics.
        follower: Source of the store replica's metrics.
        prober: Source of the health check metrics.
        store: Source of the store call counts.
        link: Source of the peer traffic metrics.
        connections: The callers' connections.
    """

    def __init__(
        self,
        node: node_state.NodeState,
        forwarder: node_forwarder.Forwarder,
        follower: fleet_follower.Follower,
        prober: node_prober.Prober,
        *,
        store: revisions.RevisionStore,
        link: fleet_link.PeerLink,
    ) -> None:
        super().__init__(node)
        self.forwarder = forwarder
        self.follower = follower
        self.prober = prober
        self.store = store
        self.link = link
        self.connections = hop_connections.ConnectionSet()

    async def handle(
        self, request: messages.Request, caller: hop_api.ResponseWriter
    ) -> None:
        """Responds to one scrape."""
        if request.path != PATH:
            caller.send_response(
                messages.Response(404, b"-", [], b"not found\n")
            )
            return
        text = "\n".join(self.lines()) + "\n"
        caller.send_response(
            messages.Response(200, b"OK", [TEXT], text.encode())
        )

    def lines(self) -> list[str]:
        """Returns all lines of the page."""
        return [*self.counters(), *self.gauges(), *self.histograms()]

    def counters(self) -> list[str]:
        """Returns the lines of the counters."""
        counted = self.forwarder.counters
        answers = {str(key): each for key, each in counted.answers.items()}
        totals = {
            "requests": counted.requests,
            "abandoned": counted.abandoned,
            "sends": self.node.sends,
            "hedges": self.node.hedges,
            "health_checks": self.prober.sent,
            "connections_opened": self.node.client.pool.opened,
            "entries_rejected": self.follower.replica.registry.rejected,
            "late_writes": self.follower.replica.registry.late_writes,
            "store_returns": self.follower.replica.returns,
            "log_lines": self.node.log.written,
            "heard_bytes": self.link.received_bytes,
            "malformed_messages": self.link.malformed,
            "connections_evicted": self.connections.evicted,
            "connections_refused": self.connections.refused,
        }
        refused = {
            service: budget.refused
            for service, budget in self.node.retry_budgets.items()
        }
        waited = {
            service: queue.refused
            for service, queue in self.node.queues.items()
        }
        refusals: collections.Counter[str] = collections.Counter()
        for queue in self.node.queues.values():
            refusals.update(queue.refusals())
        limited = {
            name: use.refused
            for name, use in self.node.quotas.accounts.by_name.items()
        }
        budget = self.node.client.budget
        counter = exposition.render_counter
        return [
            *counter("total", "of", totals),
            *counter("answers_total", "status", answers),
            *counter("errors_total", "kind", counted.errors),
            *counter("store_calls_total", "call", self.store.calls),
            *counter("sent_bytes_total", "audience", self.link.sent_bytes),
            *counter("repeats_refused_total", "service", refused),
            *counter("waits_refused_total", "service", waited),
            *counter("admission_refused_total", "of", refusals),
            *counter("quota_refused_total", "account", limited),
            *counter("memory_short_total", "done", budget.relieved),
            *counter("log_lines_dropped", "event", self.node.log.dropped),
        ]

    def gauges(self) -> list[str]:
        """Returns the lines of the gauges."""
        now_ms = self.node.clock.now_ms()
        waiting = sum(len(queue.queued) for queue in self.node.queues.values())
        values = {
            "configuration_version": self.forwarder.version(),
            "store_era": self.follower.replica.position.era,
            "store_revision": self.follower.replica.position.revision,
            "store_age_ms": self.follower.replica.staleness_ms(now_ms),
            "store_behind_ms": self.follower.replica.behind_ms(now_ms),
            "store_ok": self.follower.store_ok,
            "peers_live": len(self.node.members.live(now_ms)),
            "upstreams_known": len(self.node.loads.by_id),
            "domains_evacuated": len(
                self.follower.replica.registry.evacuated_domains()
            ),
            "requests_waiting": waiting,
            "upstreams_rate_limited": self.node.rate_limiter.limited_count(),
            "accounts_limited": self.node.quotas.limited_count(),
            "upstreams_cold": self.node.cold_starts.cold_count(),
            "ready": self.node.ready,
            "collecting": self.node.members.collecting_since_ms is not None,
            "period_ms": self.node.period_ms,
            "connections_open": len(self.connections.open),
            "held_bytes": self.node.client.budget.used_bytes,
            "held_bytes_peak": self.node.client.budget.peak_bytes,
            "held_bytes_limit": self.node.client.budget.limit_bytes,
        }
        lines = [
            line
            for name, value in values.items()
            for line in exposition.render_gauge(name, float(value))
        ]
        ages_ms = {
            domain: round(now_ms - contact_ms)
            for domain, contact_ms in self.node.members.contact_ms.items()
        }
        render = exposition.render_gauges
        return lines + render("domain_word_age_ms", "domain", ages_ms)

    def histograms(self) -> list[str]:
        """Returns the lines of the histograms."""
        render = exposition.render_histogram
        return [
            *render("request_ms", self.forwarder.counters.request_ms),
            *render("wait_ms", self.forwarder.counters.wait_ms),
            *render("loop_lag_ms", self.node.loop_lag_ms),
        ]
