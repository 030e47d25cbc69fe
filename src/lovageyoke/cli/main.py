"""Entry point of the program."""

from __future__ import annotations

import os

from lovageyoke.cli import app
from lovageyoke.cli import bench_path
from lovageyoke.cli import settings_check
from lovageyoke.cli import soak
from lovageyoke.cli import standin_platform
from lovageyoke.cli import standin_upstream
from lovageyoke.cli import version

COMMANDS = (
    bench_path,
    settings_check,
    soak,
    standin_platform,
    standin_upstream,
    version,
)


def main() -> None:
    """Runs the command that the arguments name."""
    os.environ["UV_USE_IO_URING"] = "0"
    app.APP()
