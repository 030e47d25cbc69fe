"""Compares routing policies in virtual time."""

from __future__ import annotations

from collections.abc import Iterable
import pathlib
from typing import Annotated

import attrs
from rich import console
import typer

from lovageyoke.bench import policy_model
from lovageyoke.bench import policy_plots
from lovageyoke.bench import policy_report
from lovageyoke.bench import policy_run
from lovageyoke.cli import bench
from lovageyoke.routing import registry

TABLE_WIDTH = 150


@bench.BENCH.command("policy")
def bench_policy(
    *,
    deployment: Annotated[
        list[str], typer.Option(help="Deployments to run.")
    ] = list(policy_model.DEPLOYMENTS),  # noqa: B006
    scenario: Annotated[
        list[str], typer.Option(help="Scenarios to run.")
    ] = list(policy_model.SCENARIOS),  # noqa: B006
    policy: Annotated[
        list[str], typer.Option(help="Policies to compare.")
    ] = list(registry.NAMES),  # noqa: B006
    probes_per_s: Annotated[
        float | None,
        typer.Option(min=0.0, help="Probe budget; the deployment's if unset."),
    ] = None,
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
    """Compare routing policies in virtual time on fake upstreams."""
    check_names("--deployment", deployment, policy_model.DEPLOYMENTS)
    check_names("--scenario", scenario, policy_model.SCENARIOS)
    check_names("--policy", policy, registry.NAMES)
    summaries = [
        run_seeds(find_deployment(where, probes_per_s), each, name, seeds)
        for where in deployment
        for each in scenario
        for name in policy
    ]
    show(summaries, as_json)
    if report is not None:
        report.mkdir(parents=True, exist_ok=True)
        images = policy_plots.plot_p99(report, summaries)
        policy_report.write_page(report, "Policy bench", summaries, images)


def find_deployment(
    name: str, probes_per_s: float | None
) -> policy_model.Deployment:
    """Returns a deployment, with another probe budget if one is given."""
    deployment = policy_model.DEPLOYMENTS[name]
    if probes_per_s is None:
        return deployment
    return attrs.evolve(deployment, probes_per_s=probes_per_s)


def run_seeds(
    deployment: policy_model.Deployment,
    scenario: str,
    policy: str,
    seeds: int,
) -> policy_report.Summary:
    """Runs one policy in one scenario with each seed."""
    chosen = policy_model.SCENARIOS[scenario]
    return policy_report.summarize(
        [
            policy_run.PolicyRun(deployment, chosen, policy, seed).run()
            for seed in range(1, seeds + 1)
        ]
    )


def show(summaries: list[policy_report.Summary], as_json: bool) -> None:
    """Prints the results."""
    if as_json:
        typer.echo(policy_report.to_json(summaries))
        return
    screen = console.Console(width=TABLE_WIDTH)
    screen.print(policy_report.to_table(summaries))


def check_names(option: str, names: list[str], allowed: Iterable[str]) -> None:
    """Refuses names that are not allowed.

    Raises:
        BadParameter: Names each of them.
    """
    known = list(allowed)
    problems = tuple(
        f"{option}: {name!r} is not one of {', '.join(known)}"
        for name in names
        if name not in known
    )
    if problems:
        raise typer.BadParameter("; ".join(problems))
