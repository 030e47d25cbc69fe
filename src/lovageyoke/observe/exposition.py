"""Counters, gauges and histograms in the Prometheus text format.

A metrics library would add a megabyte of memory to each process, and only its
rendering would be used.
"""

from __future__ import annotations

import bisect
from collections.abc import Mapping

import attrs

BUCKETS_MS = (5, 10, 25, 50, 100, 200, 300, 500, 800, 1_200, 2_000, 5_000)


@attrs.define
class Histogram:
    """Latency histogram with fixed buckets.

    Attributes:
        counts: Samples in each bucket; the last is above all bounds.
        total_ms: Sum of the samples, in milliseconds.
    """

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BUCKETS_MS) + 1))
    total_ms: float = 0.0

    def record(self, sample_ms: float) -> None:
        """Adds a sample."""
        self.counts[bisect.bisect_left(BUCKETS_MS, sample_ms)] += 1
        self.total_ms += sample_ms


def render_counter(
    name: str, label: str, samples: Mapping[str, float]
) -> list[str]:
    """Returns the lines of a counter with one label."""
    return _render_labelled("counter", name, label, samples)


def render_gauges(
    name: str, label: str, samples: Mapping[str, float]
) -> list[str]:
    """Returns the lines of a gauge with one label."""
    return _render_labelled("gauge", name, label, samples)


def _render_labelled(
    kind: str, name: str, label: str, samples: Mapping[str, float]
) -> list[str]:
    lines = [f"# TYPE lovageyoke_{name} {kind}"]
    for label_value, sample in sorted(samples.items()):
        lines.append(
            f'lovageyoke_{name}{{{label}="{_escaped(label_value)}"}} {sample}'
        )
    return lines


def render_gauge(name: str, value: float) -> list[str]:
    """Returns the lines of a gauge."""
    return [f"# TYPE lovageyoke_{name} gauge", f"lovageyoke_{name} {value:g}"]


def render_histogram(name: str, histogram: Histogram) -> list[str]:
    """Returns the lines of a histogram with bounds in milliseconds."""
    metric_name = f"lovageyoke_{name}"
    lines = [f"# TYPE {metric_name} histogram"]
    cumulative = 0
    for bound, count in zip(BUCKETS_MS, histogram.counts, strict=False):
        cumulative += count
        lines.append(f'{metric_name}_bucket{{le="{bound}"}} {cumulative}')
    sample_count = sum(histogram.counts)
    lines.append(f'{metric_name}_bucket{{le="+Inf"}} {sample_count}')
    lines.append(f"{metric_name}_sum {histogram.total_ms:.0f}")
    lines.append(f"{metric_name}_count {sample_count}")
    return lines


def _escaped(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"')
