"""Measures what a probe budget buys."""

from __future__ import annotations

import pathlib
from typing import Annotated

import attrs
import typer

from lovageyoke.bench import policy_model
from lovageyoke.bench import policy_plots
from lovageyoke.bench import policy_report
from lovageyoke.cli import bench
from lovageyoke.cli import bench_policy

BUDGETS = (0.0, 4.0, 16.0, 64.0, 160.0, 640.0, 1_600.0)


@bench.BENCH.command("probe-curve")
def bench_probe_curve(
    scenario: Annotated[
        str, typer.Option(help="Scenario to run.")
    ] = "combined",
    seeds: Annotated[
        int, typer.Option(min=1, help="Seeds, from 1 to this number.")
    ] = 3,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON.")
    ] = False,
    report: Annotated[
        pathlib.Path | None,
        typer.Option(help="Directory for an HTML page with plots."),
    ] = None,
) -> None:
    """Show p99 of the pool policy for growing probe budgets."""
    bench_policy.check_names("--scenario", [scenario], policy_model.SCENARIOS)
    summaries = [
        bench_policy.run_seeds(
            attrs.evolve(deployment, probes_per_s=budget),
            scenario,
            "pool",
            seeds,
        )
        for deployment in policy_model.DEPLOYMENTS.values()
        for budget in BUDGETS
    ]
    bench_policy.show(summaries, as_json)
    if report is not None:
        report.mkdir(parents=True, exist_ok=True)
        images = policy_plots.plot_curve(report, summaries)
        policy_report.write_page(report, "Probe curve", summaries, images)
