"""Measures how fast configuration spreads, and what it costs."""

from __future__ import annotations

from typing import Annotated

import attrs
from loguru import logger
import typer

from lovageyoke.bench import config_slopes
from lovageyoke.bench import propagation
from lovageyoke.cli import bench
from lovageyoke.cli import operator_access as output
from lovageyoke.store import rates

HEADINGS = (
    "condition",
    "p50 ms",
    "max ms",
    "missing",
    "reads/s",
    "writes/s",
    "watches/s",
    "refused",
    "peer msg/s",
)


@bench.BENCH.command("propagation")
def propagate(
    *,
    entries: Annotated[int, typer.Option(help="Entry VMs.")] = 16,
    changes: Annotated[int, typer.Option(help="Changes a run.")] = 60,
    seed: Annotated[int, typer.Option(help="Seed.")] = 1,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Time from confirm to the last entry, in virtual time."""
    logger.disable("lovageyoke")
    options = propagation.Options(entries=entries, changes=changes, seed=seed)
    results = [
        propagation.measure(condition, options)
        for condition in propagation.Condition
    ]
    if as_json:
        output.print_json(
            [
                {**attrs.asdict(each), "condition": each.condition.value}
                for each in results
            ]
        )
        return
    output.print_table(HEADINGS, [_row(each) for each in results])


@bench.BENCH.command("config-slopes")
def slopes(
    *,
    services: Annotated[int, typer.Option(help="In all groups.")] = 5_400,
    upstreams: Annotated[int, typer.Option(help="Of each service.")] = 5,
) -> None:
    """Bytes and microseconds that each service and change costs."""
    per_group = config_slopes.services_per_group(services)
    found = config_slopes.measure(per_group, upstreams)
    rows = [
        (name, f"{value:,.1f}") for name, value in attrs.asdict(found).items()
    ]
    output.print_table(("slope", "value"), rows)


def _row(result: propagation.Result) -> tuple[str, ...]:
    watches = result.calls_per_s.get(rates.CallKind.WATCH.value, 0.0)
    reads = result.calls_per_s.get(rates.CallKind.GET.value, 0.0)
    writes = sum(
        per_s
        for kind, per_s in result.calls_per_s.items()
        if rates.CallKind(kind) not in rates.READS
    )
    return (
        result.condition.value,
        f"{result.p50_ms:.1f}",
        f"{result.max_ms:.1f}",
        str(result.missing),
        f"{reads:.1f}",
        f"{writes:.1f}",
        f"{watches:.1f}",
        str(result.refused),
        f"{result.peer_messages_per_s:.0f}",
    )
