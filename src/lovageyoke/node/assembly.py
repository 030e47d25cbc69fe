"""Wires up the forwarding process for the users' platform."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import functools
import gc
import os
import random

from lovageyoke.clock import system
from lovageyoke.fleet import layout as fleet_layout
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages as fleet_messages
from lovageyoke.hop import attempt as hop_attempt
from lovageyoke.hop import pool as hop_pool
from lovageyoke.limits import memory_budget
from lovageyoke.node import directory_handler
from lovageyoke.node import process
from lovageyoke.node import settings as node_settings
from lovageyoke.node import start
from lovageyoke.node import state as node_state
from lovageyoke.observe import events
from lovageyoke.platform import callers
from lovageyoke.platform import entries
from lovageyoke.platform import headers
from lovageyoke.platform import nodes
from lovageyoke.platform import settings as platform_settings
from lovageyoke.platform import store_client

LAYOUT = fleet_layout.Layout(
    entries.UPSTREAM_PREFIX,
    entries.CONFIGURATION_KEY,
    entries.EVACUATION_PREFIX,
    entries.OPERATOR_PREFIX,
    "",
    entries.decode_upstream,
    entries.decode_evacuation,
    entries.decode_configuration,
)
CODECS = directory_handler.NodeCodecs(
    callers.decode_address_query,
    callers.encode_addresses,
    callers.is_readiness,
    nodes.decode_node,
    nodes.encode_node,
    nodes.PREFIX,
)


def build(
    settings: node_settings.NodeSettings,
    read_settings: Callable[[], node_settings.NodeSettings],
    log_descriptor: int = events.STDOUT,
) -> process.NodeProcess:
    """Creates the process from its settings.

    Args:
        settings: The settings.
        read_settings: Reads the settings; called on each reload.
        log_descriptor: File descriptor of the log; set to non-blocking.
    """
    clock = system.SystemClock()
    own = fleet_messages.Peer(
        settings.node_id,
        settings.peers.host,
        settings.peers.port,
        str(settings.front),
        settings.failure_domain,
    )
    node = node_state.NodeState(
        settings=settings,
        clock=clock,
        rng=random.Random(os.urandom(16)),  # noqa: S311
        log=events.EventLog(clock, settings.node_id, log_descriptor),
        client=hop_attempt.UpstreamClient(
            headers.NAMES,
            hop_pool.ConnectionPool(),
            clock,
            memory_budget.for_process(settings.memory_bytes),
        ),
        decode_load=headers.decode_load,
        decode_rate_limit=headers.decode_rate_limit,
        decode_cold_time=headers.decode_cold_time,
        members=fleet_members.Members(fleet_messages.MemberState(own)),
    )
    store = store_client.StoreClient(settings.store.host, settings.store.port)
    return process.NodeProcess(
        node,
        store,
        LAYOUT,
        CODECS,
        decode_deadline=headers.decode_deadline,
        read_settings=read_settings,
    )


async def serve(
    read_settings: Callable[[], node_settings.NodeSettings],
) -> None:
    """Runs the process until it receives a stop signal."""
    settings = await start.read_settings(read_settings, system.SystemClock())
    await build(settings, read_settings).run()


def main() -> None:
    """Reads the settings and runs the process."""
    read_settings = functools.partial(
        platform_settings.load, platform_settings.path()
    )
    gc.collect()
    gc.freeze()
    asyncio.run(serve(read_settings))
