"""Idle connections to upstreams, kept for the next request."""

from __future__ import annotations

import collections

from lovageyoke.hop import connection as hop_connection
from lovageyoke.routing import model

IDLE_UNTOLD_MS = (
    4_000.0  # Peers that tell no idle limit mostly have a longer one.
)
IDLE_MARGIN_MS = 1_000.0  # Time for a request to arrive before the peer closes.
FRESH_MS = 1_000.0  # A connection that spoke so lately is unlikely to be dead.
MAX_IDLE_EACH = 4  # Upstreams bound the connections of all processes.

Key = tuple[str, int]


class ConnectionPool:
    """Idle connections by the upstream's start.

    Attributes:
        idle: The connections, the last used one at the end.
        opened: Connections opened since the start.
    """

    def __init__(self) -> None:
        self.idle: dict[Key, list[hop_connection.ClientConnection]] = (
            collections.defaultdict(list)
        )
        self.opened = 0

    def take(
        self, upstream: model.Upstream, now_ms: float, fresh_only: bool
    ) -> hop_connection.ClientConnection | None:
        """Returns an idle connection to an upstream, None if there is none.

        Args:
            upstream: The upstream.
            now_ms: The time.
            fresh_only: Whether only one that was used very lately will do;
                for requests that can't be sent again.
        """
        connections = self.idle.get(upstream.key)
        while connections:
            candidate = connections[-1]
            idle_ms = now_ms - candidate.idle_since_ms
            if not candidate.usable() or idle_ms > idle_limit_ms(candidate):
                connections.pop().close()
                continue
            if fresh_only and idle_ms > FRESH_MS:
                return None
            return connections.pop()
        return None

    def put(
        self,
        upstream: model.Upstream,
        connection: hop_connection.ClientConnection,
        now_ms: float,
    ) -> None:
        """Keeps a connection whose exchange is over, or closes it."""
        connections = self.idle[upstream.key]
        if not connection.usable() or len(connections) >= MAX_IDLE_EACH:
            connection.close()
            return
        connection.idle_since_ms = now_ms
        connections.append(connection)

    def expire(self, now_ms: float) -> None:
        """Closes connections that were idle for too long."""
        for key in list(self.idle):
            kept = []
            for connection in self.idle[key]:
                idle_ms = now_ms - connection.idle_since_ms
                if connection.usable() and idle_ms < idle_limit_ms(connection):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self.idle[key] = kept
            else:
                del self.idle[key]

    def drop(self, key: Key) -> None:
        """Closes the idle connections to an upstream."""
        for connection in self.idle.pop(key, []):
            connection.close()


def idle_limit_ms(connection: hop_connection.ClientConnection) -> float:
    """Returns how long a connection may be idle before its next use."""
    if connection.keep_alive_ms is None:
        return IDLE_UNTOLD_MS
    return max(0.0, connection.keep_alive_ms - IDLE_MARGIN_MS)
