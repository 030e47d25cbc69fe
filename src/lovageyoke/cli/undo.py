"""Plans to undo the last change of a service."""

from __future__ import annotations

from typing import Annotated

import typer

from lovageyoke.cli import app
from lovageyoke.cli import operator_access as access


@app.APP.command()
def undo(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    *,
    out: access.Out = None,
    server: access.Server = access.DEFAULT_SERVER,
    token: access.Token = "",
    authority: access.Authority = None,
    as_json: access.Json = False,
) -> None:
    """Plan a new version with the content before the last change."""
    with access.connected(server, token, authority) as client:
        access.show_plan(client.undo(service), out, as_json)
