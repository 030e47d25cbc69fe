"""Pauses an entry at its interfaces, as a stalled VM would be."""

from __future__ import annotations

import anyio

from lovageyoke.clock import virtual
from lovageyoke.peer import api as peer_api


class Gate:
    """Holds what passes through it while it is closed.

    Attributes:
        closed: Whether it is closed.
        ended: Whether the entry has crashed, so that it never opens again.
    """

    def __init__(self) -> None:
        self.closed = False
        self.ended = False
        self._opened = anyio.Event()

    def close(self) -> None:
        """Pauses the entry."""
        self.closed = True

    def end(self) -> None:
        """Stops the entry for good."""
        self.ended = True
        self.closed = True

    def open(self) -> None:
        """Resumes the entry, unless it has crashed."""
        if self.ended:
            return
        self.closed = False
        self._opened.set()
        self._opened = anyio.Event()

    async def wait_until_open(self) -> None:
        """Returns when the entry is not paused."""
        while self.closed:
            await self._opened.wait()


class GatedClock(virtual.LoopClock):
    """Clock of an entry that may be paused.

    Attributes:
        gate: The entry's gate.
    """

    def __init__(self, gate: Gate) -> None:
        self.gate = gate

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleeps, and stays asleep while the entry is paused."""
        await super().sleep_ms(duration_ms)
        await self.gate.wait_until_open()


class GatedChannel(peer_api.PeerChannel):
    """Peer channel of an entry that may be paused.

    Attributes:
        channel: The channel behind it.
        gate: The entry's gate.
    """

    def __init__(self, channel: peer_api.PeerChannel, gate: Gate) -> None:
        self.channel = channel
        self.gate = gate

    async def send(self, entry_id: str, message: peer_api.Message) -> None:
        """Sends a message without a reply."""
        await self.gate.wait_until_open()
        await self.channel.send(entry_id, message)

    async def request(
        self, entry_id: str, message: peer_api.Message, timeout_ms: float
    ) -> peer_api.Message:
        """Sends a message and waits for its reply."""
        await self.gate.wait_until_open()
        try:
            return await self.channel.request(entry_id, message, timeout_ms)
        finally:
            await self.gate.wait_until_open()

    def handle(
        self, message_type: type[peer_api.Message], handler: peer_api.Handler
    ) -> None:
        """Registers a handler that runs only while the entry does."""

        async def gated(
            source: str, message: peer_api.Message
        ) -> peer_api.Message | None:
            await self.gate.wait_until_open()
            reply = await handler(source, message)
            await self.gate.wait_until_open()
            return reply

        self.channel.handle(message_type, gated)
