"""Prints the version."""

from __future__ import annotations

import typer

import lovageyoke
from lovageyoke.cli import app


@app.APP.command()
def version() -> None:
    """Print the version."""
    typer.echo(lovageyoke.__version__)
