"""Serves the caller application over HTTP."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import socket
from typing import Any
from typing import cast

import attrs
import hypercorn.config

from lovageyoke.caller import api
from lovageyoke.caller import http1
from lovageyoke.serving import hosting
from lovageyoke.transport import sockets

BACKLOG = 1_024
# Longest pause that a caller may make in a download.
CALLER_UNACKNOWLEDGED_MS = 30_000
CALLER_SEND_BUFFER_BYTES = 131_072
KEEP_ALIVE_S = 75.0
# Effectively unlimited, as callers reuse their connections.
MAX_REQUESTS_PER_CONNECTION = 1 << 60


@attrs.frozen
class ServerOptions:
    """Connection options of a server.

    Attributes:
        keep_alive_s: Seconds that a connection may be idle, or may take to
            send a request head.
        max_head_bytes: Maximum size of a request head.
        graceful_s: Seconds that requests in flight may take to complete when
            the server stops.
        certificate: File of the TLS certificate, or "".
        key: File of the TLS key, or "".
    """

    keep_alive_s: float = KEEP_ALIVE_S
    max_head_bytes: int = 32_768
    graceful_s: float = 3_600.0
    certificate: str = ""
    key: str = ""


def prepare(listener: socket.socket) -> None:
    """Sets socket options that accepted connections inherit."""
    sockets.set_liveness_options(listener, CALLER_UNACKNOWLEDGED_MS)
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, CALLER_SEND_BUFFER_BYTES
    )


def configure(
    listener: socket.socket, options: ServerOptions
) -> hypercorn.config.Config:
    """Returns the server library's configuration."""
    config = hypercorn.config.Config()
    config.bind = [f"fd://{listener.fileno()}"]
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.alpn_protocols = ["http/1.1"]
    config.graceful_timeout = options.graceful_s
    config.h11_max_incomplete_size = options.max_head_bytes
    config.include_date_header = False
    config.include_server_header = False
    config.keep_alive_timeout = options.keep_alive_s
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    if options.certificate:
        config.certfile = options.certificate
        config.keyfile = options.key
    return config


async def serve(
    app: Callable[[api.Scope, api.Receive, api.Send], Awaitable[None]],
    listener: socket.socket,
    until: Callable[[], Awaitable[None]],
    options: ServerOptions | None = None,
) -> None:
    """Serves until ``until`` returns and requests in flight have ended.

    Args:
        app: The ASGI application.
        listener: A listening socket; it is closed at the end.
        until: Returns when the server has to stop. Cancellation stops it
            at once.
        options: Connection options, None for the defaults.
    """
    config = configure(listener, options or ServerOptions())
    http1.install()
    prepare(listener)
    # The server library takes ownership of the file descriptor.
    listener.detach()
    await hosting.run(cast("Any", app), config, until)
