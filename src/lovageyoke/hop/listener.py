"""Opens the listeners for callers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import socket

from lovageyoke.hop import server

# Connections accepted in one turn of the event loop.
ACCEPTED_PER_TURN = 32

ProtocolFactory = Callable[[], server.CallerConnection]


async def listen(
    factory: ProtocolFactory, host: str, port: int, backlog: int = 512
) -> asyncio.Server:
    """Starts a server that accepts connections.

    Args:
        factory: Creates the protocol of each connection.
        host: IP address.
        port: TCP port.
        backlog: Maximum number of connections waiting to be accepted.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket(
        socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM
    )
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        # The server accepts as many connections in one turn as its backlog.
        listener = await loop.create_server(
            factory, sock=sock, backlog=ACCEPTED_PER_TURN
        )
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return listener
