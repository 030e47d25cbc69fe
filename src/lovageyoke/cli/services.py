"""Lists the services in force."""

from __future__ import annotations

from typing import Annotated

import typer

from lovageyoke.cli import app
from lovageyoke.cli import operator_access as access


@app.APP.command()
def services(
    name: Annotated[
        str, typer.Argument(help="Show this service as an intent.")
    ] = "",
    *,
    server: access.Server = access.DEFAULT_SERVER,
    token: access.Token = "",
    authority: access.Authority = None,
    as_json: access.Json = False,
) -> None:
    """List the services in force, or show one as TOML."""
    with access.connected(server, token, authority) as client:
        if name:
            typer.echo(client.service_intent(name), nl=False)
            return
        found = client.services()
    if as_json:
        access.print_json(found)
        return
    rows = [
        (
            each["service"]["name"],
            each["service"]["team"],
            str(each["version"]),
            str(len(each["service"]["upstreams"])),
            " ".join(
                (*each["service"]["hosts"], *each["service"]["path_prefixes"])
            ),
        )
        for each in found
    ]
    headings = ("service", "team", "version", "upstreams", "selected by")
    access.print_table(headings, rows)
