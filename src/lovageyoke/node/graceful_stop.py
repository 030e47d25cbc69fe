"""Stops the process; every accepted request is answered before its end."""

from __future__ import annotations

from lovageyoke.errors import kinds
from lovageyoke.hop import connection_set
from lovageyoke.limits import shutdown
from lovageyoke.node import forwarder as node_forwarder
from lovageyoke.node import messenger as node_messenger
from lovageyoke.node import state as node_state

CHECK_INTERVAL_MS = 20.0
LAST_ANSWERS_MS = 300.0  # Time to write the last responses.


class GracefulStop:
    """Ends the work of this process within the grace period.

    Attributes:
        node: Shared state of the process.
        forwarder: Forwards the requests of callers.
        connections: The connections of callers.
        messenger: Exchanges messages with the peers.
    """

    def __init__(
        self,
        node: node_state.NodeState,
        forwarder: node_forwarder.Forwarder,
        connections: connection_set.ConnectionSet,
        messenger: node_messenger.Messenger,
    ) -> None:
        self.node = node
        self.forwarder = forwarder
        self.connections = connections
        self.messenger = messenger

    def begin(self) -> shutdown.Shutdown:
        """Begins the stop; a further signal changes nothing.

        Queued requests that couldn't be run before the end are refused while
        their callers have time to go elsewhere.
        """
        node = self.node
        if node.shutdown is None:
            node.shutdown = shutdown.Shutdown(
                node.clock.now_ms(), node.settings.bounds.grace_ms
            )
            for queue in node.queues.values():
                queue.end_waits_by(
                    node.shutdown.answers_due_ms, node.shutdown.started_ms
                )
        return node.shutdown

    async def run(self) -> None:
        """Waits until callers have left and all requests are answered.

        What is unfinished at the end is answered then.
        """
        node = self.node
        stop = self.begin()
        node.log.event("stopping", connections=len(self.connections.open))
        self.messenger.send_heartbeats()
        while node.clock.now_ms() < stop.end_ms:
            may_end = node.clock.now_ms() >= stop.accepts_all_until_ms
            if may_end and not self.connections.open:
                return
            if may_end and self.connections.in_flight == 0:
                self.connections.close_idle()
            await node.clock.sleep_ms(CHECK_INTERVAL_MS)
        await self.answer_unfinished()

    async def answer_unfinished(self) -> None:
        """Answers all requests that are unfinished at the end of the stop."""
        node = self.node
        end_ms = node.clock.now_ms() + LAST_ANSWERS_MS
        races = list(self.forwarder.races.values())
        node.log.event(
            "stop-unfinished",
            requests=len(races),
            sent=sum(each.was_sent() for each in races),
        )
        for race in races:
            race.stopped = True
        for queue in node.queues.values():
            queue.end_waits_by(node.clock.now_ms(), node.clock.now_ms())
        self.connections.reject_unfinished(kinds.ErrorKind.LEAVING)
        while node.clock.now_ms() < end_ms:
            if self.connections.is_written():
                break
            await node.clock.sleep_ms(CHECK_INTERVAL_MS)
