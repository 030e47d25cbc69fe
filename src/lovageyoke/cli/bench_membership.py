"""Measures what membership costs and how soon it notices failures."""

from __future__ import annotations

from typing import Annotated

import attrs
import orjson
from rich import console
from rich import table
import typer

from lovageyoke.bench import membership_run
from lovageyoke.cli import bench

TABLE_WIDTH = 150
DEFAULT_SIZES = (16, 200)


@bench.BENCH.command("membership")
def bench_membership(
    *,
    size: Annotated[
        list[int], typer.Option(min=4, help="Entries in the fleet.")
    ] = list(DEFAULT_SIZES),  # noqa: B006
    seed: Annotated[int, typer.Option(help="Seed of random numbers.")] = 1,
    loss: Annotated[
        float,
        typer.Option(min=0, max=0.9, help="Loss for false suspicions."),
    ] = 0.1,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON.")
    ] = False,
) -> None:
    """Measure membership in virtual time on a fake network."""
    results = [membership_run.measure(each, seed, loss) for each in size]
    if as_json:
        typer.echo(orjson.dumps([attrs.asdict(each) for each in results]))
        return
    shown = table.Table(title=f"Membership, seed {seed}, loss {loss:.0%}")
    for field in attrs.fields(membership_run.Result):
        shown.add_column(field.name.replace("_", " "), justify="right")
    for each in results:
        shown.add_row(*(f"{value:,.0f}" for value in attrs.astuple(each)))
    console.Console(width=TABLE_WIDTH).print(shown)
