"""Pool of idle connections to upstreams."""

from __future__ import annotations

import collections

from lovageyoke.hop import connection as hop_connection
from lovageyoke.routing import model

# Most peers that announce no keep-alive timeout have a longer one.
DEFAULT_IDLE_TIMEOUT_MS = 4_000.0
# Allows a request to arrive before the peer closes the connection.
IDLE_MARGIN_MS = 1_000.0
# A connection that was used within this time is unlikely to be dead.
RECENT_USE_MS = 1_000.0
# Upstreams limit the total number of connections from all processes.
MAX_IDLE_PER_UPSTREAM = 4

UpstreamKey = tuple[str, int]


class ConnectionPool:
    """Idle connections keyed by upstream ID and start time.

    Attributes:
        idle: Connections by key, the most recently used one last.
        opened: Number of connections opened since the process started.
    """

    def __init__(self) -> None:
        self.idle: dict[UpstreamKey, list[hop_connection.ClientConnection]] = (
            collections.defaultdict(list)
        )
        self.opened = 0

    def take(
        self,
        upstream: model.Upstream,
        now_ms: float,
        *,
        recent_only: bool,
        request_id: bytes | None,
    ) -> hop_connection.ClientConnection | None:
        """Returns an idle connection to an upstream, None if there is none.

        Args:
            upstream: The upstream.
            now_ms: The current time.
            recent_only: Whether to return only a recently used connection;
                set for requests that cannot be retried.
            request_id: ID of the request, None if it has none.
        """
        connections = self.idle.get(upstream.key, [])
        for candidate in connections[::-1]:
            idle_ms = now_ms - candidate.idle_since_ms
            if not candidate.usable() or idle_ms > idle_timeout_ms(candidate):
                connections.remove(candidate)
                candidate.close()
                continue
            if recent_only and idle_ms > RECENT_USE_MS:
                return None
            if candidate.distinguishes(request_id):
                connections.remove(candidate)
                return candidate
        return None

    def put(
        self,
        upstream: model.Upstream,
        connection: hop_connection.ClientConnection,
        now_ms: float,
    ) -> None:
        """Returns a connection to the pool after an exchange, or closes it."""
        connections = self.idle[upstream.key]
        if not connection.usable() or len(connections) >= MAX_IDLE_PER_UPSTREAM:
            connection.close()
            return
        connection.idle_since_ms = now_ms
        connections.append(connection)

    def expire(self, now_ms: float) -> None:
        """Closes unusable connections and those past their idle timeout."""
        for key in list(self.idle):
            kept = []
            for connection in self.idle[key]:
                idle_ms = now_ms - connection.idle_since_ms
                if connection.usable() and idle_ms < idle_timeout_ms(
                    connection
                ):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self.idle[key] = kept
            else:
                del self.idle[key]

    def drop(self, key: UpstreamKey) -> None:
        """Closes the idle connections to an upstream."""
        for connection in self.idle.pop(key, []):
            connection.close()


def idle_timeout_ms(connection: hop_connection.ClientConnection) -> float:
    """Returns how long a connection may stay idle and still be reused."""
    if connection.keep_alive_ms is None:
        return DEFAULT_IDLE_TIMEOUT_MS
    return max(0.0, connection.keep_alive_ms - IDLE_MARGIN_MS)
