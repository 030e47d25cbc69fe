"""Upstream of the path bench: answers every request at once."""

from __future__ import annotations

import contextlib
import socket

import anyio
import h11

from lovageyoke.transport import sockets

BODY_BYTES = 100
ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
    b"content-length: %d\r\n\r\n%s" % (BODY_BYTES, b"x" * BODY_BYTES)
)


def listen(address: str, port: int) -> socket.socket:
    """Returns a listening socket; port 0 takes an ephemeral port."""
    listener = socket.create_server((address, port))
    listener.setblocking(False)
    return listener


async def serve(listener: socket.socket) -> None:
    """Answers requests until it is cancelled."""
    async with anyio.create_task_group() as tasks:
        while True:
            await anyio.wait_readable(listener)
            sock, _ = listener.accept()
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            tasks.start_soon(_answer_all, sock)


async def _answer_all(sock: socket.socket) -> None:
    parser = h11.Connection(h11.SERVER)
    # A hop resets the connection of a hedge that it no longer needs.
    with sock, contextlib.suppress(ConnectionError):
        while data := await sockets.receive(sock):
            parser.receive_data(data)
            event = parser.next_event()
            while event is not h11.NEED_DATA:
                if isinstance(event, h11.EndOfMessage):
                    sock.send(ANSWER)
                    # The answer is fixed bytes, so the parser starts afresh.
                    parser = h11.Connection(h11.SERVER)
                    break
                event = parser.next_event()
