"""Shows the addresses that callers are told."""

from __future__ import annotations

from lovageyoke.cli import app
from lovageyoke.cli import operator_access as access


@app.APP.command()
def addresses(
    *,
    server: access.Server = access.DEFAULT_SERVER,
    token: access.Token = "",
    authority: access.Authority = None,
    as_json: access.Json = False,
) -> None:
    """Show the addresses that callers are told to use."""
    with access.connected(server, token, authority) as client:
        found = client.addresses()
    if as_json:
        access.print_json(found)
        return
    rows = [
        (each["address"], f"{each['weight']:g}", each["failure_domain"])
        for each in found["addresses"]
    ]
    access.print_table(("address", "weight", "failure domain"), rows)
