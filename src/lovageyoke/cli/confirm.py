"""Confirms a plan."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from lovageyoke.cli import app
from lovageyoke.cli import operator_access as access


@app.APP.command()
def confirm(
    plan: Annotated[pathlib.Path, typer.Argument(help="The plan file.")],
    *,
    force: Annotated[
        bool, typer.Option("--force", help="Apply it even if it can't work.")
    ] = False,
    server: access.Server = access.DEFAULT_SERVER,
    token: access.Token = "",
    authority: access.Authority = None,
    as_json: access.Json = False,
) -> None:
    """Put a plan in force; repeating it is harmless."""
    with access.connected(server, token, authority) as client:
        result = client.confirm(access.read_file(plan), force)
        access.show_confirmation(result, as_json)
