"""Metric registry that collects samples at each scrape."""

from __future__ import annotations

import abc
from collections.abc import Iterable
from collections.abc import Mapping
import enum

import aioprometheus
import attrs

PREFIX = "lovageyoke_"
ACCEPT_TEXT = ("text/plain",)


class MetricKind(enum.Enum):
    """Prometheus type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"


@attrs.frozen
class Metric:
    """Definition of an exposed metric.

    Attributes:
        name: Name without the common prefix.
        kind: Counter or gauge.
        help: Help text, with the unit.
        labels: Label names.
    """

    name: str
    kind: MetricKind
    help: str
    labels: tuple[str, ...] = ()


@attrs.frozen
class Sample:
    """The value of a metric at the time of a scrape.

    Attributes:
        metric: The metric.
        value: The value.
        labels: Label values by label name.
    """

    metric: Metric
    value: float
    labels: Mapping[str, str] = attrs.field(factory=dict)


class MetricSource(abc.ABC):
    """A component that exposes metrics.

    Components count in plain attributes, which a scrape reads, so that
    requests don't incur the cost of the metrics library.
    """

    @abc.abstractmethod
    def samples(self) -> Iterable[Sample]:
        """Returns the current samples."""


class MetricRegistry:
    """Renders the metrics of all sources.

    Attributes:
        sources: Registered metric sources.
    """

    def __init__(self) -> None:
        self.sources: list[MetricSource] = []

    def add(self, source: MetricSource) -> None:
        """Registers a source."""
        self.sources.append(source)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        registry = aioprometheus.Registry()
        collectors: dict[str, aioprometheus.Gauge] = {}
        for source in self.sources:
            for sample in source.samples():
                name = sample.metric.name
                if name not in collectors:
                    collectors[name] = _collector(sample.metric, registry)
                collectors[name].set(dict(sample.labels), sample.value)
        text, _ = aioprometheus.render(registry, ACCEPT_TEXT)
        return bytes(text)


def _collector(
    metric: Metric, registry: aioprometheus.Registry
) -> aioprometheus.Gauge:
    if metric.kind is MetricKind.COUNTER:
        collector_class = aioprometheus.Counter
    else:
        collector_class = aioprometheus.Gauge
    return collector_class(PREFIX + metric.name, metric.help, registry=registry)
