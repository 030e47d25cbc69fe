"""Interface for data of other packages that heartbeats carry."""

from __future__ import annotations

import abc


class PayloadProvider(abc.ABC):
    """Provider of a small payload in each heartbeat.

    Providers do no I/O and receive the current time as an argument.

    Attributes:
        name: Short, unique name of the payload on the wire.
    """

    name: str

    @abc.abstractmethod
    def payload(self, now_ms: float) -> bytes:
        """Returns the payload of the next heartbeat, or empty bytes."""

    @abc.abstractmethod
    def receive(self, entry_id: str, payload: bytes, now_ms: float) -> bool:
        """Handles the payload of a received heartbeat.

        Args:
            entry_id: The sender.
            payload: Its payload, possibly of another program version.
            now_ms: The current time in milliseconds.

        Returns:
            Whether it held changes to send to all neighbours at once.

        Raises:
            DecodeError: The payload is invalid; the caller ignores it.
        """
