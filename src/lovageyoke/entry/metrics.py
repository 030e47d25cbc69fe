"""Metrics of an entry VM."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

from starlette import requests
from starlette import responses
from starlette import routing

from lovageyoke.entry import fleet as fleet_lib
from lovageyoke.entry import request_path
from lovageyoke.observe import metrics

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"

_COUNTER = metrics.MetricKind.COUNTER
_GAUGE = metrics.MetricKind.GAUGE
_BY_SERVICE = ("service",)

SERVICES = metrics.Metric("services", _GAUGE, "Services in force.")
READY = metrics.Metric(
    "configuration_ready", _GAUGE, "1 once a whole configuration is known."
)
ENTRIES = metrics.Metric("entries", _GAUGE, "Entry VMs known.")
ENTRIES_CURRENT = metrics.Metric(
    "entries_current", _GAUGE, "Entry VMs that run this configuration."
)
PLATFORM_CALLS = metrics.Metric(
    "platform_configuration_calls_total",
    _COUNTER,
    "Calls to the platform for the configuration.",
)
PLATFORM_FAILING = metrics.Metric(
    "platform_failing", _GAUGE, "1 while the last platform call failed."
)
PROBES_SENT = metrics.Metric(
    "probes_sent_total", _COUNTER, "Probes sent.", _BY_SERVICE
)
PROBES_FAILED = metrics.Metric(
    "probes_failed_total",
    _COUNTER,
    "Probes without a report, those timed out included.",
    _BY_SERVICE,
)
PROBE_RIGHTS = metrics.Metric(
    "probe_rights",
    _GAUGE,
    "Probes that this entry VM may send in one window of the budget.",
    _BY_SERVICE,
)
RESPONSES = metrics.Metric(
    "answers_total", _COUNTER, "Answers to callers.", ("status",)
)
REJECTED = metrics.Metric(
    "requests_refused_total", _COUNTER, "Requests refused on arrival."
)
EXPIRED = metrics.Metric(
    "requests_expired_total", _COUNTER, "Requests that waited in vain."
)
CLAIMS = metrics.Metric("claims_total", _COUNTER, "Claims asked for here.")
CLAIMS_GRANTED = metrics.Metric(
    "claims_granted_total", _COUNTER, "Claims granted."
)
CLAIMS_UNAVAILABLE = metrics.Metric(
    "claims_unavailable_total", _COUNTER, "Claims that could not be made."
)
IN_FLIGHT = metrics.Metric(
    "requests_in_flight", _GAUGE, "Requests admitted and not ended."
)

ALL = (
    SERVICES,
    READY,
    ENTRIES,
    ENTRIES_CURRENT,
    PLATFORM_CALLS,
    PLATFORM_FAILING,
    PROBES_SENT,
    PROBES_FAILED,
    PROBE_RIGHTS,
    RESPONSES,
    REJECTED,
    EXPIRED,
    CLAIMS,
    CLAIMS_GRANTED,
    CLAIMS_UNAVAILABLE,
    IN_FLIGHT,
)


class EntryMetrics(metrics.MetricSource):
    """Collects the metrics of the components of an entry VM."""

    def __init__(
        self, fleet: fleet_lib.Fleet, path: request_path.RequestPath
    ) -> None:
        self._fleet = fleet
        self._path = path

    def samples(self) -> Iterable[metrics.Sample]:
        """Returns the current values."""
        yield from self._configuration()
        yield from self._probing()
        yield from self._requests()
        yield from self._claims()

    def _configuration(self) -> Iterator[metrics.Sample]:
        follower = self._fleet.follower
        rollout = follower.rollout()
        services = self._fleet.view.services().values()
        in_force = sum(each.service is not None for each in services)
        yield metrics.Sample(SERVICES, in_force)
        yield metrics.Sample(READY, int(rollout.ready))
        yield metrics.Sample(ENTRIES, rollout.entries)
        yield metrics.Sample(ENTRIES_CURRENT, rollout.current)
        yield metrics.Sample(PLATFORM_CALLS, follower.source.calls)
        yield metrics.Sample(PLATFORM_FAILING, int(follower.source.failing))

    def _requests(self) -> Iterator[metrics.Sample]:
        for status, count in self._path.observer.responses.items():
            yield metrics.Sample(RESPONSES, count, {"status": str(status)})
        control = self._path.app.admission.control
        yield metrics.Sample(REJECTED, control.refused)
        yield metrics.Sample(EXPIRED, control.expired)
        yield metrics.Sample(IN_FLIGHT, control.in_use)

    def _claims(self) -> Iterator[metrics.Sample]:
        stats = self._fleet.claims.stats
        yield metrics.Sample(CLAIMS, stats.claims)
        yield metrics.Sample(CLAIMS_GRANTED, stats.granted)
        yield metrics.Sample(CLAIMS_UNAVAILABLE, stats.unavailable)

    def _probing(self) -> Iterator[metrics.Sample]:
        for name, service in self._path.prober.services.items():
            labels = {"service": name}
            counters = service.scheduler.counters
            failed = counters.failed + counters.timed_out
            allowance = service.scheduler.counters.allowance
            yield metrics.Sample(PROBES_SENT, counters.sent, labels)
            yield metrics.Sample(PROBES_FAILED, failed, labels)
            yield metrics.Sample(PROBE_RIGHTS, allowance, labels)


def route(registry: metrics.MetricRegistry) -> routing.Route:
    """Returns the route that serves the metrics."""

    async def scrape(request: requests.Request) -> responses.Response:
        del request
        return responses.Response(registry.render(), media_type=CONTENT_TYPE)

    return routing.Route(METRICS_PATH, scrape)
