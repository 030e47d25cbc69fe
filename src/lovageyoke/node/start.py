"""Retries what another process may still prevent at the start.

The settings file may be incomplete while it is rewritten, and a port may
still be held by the process before this one.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.node import settings as node_settings
from lovageyoke.node import state as node_state

T = TypeVar("T")

RETRY_MS = 100.0
SETTINGS_TIMEOUT_MS = 5_000.0
LISTEN_RETRY_MS = 250.0


async def read_settings(
    read: Callable[[], node_settings.NodeSettings], clock: clock_api.Clock
) -> node_settings.NodeSettings:
    """Reads the settings, and again while the file is invalid.

    Raises:
        SettingsError: The file stayed invalid for ``SETTINGS_TIMEOUT_MS``.
    """
    end_ms = clock.now_ms() + SETTINGS_TIMEOUT_MS
    while True:
        try:
            return read()
        except exceptions.SettingsError:
            if clock.now_ms() >= end_ms:
                raise
        await clock.sleep_ms(RETRY_MS)


async def open_listener(
    node: node_state.NodeState,
    address: node_settings.Address,
    open_once: Callable[[], Awaitable[T]],
) -> T:
    """Opens a listener, and again until its address is available.

    Args:
        node: Shared state of the process.
        address: The address, for the log.
        open_once: Opens the listener or raises ``OSError``.

    Raises:
        OSError: The address was not available before a stop signal.
    """
    while True:
        try:
            return await open_once()
        except OSError as error:
            node.log.event(
                "listen-failed", address=str(address), error=repr(error)
            )
            if node.leaving:
                raise
        await node.clock.sleep_ms(LISTEN_RETRY_MS)
