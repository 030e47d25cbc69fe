"""Plans to drain an upstream."""

from __future__ import annotations

from typing import Annotated

import typer

from lovageyoke.cli import app
from lovageyoke.cli import operator_access as access


@app.APP.command()
def drain(
    upstream: Annotated[
        str, typer.Argument(help="The upstream, as SERVICE/UPSTREAM_ID.")
    ],
    *,
    end: Annotated[
        bool, typer.Option("--end", help="Send it new work again.")
    ] = False,
    out: access.Out = None,
    server: access.Server = access.DEFAULT_SERVER,
    token: access.Token = "",
    authority: access.Authority = None,
    as_json: access.Json = False,
) -> None:
    """Plan to send no new work to an upstream."""
    service, _, upstream_id = upstream.partition("/")
    if not upstream_id:
        raise typer.BadParameter(f"{upstream!r} is not SERVICE/UPSTREAM_ID")
    with access.connected(server, token, authority) as client:
        made = client.drain(service, upstream_id, draining=not end)
        access.show_plan(made, out, as_json)
