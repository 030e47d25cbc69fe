"""Shows the state of an entry VM."""

from __future__ import annotations

from typing import Any

import typer

from lovageyoke.cli import app
from lovageyoke.cli import operator_access as access

CURRENT_WORDS = {True: "yes", False: "no", None: "unknown"}


@app.APP.command()
def status(
    *,
    server: access.Server = access.DEFAULT_SERVER,
    token: access.Token = "",
    authority: access.Authority = None,
    as_json: access.Json = False,
) -> None:
    """Show an entry VM, and how many run the newest configuration."""
    with access.connected(server, token, authority) as client:
        found = client.status()
    if as_json:
        access.print_json(found)
        return
    _print_summary(found)
    rows = [
        (
            each["entry_id"],
            each["state"],
            each["failure_domain"],
            CURRENT_WORDS[each["current"]],
        )
        for each in found["members"]
    ]
    headings = ("entry", "state", "failure domain", "same configuration")
    access.print_table(headings, rows)


def _print_summary(found: dict[str, Any]) -> None:
    ready = "ready" if found["ready"] else "not ready"
    platform = "failing" if found["platform_failing"] else "answering"
    typer.echo(
        f"{found['entry_id']}: {ready}, {found['services']} services, "
        f"platform {platform}"
    )
    typer.echo(
        f"configuration in force here: on {found['entries_current']} of "
        f"{found['entries']} entries"
    )
