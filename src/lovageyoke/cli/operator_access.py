"""Options and output that the operator commands share."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import json
import pathlib
import ssl
from typing import Annotated
from typing import Any

from rich import console as rich_console
from rich import table as rich_table
import typer

from lovageyoke.cli import exits
from lovageyoke.config import difference
from lovageyoke.config import document
from lovageyoke.errors import exceptions
from lovageyoke.operator import client as operator_client

Server = Annotated[
    str,
    typer.Option(
        envvar="LOVAGEYOKE_OPERATOR",
        help="Operator address of an entry VM, as http://IP:PORT.",
    ),
]
Token = Annotated[
    str,
    typer.Option(
        envvar="LOVAGEYOKE_TOKEN",
        help="Operator token.",
        show_envvar=True,
        show_default=False,
    ),
]
Authority = Annotated[
    pathlib.Path | None,
    typer.Option(
        envvar="LOVAGEYOKE_AUTHORITY",
        help="Certificates that the operator address is checked against, PEM.",
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Out = Annotated[
    pathlib.Path | None,
    typer.Option("--out", help="File that the plan is written to."),
]

DEFAULT_SERVER = "http://127.0.0.1:8081"


@contextlib.contextmanager
def connected(
    server: str, token: str, authority: pathlib.Path | None
) -> Iterator[operator_client.OperatorClient]:
    """Yields a client; an error ends the command with its exit code."""
    try:
        tls = _tls(authority)
        client = operator_client.OperatorClient(server, token, tls)
        with contextlib.closing(client):
            yield client
    except exceptions.LovageyokeError as error:
        exits.fail(error)


def read_file(path: pathlib.Path) -> bytes:
    """Returns a file's content.

    Raises:
        IntentError: It can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        problem = f"{path}: {error.strerror}"
        raise exceptions.IntentError((problem,)) from error


def print_json(value: object) -> None:
    """Prints plain data as JSON."""
    typer.echo(json.dumps(value, indent=2))


def print_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Prints rows under headings."""
    table = rich_table.Table(box=None, pad_edge=False)
    for heading in headings:
        table.add_column(heading, overflow="fold")
    for row in rows:
        table.add_row(*row)
    rich_console.Console(highlight=False, markup=False).print(table)


def show_plan(
    plan: dict[str, Any], out: pathlib.Path | None, as_json: bool
) -> None:
    """Prints a plan in words, and writes its file if one is wanted."""
    text = json.dumps(plan, indent=2)
    if out is not None:
        out.write_text(text, encoding="utf-8")
    if as_json:
        typer.echo(text)
        return
    typer.echo(
        f"plan {plan['plan_id']}: {plan['action']} {plan['name']}, "
        f"from version {plan['base_version']}"
    )
    for each in plan["changes"]:
        typer.echo(f"  {difference.describe(document.FieldChange(**each))}")
    for risk in plan["risks"]:
        typer.echo(f"RISK  {risk}")
    for fault in plan["faults"]:
        typer.echo(f"FAULT {fault} (confirm needs --force)")
    if out is not None:
        typer.echo(f"written to {out}; nothing changes until it is confirmed")


def show_confirmation(result: dict[str, Any], as_json: bool) -> None:
    """Prints the result of a confirmation."""
    if as_json:
        print_json(result)
        return
    record = result["record"]
    again = " (confirmed before)" if result["repeated"] else ""
    typer.echo(
        f"{record['service']} is version {record['version']} by plan "
        f"{record['plan_id']}{again}"
    )


def _tls(authority: pathlib.Path | None) -> ssl.SSLContext | None:
    if authority is None:
        return None
    try:
        return ssl.create_default_context(cafile=str(authority))
    except OSError as error:
        problem = f"{authority}: {error}"
        raise exceptions.SettingsError((problem,)) from error
