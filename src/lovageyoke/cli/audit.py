"""Shows the audit trail."""

from __future__ import annotations

import datetime
from typing import Annotated

import typer

from lovageyoke.cli import app
from lovageyoke.cli import operator_access as access
from lovageyoke.config import audit as audit_lib
from lovageyoke.config import difference
from lovageyoke.config import document

MS_PER_SECOND = 1_000

Time = Annotated[
    datetime.datetime | None, typer.Option(help="Time, taken as UTC.")
]


@app.APP.command()
def audit(
    *,
    service: Annotated[str, typer.Option(help="Of this service.")] = "",
    operator: Annotated[str, typer.Option(help="By this operator.")] = "",
    since: Time = None,
    until: Time = None,
    limit: Annotated[
        int, typer.Option(help="Most records.")
    ] = audit_lib.DEFAULT_LIMIT,
    server: access.Server = access.DEFAULT_SERVER,
    token: access.Token = "",
    authority: access.Authority = None,
    as_json: access.Json = False,
) -> None:
    """Show confirmed changes, newest last."""
    query: dict[str, str | int] = {"limit": limit}
    if service:
        query["service"] = service
    if operator:
        query["operator"] = operator
    if since is not None:
        query["since_ms"] = _to_ms(since)
    if until is not None:
        query["until_ms"] = _to_ms(until)
    with access.connected(server, token, authority) as client:
        found = client.audit(query)
    if as_json:
        access.print_json(found)
        return
    for each in found:
        _print_record(each)


def _print_record(record: dict[str, object]) -> None:
    forced = " FORCED" if record["forced"] else ""
    typer.echo(
        f"{_from_ms(record['wall_ms'])} {record['operator']} "
        f"{record['action']} {record['service']} version {record['version']} "
        f"plan {record['plan_id']}{forced}"
    )
    changes = record["changes"]
    if isinstance(changes, list):
        for each in changes:
            typer.echo(f"  {difference.describe(document.FieldChange(**each))}")


def _to_ms(time: datetime.datetime) -> int:
    in_utc = time.replace(tzinfo=datetime.UTC)
    return int(in_utc.timestamp() * MS_PER_SECOND)


def _from_ms(wall_ms: object) -> str:
    seconds = int(str(wall_ms)) / MS_PER_SECOND
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.isoformat(timespec="seconds")
