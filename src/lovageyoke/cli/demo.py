"""Demonstrates the whole system in one process."""

from __future__ import annotations

import anyio
import rich.console
import typer

from lovageyoke.cli import app
from lovageyoke.cli import exits
from lovageyoke.clock import system
from lovageyoke.demo import run


@app.APP.command()
def demo() -> None:
    """Run the whole system on loopback and judge what it promises."""
    console = rich.console.Console(width=100)
    held = anyio.run(run.demonstrate, system.SystemClock(), console)
    if not held:
        raise typer.Exit(exits.ExitCode.BROKEN_PROMISE)
