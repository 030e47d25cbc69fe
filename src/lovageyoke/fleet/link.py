"""UDP transport for messages between processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import typing

from lovageyoke.errors import exceptions
from lovageyoke.fleet import codec
from lovageyoke.fleet import link_budget
from lovageyoke.fleet import messages

Address = tuple[str, int]


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives messages on one UDP port.

    Attributes:
        on_message: Called with each message and its sender's address.
        on_rejected: Called with the error detail of an invalid datagram.
        budget: Records what is sent.
        transport: The transport, None before it is open.
        received: Messages received since the start.
        received_bytes: Their bytes.
        sent_bytes: Bytes sent since the start, by audience.
        malformed: Datagrams that could not be decoded since the start.
    """

    def __init__(
        self,
        on_message: Callable[[messages.Message, Address], None],
        on_rejected: Callable[[str], None],
        budget: link_budget.LinkBudget,
    ) -> None:
        self.on_message = on_message
        self.on_rejected = on_rejected
        self.budget = budget
        self.transport: asyncio.DatagramTransport | None = None
        self.received = 0
        self.received_bytes = 0
        self.sent_bytes: dict[str, int] = {}
        self.malformed = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # uvloop's transports don't derive from asyncio's.
        self.transport = typing.cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Decodes a datagram and passes it to ``on_message``."""
        self.received_bytes += len(data)
        try:
            message = codec.decode(data)
        except exceptions.DecodeError as error:
            self.malformed += 1
            self.on_rejected(f"from {addr[0]}:{addr[1]}: {error.detail}")
            return
        self.received += 1
        self.on_message(message, addr)

    @property
    def backlog_bytes(self) -> int:
        """Bytes of datagrams that wait in this process to be sent."""
        if self.transport is None or self.transport.is_closing():
            return 0
        # A datagram transport has this method too, but not its type.
        transport = typing.cast("asyncio.WriteTransport", self.transport)
        return transport.get_write_buffer_size()

    def send(self, datagram: bytes, address: Address, audience: str) -> None:
        """Sends a datagram without delivery guarantee.

        Args:
            datagram: The datagram.
            address: Its destination.
            audience: Label under which the bytes are counted.
        """
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(datagram, address)
            self.budget.record(len(datagram))
            sent = self.sent_bytes.get(audience, 0)
            self.sent_bytes[audience] = sent + len(datagram)
