"""Runs the process of an entry VM."""

from __future__ import annotations

import pathlib
import random
from typing import Annotated

import anyio
from loguru import logger
import typer

from lovageyoke.cli import app
from lovageyoke.cli import exits
from lovageyoke.cli import signals
from lovageyoke.clock import system
from lovageyoke.entry import process
from lovageyoke.errors import exceptions
from lovageyoke.observe import logs
from lovageyoke.settings import load
from lovageyoke.settings import model
from lovageyoke.store import http as platform_http


@app.APP.command()
def serve(
    *,
    settings: Annotated[pathlib.Path, typer.Option(help="The settings file.")],
) -> None:
    """Serve callers, operators and other entry VMs."""
    try:
        loaded = load.load(settings)
        logs.configure(loaded.log)
        anyio.run(_run, loaded, backend_options={"use_uvloop": True})
    except exceptions.LovageyokeError as error:
        exits.fail(error)


async def _run(settings: model.Settings) -> None:
    clock = system.SystemClock()
    platform = platform_http.HttpPlatform(
        settings.platform.url, settings.platform.timeout_ms
    )
    entry = process.EntryProcess(settings, platform, clock, random.Random())  # noqa: S311
    logger.info(
        "listening for callers on {}, operators on {}, peers on {}",
        entry.addresses.caller,
        entry.addresses.operator,
        entry.addresses.peer,
    )
    try:
        await _run_until_signal(entry)
    finally:
        await platform.aclose()
    logger.info("stopped")


async def _run_until_signal(entry: process.EntryProcess) -> None:
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(signals.set_on_stop, stopping)
        tasks.start_soon(_stop_when_set, stopping, entry)
        await entry.run()
        tasks.cancel_scope.cancel()


async def _stop_when_set(
    stopping: anyio.Event, entry: process.EntryProcess
) -> None:
    await stopping.wait()
    logger.info("stopping: requests in flight will complete")
    await entry.stop()
