"""Runs the soak."""

from __future__ import annotations

from typing import Annotated

import attrs
import orjson
from rich import console as rich_console
from rich import table as rich_table
import typer

from lovageyoke.cli import app
from lovageyoke.soak import invariants
from lovageyoke.soak import run as soak_run

DEFAULT_STEPS = 200_000
EXIT_BROKEN = 1


@app.APP.command()
def soak(
    seed: Annotated[int, typer.Option(help="Seed of every choice.")] = 1,
    steps: Annotated[
        int, typer.Option(min=1, help="Least number of steps.")
    ] = DEFAULT_STEPS,
    json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Run faults against the claim log and check its invariants."""
    try:
        report = soak_run.run(seed, steps)
    except invariants.InvariantError as error:
        typer.echo(f"seed {seed}: {error}", err=True)
        raise typer.Exit(EXIT_BROKEN) from error
    if json:
        typer.echo(orjson.dumps(attrs.asdict(report)).decode())
    else:
        _print(report)


def _print(report: soak_run.Report) -> None:
    table = rich_table.Table(title=f"seed {report.seed}")
    table.add_column("what")
    table.add_column("count", justify="right")
    table.add_row("steps", f"{report.steps:,}")
    table.add_row("virtual seconds", f"{report.virtual_ms / 1_000:,.0f}")
    sections = (
        ("step", report.counts),
        ("injected", report.faults),
        ("checked", report.checks),
    )
    for section, counts in sections:
        table.add_section()
        for name, count in counts.items():
            table.add_row(f"{section}: {name}", f"{count:,}")
    console = rich_console.Console()
    console.print(table)
    console.print(f"digest {report.digest}")
