"""Entry point of the program."""

from __future__ import annotations

import os

from lovageyoke.cli import addresses
from lovageyoke.cli import app
from lovageyoke.cli import audit
from lovageyoke.cli import bench_capacity
from lovageyoke.cli import bench_claims
from lovageyoke.cli import bench_membership
from lovageyoke.cli import bench_path
from lovageyoke.cli import bench_policy
from lovageyoke.cli import bench_probe_curve
from lovageyoke.cli import bench_propagation
from lovageyoke.cli import confirm
from lovageyoke.cli import demo
from lovageyoke.cli import drain
from lovageyoke.cli import explain
from lovageyoke.cli import plan
from lovageyoke.cli import serve
from lovageyoke.cli import services
from lovageyoke.cli import settings_check
from lovageyoke.cli import soak
from lovageyoke.cli import soak_config
from lovageyoke.cli import standin_platform
from lovageyoke.cli import standin_upstream
from lovageyoke.cli import status
from lovageyoke.cli import undo
from lovageyoke.cli import version

COMMANDS = (
    addresses,
    audit,
    bench_path,
    bench_capacity,
    bench_claims,
    bench_membership,
    bench_policy,
    bench_probe_curve,
    bench_propagation,
    confirm,
    demo,
    drain,
    explain,
    plan,
    serve,
    services,
    settings_check,
    soak,
    soak_config,
    standin_platform,
    standin_upstream,
    status,
    undo,
    version,
)


def main() -> None:
    """Runs the command that the arguments name."""
    os.environ["UV_USE_IO_URING"] = "0"
    app.APP()
