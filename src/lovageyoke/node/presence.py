"""Registers this process in the store and discovers peers there."""

from __future__ import annotations

from lovageyoke.fleet import registration as fleet_registration
from lovageyoke.node import directory_handler
from lovageyoke.node import messenger as node_messenger
from lovageyoke.node import state as node_state
from lovageyoke.store import revisions

LEASE_MS = 60_000.0  # For discovery only, not for failure detection.
# During a start several processes may be collectors for a moment; none of
# them registers before this delay.
REGISTER_DELAY_MS = 2_000.0


class Presence:
    """This process's entry in the store, and those of others.

    Attributes:
        node: Shared state of the process.
        store: The store.
        codecs: Codecs of the entries.
        messenger: Exchanges messages with the peers, and knows the position
            of the store.
    """

    def __init__(
        self,
        node: node_state.NodeState,
        store: revisions.RevisionStore,
        codecs: directory_handler.NodeCodecs,
        messenger: node_messenger.Messenger,
    ) -> None:
        self.node = node
        self.store = store
        self.codecs = codecs
        self.messenger = messenger

    async def run_registration(self) -> None:
        """Registers this process in the store, see ``should_register``."""
        node = self.node
        peer = node.members.own.peer
        registration = fleet_registration.Registration(
            store=self.store,
            key=self.codecs.node_prefix + peer.node_id,
            value=self.codecs.encode_node(peer),
            ttl_ms=max(LEASE_MS, node.settings.min_lease_ms),
            clock=node.clock,
            log=node.log,
            rng=node.rng,
            known_era=self.known_era,
        )
        await registration.run(self.should_register)

    async def run_discovery(self) -> None:
        """Discovers peers in the store.

        Collectors do so all the time; other processes only while they know
        no live peer.
        """
        node = self.node
        discovery = fleet_registration.PeerDiscovery(
            store=self.store,
            prefix=self.codecs.node_prefix,
            decode=self.codecs.decode_node,
            members=node.members,
            clock=node.clock,
            log=node.log,
        )
        await discovery.run()

    def known_era(self) -> int:
        """Returns the highest era that the store or a peer has stated."""
        return max(self.store.era, self.messenger.replica.position.era)

    def should_register(self) -> bool:
        """Returns whether this process has to be registered in the store.

        A collector registers on behalf of its failure domain. A process that
        knows no live peer registers so that it can be discovered.
        """
        now_ms = self.node.clock.now_ms()
        members = self.node.members
        if now_ms - self.messenger.clock_started_ms < REGISTER_DELAY_MS:
            return False
        since_ms = members.collecting_since_ms
        if since_ms is None:
            return not members.live(now_ms)
        return now_ms - since_ms >= REGISTER_DELAY_MS
