"""Group of the measuring commands."""

from __future__ import annotations

import typer

from lovageyoke.cli import app

BENCH = typer.Typer(name="bench", help="Measure.", no_args_is_help=True)
app.APP.add_typer(BENCH)
