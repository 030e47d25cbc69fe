"""The group of commands that measure."""

from __future__ import annotations

import typer

from lovageyoke.cli import app

BENCH = typer.Typer(help="Measure decisions and paths.", no_args_is_help=True)
app.APP.add_typer(BENCH, name="bench")
