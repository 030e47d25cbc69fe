"""The open connections of a listener, and how many there may be."""

from __future__ import annotations

import typing

import attrs

from lovageyoke.errors import kinds
from lovageyoke.limits import memory_budget

if typing.TYPE_CHECKING:
    from lovageyoke.hop import server

# Memory of a connection without a request, and of a request in progress. Every
# connection is counted with an ordinary request, so that it needs no further
# counting.
CONNECTION_BYTES = 5_120
REQUEST_BYTES = 16_384
ORDINARY_REQUEST_BYTES = REQUEST_BYTES + 6_144
ORDINARY_BYTES = CONNECTION_BYTES + ORDINARY_REQUEST_BYTES
# At the limit, this share of the idle connections is closed at once, so that
# not every new connection searches for one.
EVICTED_SHARE = 1 / 16


# Most bytes read from a connection in one turn of the event loop, so that
# busy connections don't keep the others waiting.
MAX_READ_BYTES = 16_384


def _read_buffer() -> memoryview:
    return memoryview(bytearray(MAX_READ_BYTES))


@attrs.define
class ConnectionSet:
    """The open connections of one listener.

    Attributes:
        open: The connections.
        in_flight: Number of requests being handled.
        budget: Counts the bytes that the connections hold.
        most_open: Maximum number of connections, 0 for any number.
        read_buffer: Buffer for received bytes, which are copied from it at
            once.
        evicted: Number of idle connections closed to make room for others.
        refused: Number of connections refused because none was idle.
    """

    open: set[server.CallerConnection] = attrs.field(factory=set)
    in_flight: int = 0
    budget: memory_budget.MemoryBudget = attrs.field(
        factory=memory_budget.unlimited
    )
    most_open: int = 0
    read_buffer: memoryview = attrs.field(factory=_read_buffer)
    evicted: int = 0
    refused: int = 0

    def add(self, connection: server.CallerConnection) -> None:
        """Adds a connection, or aborts it if there are too many."""
        has_room = (
            not self.most_open
            or len(self.open) < self.most_open
            or self.make_room()
        )
        self.open.add(connection)
        self.budget.add(connection, ORDINARY_BYTES)
        if not has_room:
            self.refused += 1
            connection.abort()

    def make_room(self) -> bool:
        """Closes those connections that have been idle for longest."""
        live = [each for each in self.open if not each.closing()]
        if len(live) < self.most_open:
            return True
        idle = sorted(
            (each for each in live if each.idle()),
            key=lambda each: each.read_timer.end_s(),
        )
        for connection in idle[: int(len(idle) * EVICTED_SHARE) + 1]:
            self.evicted += 1
            connection.close()
        return bool(idle)

    def reject_unfinished(self, kind: kinds.ErrorKind) -> None:
        """Responds to the requests of which only a part has been received."""
        for connection in list(self.open):
            if connection.receiving:
                connection.reject(kind)

    def is_written(self) -> bool:
        """Returns whether all requests are answered and nothing is unsent."""
        return not any(
            each.pipeline.exchanges or each.unsent_bytes() for each in self.open
        )

    def close_idle(self) -> None:
        """Closes the connections that have no request in progress."""
        for connection in list(self.open):
            if connection.idle():
                connection.close()
