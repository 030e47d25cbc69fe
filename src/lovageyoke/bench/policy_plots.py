"""Plots of the policy bench; they need the ``report`` extra."""

from __future__ import annotations

from collections.abc import Sequence
import pathlib
from typing import Any

from lovageyoke.bench import policy_report
from lovageyoke.errors import exceptions


def plot_p99(
    directory: pathlib.Path, summaries: Sequence[policy_report.Summary]
) -> list[str]:
    """Plots p99 by scenario and policy; returns the file names."""
    pyplot = _load_pyplot()
    names = []
    for deployment in dict.fromkeys(each.deployment for each in summaries):
        rows = [each for each in summaries if each.deployment == deployment]
        scenarios = list(dict.fromkeys(each.scenario for each in rows))
        policies = list(dict.fromkeys(each.policy for each in rows))
        figure, axes = pyplot.subplots(figsize=(9, 4))
        width = 0.8 / len(policies)
        for number, policy in enumerate(policies):
            chosen = [each for each in rows if each.policy == policy]
            places = [
                scenarios.index(each.scenario) + number * width
                for each in chosen
            ]
            heights = [each.p99_ms for each in chosen]
            axes.bar(places, heights, width, label=policy)
        axes.set_xticks(range(len(scenarios)), scenarios)
        axes.set_ylabel("p99 ms")
        axes.legend()
        names.append(f"p99-{deployment}.png")
        figure.savefig(directory / names[-1])
        pyplot.close(figure)
    return names


def plot_curve(
    directory: pathlib.Path, summaries: Sequence[policy_report.Summary]
) -> list[str]:
    """Plots probes a second against p99; returns the file name."""
    pyplot = _load_pyplot()
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for deployment in dict.fromkeys(each.deployment for each in summaries):
        rows = [each for each in summaries if each.deployment == deployment]
        costs = [each.probes_per_s for each in rows]
        axes.plot(costs, [each.p99_ms for each in rows], "o-", label=deployment)
    axes.set_xlabel("probes a second, whole fleet")
    axes.set_ylabel("p99 ms")
    axes.legend()
    figure.savefig(directory / "probe-curve.png")
    pyplot.close(figure)
    return ["probe-curve.png"]


def _load_pyplot() -> Any:  # noqa: ANN401
    try:
        import matplotlib as mpl  # noqa: PLC0415
    except ImportError as error:
        raise exceptions.SettingsError(
            ("--report: needs matplotlib, which the extra 'report' brings",)
        ) from error
    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    return pyplot
