"""Entry point of the program."""

from __future__ import annotations

import os

from lovageyoke.cli import app
from lovageyoke.cli import standin_platform
from lovageyoke.cli import version

COMMANDS = (standin_platform, version)


def main() -> None:
    """Runs the command that the arguments name."""
    os.environ["UV_USE_IO_URING"] = "0"
    app.APP()
