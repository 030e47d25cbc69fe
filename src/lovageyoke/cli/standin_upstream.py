"""Runs an upstream's stand-in."""

from __future__ import annotations

from typing import Annotated

import anyio
import typer

from lovageyoke.cli import signals
from lovageyoke.cli import standin
from lovageyoke.clock import system
from lovageyoke.serving import hosting
from lovageyoke.standin import upstream as standin_upstream

DEFAULT_PORT = 7710
GRACEFUL_TIMEOUT_S = 0.2


@standin.STANDIN.command("upstream")
def upstream(
    *,
    upstream_id: Annotated[str, typer.Option(help="Its id.")] = "upstream-1",
    address: Annotated[str, typer.Option(help="IP number.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="0 picks one.")] = DEFAULT_PORT,
    slots: Annotated[int, typer.Option(help="Requests at a time.")] = 6,
    service_ms: Annotated[
        float, typer.Option(help="Time to serve a request, in ms.")
    ] = 2.0,
) -> None:
    """Run a stand-in for an upstream; POST /-/behaviour changes it."""
    behaviour = standin_upstream.Behaviour(slots=slots, service_ms=service_ms)
    served = standin_upstream.StandinUpstream(
        upstream_id, system.SystemClock(), behaviour
    )
    anyio.run(_serve, served, address, port)


async def _serve(
    served: standin_upstream.StandinUpstream, address: str, port: int
) -> None:
    listener = hosting.bind(address, port)
    bound_port = hosting.port_of(listener)
    shutdown = anyio.Event()
    typer.echo(f"upstream stand-in on http://{address}:{bound_port}")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(signals.set_on_stop, shutdown)
        await hosting.serve(
            served.app(),
            listener,
            shutdown,
            graceful_timeout_s=GRACEFUL_TIMEOUT_S,
        )
        tasks.cancel_scope.cancel()
