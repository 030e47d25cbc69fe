"""Interface of news that heartbeats carry for other parts of an entry."""

from __future__ import annotations

import abc


class Spread(abc.ABC):
    """A provider of a small payload in each heartbeat.

    Providers are pure: they do no input or output, and time is given.

    Attributes:
        name: Names the payload in heartbeats; short, and unique.
    """

    name: str

    @abc.abstractmethod
    def payload(self, now_ms: float) -> bytes:
        """Returns what the next heartbeat says; empty for nothing."""

    @abc.abstractmethod
    def receive(self, entry_id: str, payload: bytes, now_ms: float) -> bool:
        """Takes in what a heartbeat said.

        Args:
            entry_id: The sender.
            payload: Its payload; may be of another version of the program.
            now_ms: The present time in milliseconds.

        Returns:
            Whether it held news that must reach the others at once.

        Raises:
            DecodeError: The payload is not valid; it is ignored.
        """
