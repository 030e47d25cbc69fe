"""Interface of message channels between entry VMs."""

from __future__ import annotations

import abc
from collections.abc import Awaitable
from collections.abc import Callable

import attrs


@attrs.frozen
class Message:
    """Base class of the messages between entry VMs."""


Handler = Callable[[str, Message], Awaitable[Message | None]]
"""Handles a message, given the sender's entry id; returns a reply or None."""


class PeerChannel(abc.ABC):
    """Sends typed messages to peers over authenticated connections."""

    @abc.abstractmethod
    async def send(self, entry_id: str, message: Message) -> None:
        """Sends a one-way message without delivery guarantee."""

    @abc.abstractmethod
    async def request(
        self, entry_id: str, message: Message, timeout_ms: float
    ) -> Message:
        """Sends a message and waits for its reply.

        Args:
            entry_id: The entry id of the peer.
            message: The request.
            timeout_ms: How long to wait for the reply, in milliseconds.

        Raises:
            PeerError: No reply arrived in time; the peer may have processed
                the request.
        """

    @abc.abstractmethod
    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Registers the handler of a message type."""
