"""Serves an ASGI application on a bound socket."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import logging
import socket
import ssl
from typing import cast

import anyio
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config
from hypercorn import typing as hypercorn_types
from starlette import types

from lovageyoke.errors import exceptions

App = types.ASGIApp

BACKLOG = 1_024
KEEP_ALIVE_S = 600.0
KEEP_ALIVE_REQUESTS = 1_000_000_000
GRACEFUL_TIMEOUT_S = 3.0


class HostConfig(hypercorn_config.Config):
    """Hypercorn configuration with an optional TLS context.

    By default Hypercorn closes a connection after 1,000 requests, which
    clients would see as lost responses.

    Attributes:
        tls: Server-side TLS context, or None for plain TCP.
    """

    tls: ssl.SSLContext | None = None

    @property
    def ssl_enabled(self) -> bool:
        """Whether connections use TLS."""
        return self.tls is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Returns the TLS context."""
        return self.tls


def bind(address: str, port: int) -> socket.socket:
    """Returns a listening TCP socket.

    Args:
        address: IP address.
        port: TCP port; 0 for an ephemeral port.

    Raises:
        SettingsError: The address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address, port))
    except OSError as error:
        listener.close()
        problem = f"can't listen on {address!r} port {port}: {error.strerror}"
        raise exceptions.SettingsError((problem,)) from error
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def port_of(listener: socket.socket) -> int:
    """Returns the port to which a socket is bound."""
    return int(listener.getsockname()[1])


async def serve(
    app: types.ASGIApp,
    listener: socket.socket,
    shutdown: anyio.Event,
    tls: ssl.SSLContext | None = None,
    graceful_timeout_s: float = GRACEFUL_TIMEOUT_S,
) -> None:
    """Serves until ``shutdown`` is set, then shuts down gracefully.

    Args:
        app: An ASGI application.
        listener: A listening socket; it is closed on return.
        shutdown: Event that triggers the shutdown.
        tls: TLS context, or None for plain TCP.
        graceful_timeout_s: Time for requests in flight to end, in seconds.
    """
    config = HostConfig()
    config.tls = tls
    config.bind = [f"fd://{listener.detach()}"]
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = KEEP_ALIVE_REQUESTS
    config.graceful_timeout = graceful_timeout_s
    config.accesslog = None
    config.errorlog = logging.getLogger("lovageyoke.serving")
    config.include_server_header = False
    await run(app, config, shutdown.wait)


async def run(
    app: types.ASGIApp,
    config: hypercorn_config.Config,
    until: Callable[[], Awaitable[None]],
) -> None:
    """Runs Hypercorn until ``until`` returns.

    Args:
        app: An ASGI application.
        config: The Hypercorn configuration.
        until: Returns when the server must stop; requests in flight then
            have the configured time to end. Cancellation stops the server
            immediately.
    """
    framework = cast(hypercorn_types.ASGIFramework, app)
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_after, until, stopping, config)
        # Hypercorn can't be cancelled while it waits for its connections.
        with anyio.CancelScope(shield=True):
            await hypercorn_asyncio.serve(
                framework, config, shutdown_trigger=stopping.wait
            )
        tasks.cancel_scope.cancel()


async def _stop_after(
    until: Callable[[], Awaitable[None]],
    stopping: anyio.Event,
    config: hypercorn_config.Config,
) -> None:
    try:
        await until()
    except BaseException:
        config.graceful_timeout = 0.0
        raise
    finally:
        stopping.set()


@contextlib.asynccontextmanager
async def running(
    app: types.ASGIApp,
    listener: socket.socket,
    graceful_timeout_s: float = GRACEFUL_TIMEOUT_S,
) -> AsyncIterator[int]:
    """Serves in the background for the ``with`` block; yields the port."""
    shutdown = anyio.Event()
    port = port_of(listener)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            serve, app, listener, shutdown, None, graceful_timeout_s
        )
        try:
            yield port
        finally:
            shutdown.set()
