"""Bounds on callers: connections and body sizes."""

from __future__ import annotations

import collections

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds

DEFAULT_MAX_CONNECTIONS = 4_096
DEFAULT_MAX_PER_ADDRESS = 256


class CallerConnections:
    """Counts callers' connections, in all and by address.

    Attributes:
        max_connections: Connections from all callers.
        max_per_address: Connections from one IP number.
        total: Open connections.
        refused: Connections refused since the start.
    """

    def __init__(
        self,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        max_per_address: int = DEFAULT_MAX_PER_ADDRESS,
    ) -> None:
        self.max_connections = max_connections
        self.max_per_address = max_per_address
        self.total = 0
        self.refused = 0
        self._by_address: collections.Counter[str] = collections.Counter()

    def open(self, address: str) -> bool:
        """Counts a new connection; False when it must be closed."""
        if (
            self.total >= self.max_connections
            or self._by_address[address] >= self.max_per_address
        ):
            self.refused += 1
            return False
        self.total += 1
        self._by_address[address] += 1
        return True

    def close(self, address: str) -> None:
        """Counts the end of a connection that was opened."""
        self.total -= 1
        self._by_address[address] -= 1
        if self._by_address[address] <= 0:
            del self._by_address[address]


class BodyLimit:
    """Bounds one request body.

    Attributes:
        max_bytes: Size that is accepted.
        received_bytes: Size so far.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.received_bytes = 0

    def check_length(self, content_length: int) -> None:
        """Refuses a declared length that is too large.

        Raises:
            CallerError: Kind BODY_TOO_LARGE.
        """
        if content_length > self.max_bytes:
            raise self._error()

    def add(self, size_bytes: int) -> None:
        """Counts a part of the body.

        Raises:
            CallerError: Kind BODY_TOO_LARGE.
        """
        self.received_bytes += size_bytes
        if self.received_bytes > self.max_bytes:
            raise self._error()

    def _error(self) -> exceptions.CallerError:
        return exceptions.CallerError(
            f"the request body is larger than {self.max_bytes} bytes",
            kinds.ErrorKind.BODY_TOO_LARGE,
        )
