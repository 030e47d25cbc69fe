"""Prints what the demonstration showed."""

from __future__ import annotations

import rich.console
import rich.table

from lovageyoke.config import document
from lovageyoke.demo import promises
from lovageyoke.demo import traffic

PERCENTILES = (50.0, 99.0)


def show(
    console: rich.console.Console,
    record: traffic.Record,
    judged: tuple[promises.Promise, ...],
    audit: tuple[document.AuditRecord, ...],
) -> None:
    """Prints latencies, the audit trail and the promises."""
    console.print(_latency_table(record))
    console.print(_audit_table(audit))
    console.print(_promise_table(judged))


def _latency_table(record: traffic.Record) -> rich.table.Table:
    table = rich.table.Table(title="Requests")
    for heading in ("kind", "answered", "refused", "p50 ms", "p99 ms"):
        justify = "left" if heading == "kind" else "right"
        table.add_column(heading, justify=justify)  # type: ignore[arg-type]
    for kind, each in sorted(record.latencies.items()):
        shown = [f"{each.percentile_ms(p):.1f}" for p in PERCENTILES]
        table.add_row(kind, str(each.count), str(each.failed), *shown)
    return table


def _audit_table(
    audit: tuple[document.AuditRecord, ...],
) -> rich.table.Table:
    table = rich.table.Table(title="Audit trail")
    for heading in ("operator", "action", "service", "version", "plan"):
        table.add_column(heading)
    for each in audit:
        table.add_row(
            each.operator,
            each.action.value,
            each.service,
            str(each.version),
            each.plan_id,
        )
    return table


def _promise_table(judged: tuple[promises.Promise, ...]) -> rich.table.Table:
    table = rich.table.Table(title="Promises")
    table.add_column("promise")
    table.add_column("held")
    table.add_column("figures")
    for each in judged:
        held = "yes" if each.held else "[bold red]BROKEN[/]"
        table.add_row(each.name, held, each.detail)
    return table
