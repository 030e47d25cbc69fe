"""Runs the platform's stand-in."""

from __future__ import annotations

from typing import Annotated

import anyio
import typer

from lovageyoke.cli import signals
from lovageyoke.cli import standin
from lovageyoke.clock import system
from lovageyoke.serving import hosting
from lovageyoke.standin import platform as standin_platform
from lovageyoke.store import api
from lovageyoke.store import fake
from lovageyoke.store import faults
from lovageyoke.store import rates
from lovageyoke.store import store

DEFAULT_PORT = 7700
GRACEFUL_TIMEOUT_S = 0.2


@standin.STANDIN.command("platform")
def platform(
    *,
    address: Annotated[str, typer.Option(help="IP number.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="0 picks one.")] = DEFAULT_PORT,
    writes_per_s: Annotated[
        float, typer.Option(help="Rate of writes.")
    ] = rates.WRITES_PER_S,
    reads_per_s: Annotated[
        float, typer.Option(help="Rate of reads and watches.")
    ] = rates.READS_PER_S,
    vm: Annotated[
        list[str] | None, typer.Option(help="A live VM as ID=ADDRESS.")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of injected faults.")] = 0,
) -> None:
    """Run a stand-in for the platform's key-value service and VM list."""
    clock = system.SystemClock()
    counter = rates.CallCounter(writes_per_s, reads_per_s)
    state = store.PlatformStore(counter)
    state.set_vms(tuple(parse_vm(text) for text in vm or ()), clock.now_ms())
    injector = faults.FaultInjector(seed=seed)
    served = fake.FakePlatform(state, clock, injector)
    anyio.run(_serve, served, address, port)


def parse_vm(text: str) -> api.Vm:
    """Returns the live VM that ``ID=ADDRESS`` names.

    Raises:
        BadParameter: The text has another form.
    """
    vm_id, separator, address = text.partition("=")
    if not (vm_id and separator and address):
        raise typer.BadParameter(f"{text!r} is not ID=ADDRESS")
    return api.Vm(vm_id, address, api.VmState.LIVE)


async def _serve(served: fake.FakePlatform, address: str, port: int) -> None:
    listener = hosting.bind(address, port)
    bound_port = hosting.port_of(listener)
    server = standin_platform.PlatformServer(served)
    shutdown = anyio.Event()
    typer.echo(f"platform stand-in on http://{address}:{bound_port}")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(signals.set_on_stop, shutdown)
        await hosting.serve(
            server.app,
            listener,
            shutdown,
            graceful_timeout_s=GRACEFUL_TIMEOUT_S,
        )
        tasks.cancel_scope.cancel()
