"""The group of commands that run stand-ins."""

from __future__ import annotations

import typer

from lovageyoke.cli import app

STANDIN = typer.Typer(
    help="Run stand-ins for the systems around the load balancer.",
    no_args_is_help=True,
)
app.APP.add_typer(STANDIN, name="standin")
