"""Runs the configuration soak."""

from __future__ import annotations

from typing import Annotated

import attrs
from loguru import logger
import typer

from lovageyoke.cli import app
from lovageyoke.cli import exits
from lovageyoke.cli import operator_access as output
from lovageyoke.soak import config_run
from lovageyoke.soak import invariants

DEFAULT_STEPS = 200_000
RUN_MS = 20_000.0


@app.APP.command("soak-config")
def soak_config(
    *,
    seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 1,
    steps: Annotated[
        int, typer.Option(min=1, help="Least number of steps.")
    ] = DEFAULT_STEPS,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Race operators under faults and check configuration's invariants."""
    logger.disable("lovageyoke")
    total = config_run.Report(seed)
    runs = 0
    while total.steps < steps:
        try:
            report = config_run.run(seed + runs, RUN_MS)
        except invariants.InvariantError as error:
            typer.echo(f"seed {seed + runs}: {error}", err=True)
            raise typer.Exit(exits.ExitCode.BROKEN_PROMISE) from error
        total = total.plus(report)
        runs += 1
    table = {"runs": runs, **attrs.asdict(total)}
    if as_json:
        output.print_json(table)
        return
    rows = [(name, f"{count:,}") for name, count in table.items()]
    output.print_table(("what", "count"), rows)
