"""Non-blocking TCP sockets that report whether any byte was sent."""

from __future__ import annotations

import errno
import os
import socket

import anyio

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds

Kind = kinds.ErrorKind

RECEIVE_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 131_072
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MS = 5_000


def set_liveness_options(
    sock: socket.socket, unacknowledged_ms: int = UNACKNOWLEDGED_MS
) -> None:
    """Makes the kernel close connections to unresponsive peers.

    Args:
        sock: A TCP socket.
        unacknowledged_ms: Maximum time for which sent bytes stay unacknowledged
            or the peer's window stays closed.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


async def connect(address: str, port: int) -> socket.socket:
    """Opens a connection.

    Raises:
        UpstreamError: Kind CONNECT_FAILED.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        set_liveness_options(sock)
        await _finish_connect(sock, address, port)
    except OSError as error:
        sock.close()
        raise exceptions.UpstreamError(
            f"{address}:{port}: {error.strerror}", Kind.CONNECT_FAILED
        ) from error
    except BaseException:
        sock.close()
        raise
    return sock


async def _finish_connect(sock: socket.socket, address: str, port: int) -> None:
    code = sock.connect_ex((address, port))
    if code == errno.EINPROGRESS:
        await anyio.wait_writable(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))


def is_idle(sock: socket.socket) -> bool:
    """Returns whether the peer has neither closed nor sent a byte."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Writes all of ``data``.

    Raises:
        UpstreamError: Kind NOTHING_WRITTEN if the kernel accepted no byte, else
            UPSTREAM_RESET.
    """
    view = memoryview(data)
    written = 0
    while written < len(view):
        try:
            written += sock.send(view[written:])
        except BlockingIOError:
            await anyio.wait_writable(sock)
        except OSError as error:
            kind = Kind.UPSTREAM_RESET if written else Kind.NOTHING_WRITTEN
            raise exceptions.UpstreamError(
                f"write failed: {error.strerror}", kind
            ) from error


async def receive(sock: socket.socket) -> bytes:
    """Returns the next bytes, b"" at the end of the stream.

    Raises:
        OSError: The connection was reset or timed out.
    """
    while True:
        await anyio.wait_readable(sock)
        try:
            return sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            continue
