"""The group of commands about settings files."""

from __future__ import annotations

import typer

from lovageyoke.cli import app

SETTINGS = typer.Typer(help="Work with settings files.", no_args_is_help=True)
app.APP.add_typer(SETTINGS, name="settings")
