"""Measures what a hop adds to a call."""

from __future__ import annotations

from typing import Annotated

import anyio
import attrs
import orjson
import rich.console
import rich.table
import typer

from lovageyoke.bench import path
from lovageyoke.bench import path_hop
from lovageyoke.bench import path_load
from lovageyoke.bench import path_upstream
from lovageyoke.cli import bench
from lovageyoke.errors import exceptions
from lovageyoke.transport import api

SHARED = (
    "hops run as threads of this process and share its interpreter lock;"
    " start them with `lovageyoke bench hop` and give --connect instead"
)


@bench.BENCH.command("path")
def bench_path(
    *,
    rate: Annotated[float, typer.Option(help="Requests a second.")] = 200.0,
    duration: Annotated[float, typer.Option(help="Seconds a turn.")] = 5.0,
    turns: Annotated[int, typer.Option(help="Turns of each path.")] = 3,
    connections: Annotated[int, typer.Option(help="Connections.")] = 16,
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
    upstream_port: Annotated[int, typer.Option(help="0 picks one.")] = 0,
    connect: Annotated[
        list[str] | None, typer.Option(help="NAME=PORT of a running hop.")
    ] = None,
    json: Annotated[bool, typer.Option(help="Print JSON.")] = False,
) -> None:
    """Compare calls through hops with direct calls, on loopback."""
    upstream = path_upstream.listen("127.0.0.1", upstream_port)
    if connect:
        hops = dict(map(_parse_hop, connect))
    else:
        hops = {
            version.value: path.start_hop(version, upstream.getsockname()[1], 0)
            for version in path_hop.Version
        }
    load = path_load.Load(rate, duration, connections, seed)
    try:
        rows = anyio.run(
            path.run,
            load,
            turns,
            upstream,
            hops,
            backend_options=path.LOOP_OPTIONS,
        )
    except* exceptions.UpstreamError as group:
        raise typer.BadParameter(
            _describe(group), param_hint="--connect"
        ) from group
    if json:
        typer.echo(orjson.dumps([attrs.asdict(row) for row in rows]))
        return
    rich.console.Console().print(_table(rows))
    if not connect:
        typer.echo(SHARED, err=True)


@bench.BENCH.command("hop")
def bench_hop(
    *,
    upstream_port: Annotated[int, typer.Option(help="Of `bench path`.")],
    port: Annotated[int, typer.Option(help="Of the first of the hops.")],
) -> None:
    """Run the hops for `bench path --connect` until interrupted.

    Each has a thread and a port of its own, in the order printed. Only
    one is busy at a time, so that they don't take the interpreter from each
    other.
    """
    for offset, version in enumerate(path_hop.Version):
        target = path.start_hop(version, upstream_port, port + offset)
        typer.echo(f"{target.upstream_id}={target.port}")
    anyio.run(anyio.sleep_forever)


def _describe(error: BaseException) -> str:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return str(error)


def _parse_hop(text: str) -> tuple[str, api.Target]:
    name, _, port = text.partition("=")
    if not name or not port.isdigit():
        raise typer.BadParameter(f"{text!r} is not NAME=PORT")
    return name, api.Target(name, "127.0.0.1", int(port))


def _table(rows: list[path.Row]) -> rich.table.Table:
    table = rich.table.Table()
    for column in (
        "path",
        "requests",
        "failed",
        "p50 ms",
        "p99 ms",
        "added p50",
        "added p99",
        "CPU us",
        "req/s/core",
    ):
        table.add_column(column, justify="right")
    for row in rows:
        table.add_row(
            row.path,
            str(row.requests),
            str(row.failed),
            f"{row.p50_ms:.2f}",
            f"{row.p99_ms:.2f}",
            f"{row.added_p50_ms:.2f}",
            f"{row.added_p99_ms:.2f}",
            f"{row.cpu_us:.0f}",
            f"{row.per_core:.0f}",
        )
    return table
