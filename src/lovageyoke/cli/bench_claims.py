"""Measures claims."""

from __future__ import annotations

from typing import Annotated

import attrs
import orjson
from rich import console as rich_console
from rich import table as rich_table
import typer

from lovageyoke.bench import claims as bench_claims
from lovageyoke.cli import bench
from lovageyoke.idempotency import shards

RATES_PER_S = (10.0, 100.0, 1_000.0)
DEFAULT_SECONDS = 20.0


@bench.BENCH.command()
def claims(
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
    seconds: Annotated[
        float, typer.Option(min=1, help="Virtual seconds for each rate.")
    ] = DEFAULT_SECONDS,
    shard_count: Annotated[
        int, typer.Option(min=1, help="Shards of the segmented log.")
    ] = shards.DEFAULT_SHARD_COUNT,
    json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Compare the segmented log with one platform key for each claim."""
    options = shards.Options(shard_count=shard_count)
    results = [
        bench_claims.measure(
            bench_claims.Load(kind, rate, seconds, seed, options)
        )
        for kind in bench_claims.LogKind
        for rate in RATES_PER_S
    ]
    if json:
        rows = [attrs.asdict(result) for result in results]
        typer.echo(orjson.dumps(rows).decode())
    else:
        _print(results)


def _print(results: list[bench_claims.Result]) -> None:
    table = rich_table.Table(title="claims in virtual time")
    for name in (
        "log",
        "claims/s",
        "p50 ms",
        "p99 ms",
        "refused",
        "writes/claim",
        "reads/claim",
        "writes/s",
        "CPU us/claim",
    ):
        table.add_column(name, justify="right")
    for result in results:
        table.add_row(
            result.log.value,
            f"{result.claims_per_s:,.0f}",
            f"{result.p50_ms:.1f}",
            f"{result.p99_ms:.1f}",
            f"{result.refused:,} of {result.claims:,}",
            f"{result.writes_per_claim:.2f}",
            f"{result.reads_per_claim:.2f}",
            f"{result.writes_per_s:.0f}",
            f"{result.cpu_us_per_claim:.0f}",
        )
    rich_console.Console(width=110).print(table)
