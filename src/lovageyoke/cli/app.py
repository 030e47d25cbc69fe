"""The application that commands register with."""

from __future__ import annotations

import typer

APP = typer.Typer(
    name="lovageyoke",
    help="A load balancer for servers whose load shifts in milliseconds.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
