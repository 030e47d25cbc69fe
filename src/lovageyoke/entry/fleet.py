"""The components of an entry VM that communicate with its peers."""

from __future__ import annotations

import random

from lovageyoke.addresses import answer
from lovageyoke.clock import api as clock_api
from lovageyoke.config import follower as config_follower
from lovageyoke.config import heartbeat
from lovageyoke.config import store as config_store
from lovageyoke.config import view as config_view
from lovageyoke.entry import listeners as listeners_lib
from lovageyoke.entry import peers
from lovageyoke.idempotency import service as claim_service
from lovageyoke.idempotency import shards as claim_shards
from lovageyoke.membership import drains as drains_lib
from lovageyoke.membership import incarnation
from lovageyoke.membership import messages
from lovageyoke.membership import task
from lovageyoke.settings import model
from lovageyoke.store import api as platform_api


class Fleet:
    """The peer channel, membership, configuration and claims.

    Attributes:
        channel: Messages to other entry VMs.
        drains: The drains exchanged by heartbeats.
        membership: The known entry VMs.
        address_selector: Chooses the addresses returned to callers.
        view: The configuration in force.
        store: The configuration stored in the platform service.
        follower: Keeps the view up to date.
        claims: The at-most-once log.
    """

    def __init__(
        self,
        settings: model.Settings,
        listeners: listeners_lib.Listeners,
        platform: platform_api.Platform,
        clock: clock_api.Clock,
        rng: random.Random,
    ) -> None:
        self.channel = peers.create_channel(
            settings, listeners.peer, clock, rng
        )
        self.drains = drains_lib.Drains()
        self.view = config_view.ConfigView()
        digests = heartbeat.ConfigHeartbeat(self.view)
        self.membership = task.MembershipTask(
            _own_record(settings, listeners, clock, rng),
            self.channel,
            platform,
            links=task.Links(self.channel.set_address, self.channel.remove),
            clock=clock,
            rng=rng,
            payload_providers=(digests, self.drains),
            contacts=peers.contacts(settings),
        )
        self.channel.resolve = self.membership.address_of
        self.address_selector = answer.AddressSelector(
            self.membership.view, settings.limits.address_lifetime_ms
        )
        self.store = config_store.ConfigStore(platform, clock, rng)
        self.follower = config_follower.ConfigFollower(
            platform,
            self.view,
            membership=self.membership.view,
            clock=clock,
            generator=rng,
            channel=self.channel,
            digests=digests.digests,
            calls_per_s=settings.platform.calls_per_s,
        )
        writes_per_s = settings.platform.claim_writes_per_s
        self.claims = claim_service.create(
            platform,
            self.membership.view,
            self.channel,
            clock,
            rng=rng,
            options=claim_shards.Options(writes_per_s=writes_per_s),
        )


def _own_record(
    settings: model.Settings,
    listeners: listeners_lib.Listeners,
    clock: clock_api.Clock,
    rng: random.Random,
) -> messages.MemberRecord:
    addresses = settings.advertise or listeners.addresses()
    return messages.MemberRecord(
        settings.entry.entry_id,
        incarnation.first_incarnation(clock, rng),
        caller_address=addresses.caller,
        peer_address=addresses.peer,
        failure_domain=settings.entry.failure_domain,
        region=settings.entry.region,
    )
