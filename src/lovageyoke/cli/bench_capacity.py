"""Measures an entry's cost at a number of services."""

from __future__ import annotations

import json
from typing import Annotated

import attrs
import rich.console
import rich.table
import typer

from lovageyoke.bench import capacity as capacity_bench
from lovageyoke.cli import bench


@bench.BENCH.command("capacity")
def capacity(
    *,
    services: Annotated[int, typer.Option(help="Services.", min=1)] = 5_400,
    upstreams: Annotated[
        int, typer.Option(help="Upstreams of each.", min=1)
    ] = 5,
    seconds: Annotated[
        float, typer.Option(help="How long each stage idles.", min=0.1)
    ] = 10.0,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON.")
    ] = False,
) -> None:
    """Measure an entry without services, then with many of them."""
    stages = capacity_bench.run(services, upstreams, seconds)
    if as_json:
        typer.echo(json.dumps([attrs.asdict(each) for each in stages]))
        return
    table = rich.table.Table(title="One entry without requests")
    for heading in (
        "stage",
        "services",
        "upstreams",
        "resident MB",
        "idle us/s",
        "load s",
    ):
        table.add_column(heading)
    for each in stages:
        table.add_row(
            each.name,
            str(each.services),
            str(each.upstreams),
            f"{each.resident_mb:.1f}",
            f"{each.idle_us_per_s:.0f}",
            f"{each.load_s:.2f}",
        )
    rich.console.Console().print(table)
