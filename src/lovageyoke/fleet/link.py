"""Datagrams between the processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import typing

from lovageyoke.errors import exceptions
from lovageyoke.fleet import messages

Address = tuple[str, int]


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives messages on one UDP port.

    Attributes:
        on_message: Called with each message and its sender's address.
        neighbours: Returns where relayed messages go, given their sender.
        transport: The transport, None before it is open.
        received: Messages received since the start.
        malformed: Datagrams that were no message since the start.
    """

    def __init__(
        self,
        on_message: Callable[[messages.Message, Address], None],
        neighbours: Callable[[], list[Address]],
    ) -> None:
        self.on_message = on_message
        self.neighbours = neighbours
        self.transport: asyncio.DatagramTransport | None = None
        self.received = 0
        self.malformed = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        # uvloop's transports don't derive from asyncio's.
        self.transport = typing.cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Decodes a datagram and passes it on."""
        try:
            message = messages.decode(data)
        except exceptions.DecodeError:
            self.malformed += 1
            return
        self.received += 1
        relayed = messages.unrelayed(data)
        if relayed is not None:
            for neighbour in self.neighbours():
                self.send(relayed, neighbour)
        self.on_message(message, addr)

    def send(self, datagram: bytes, address: Address) -> None:
        """Sends a datagram; whether it arrives is not known."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(datagram, address)
