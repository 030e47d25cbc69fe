"""Plans the change that an intent amounts to."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from lovageyoke.cli import app
from lovageyoke.cli import operator_access as access


@app.APP.command()
def plan(
    intent: Annotated[pathlib.Path, typer.Argument(help="The intent, TOML.")],
    *,
    out: access.Out = None,
    server: access.Server = access.DEFAULT_SERVER,
    token: access.Token = "",
    authority: access.Authority = None,
    as_json: access.Json = False,
) -> None:
    """Show what an intent would change; nothing takes effect."""
    with access.connected(server, token, authority) as client:
        made = client.plan(access.read_file(intent))
        access.show_plan(made, out, as_json)
