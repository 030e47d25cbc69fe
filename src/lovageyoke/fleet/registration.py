"""Registers a process in the store and discovers peers from it.

A lease ends with the era in which it was granted: a store that is restored
from a copy may assign its ID to another lease.
"""

from __future__ import annotations

from collections.abc import Callable
import random

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.observe import events
from lovageyoke.store import revisions

RETRY_FIRST_MS = 150.0
POLL_MS = 500.0
REREGISTRATION_SPREAD_MS = 2_000.0  # Of all processes after a return.
DISCOVERY_FIRST_MS = 1_500.0  # Most processes find peers by seeds earlier.
DISCOVERY_RETRY_MS = 2_000.0  # While no live peer is known.
DISCOVERY_AGAIN_MS = 15_000.0
RETRY_MAX_MS = 3_000.0


class Registration:
    """Maintains this process's entry in the store under a lease.

    Attributes:
        store: The store.
        key: Key of the entry.
        value: Its value.
        ttl_ms: Time to live of the lease.
        clock: Source of time.
        log: Receives failures.
        rng: Adds jitter to the renewals.
        known_era: Returns the highest era of the store that is known.
        lease: The lease, None while there is none.
    """

    def __init__(
        self,
        *,
        store: revisions.RevisionStore,
        key: str,
        value: bytes,
        ttl_ms: float,
        clock: clock_api.Clock,
        log: events.EventLog,
        rng: random.Random,
        known_era: Callable[[], int],
    ) -> None:
        self.store = store
        self.key = key
        self.value = value
        self.ttl_ms = ttl_ms
        self.lease: revisions.Lease | None = None
        self.clock = clock
        self.log = log
        self.rng = rng
        self.known_era = known_era

    async def run(self, wanted: Callable[[], bool]) -> None:
        """Maintains the entry until cancelled.

        Args:
            wanted: Whether this process should be discoverable. Once it
                isn't, the entry expires with its lease.
        """
        while True:
            if wanted():
                await self.register()
                await self.renew()
            else:
                self.lease = None
                await self.clock.sleep_ms(POLL_MS)

    async def register(self) -> None:
        """Writes the entry under a new lease, unless there is one."""
        pause_ms = RETRY_FIRST_MS
        while self.lease is None:
            try:
                lease = await self.store.grant_lease(self.ttl_ms)
                written = await self.store.commit(
                    [revisions.Write(self.key, self.value, lease)]
                )
                if written.era == lease.era:
                    self.lease = lease
            except exceptions.PlatformError as error:
                self.log.event("registration-failed", detail=error.detail)
                spread = self.rng.uniform(0.7, 1.3)
                await self.clock.sleep_ms(pause_ms * spread)
                pause_ms = min(pause_ms * 2.0, RETRY_MAX_MS)

    async def renew(self) -> None:
        """Renews the lease once, after a fraction of its time to live."""
        lease = self.lease
        if lease is None:
            return
        if not await self.wait_for_renewal(lease):
            self.lease = None
            self.log.event(
                "lease-ended",
                lease=lease.lease_id,
                era=lease.era,
                known_era=self.known_era(),
            )
            # All registered processes notice this at the same time.
            spread_ms = self.rng.uniform(0.0, REREGISTRATION_SPREAD_MS)
            await self.clock.sleep_ms(spread_ms)
            return
        try:
            await self.store.renew_lease(lease)
        except exceptions.LeaseExpiredError:
            self.log.event("lease-ended", lease=lease.lease_id, era=lease.era)
            self.lease = None
        except exceptions.PlatformError as error:
            # The next attempt is still before the lease expires.
            self.log.event("renewal-failed", detail=error.detail)

    async def wait_for_renewal(self, lease: revisions.Lease) -> bool:
        """Waits until a lease is due; returns False if its era ends."""
        share = self.rng.uniform(0.3, 0.4)
        due_ms = self.clock.now_ms() + self.ttl_ms * share
        while self.known_era() <= lease.era:
            left_ms = due_ms - self.clock.now_ms()
            if left_ms <= 0.0:
                return True
            await self.clock.sleep_ms(min(POLL_MS, left_ms))
        return False


class PeerDiscovery:
    """Discovers other processes by their entries in the store.

    Attributes:
        store: The store.
        prefix: Key prefix of the entries.
        decode: Decodes a process from an entry's value.
        members: Membership list that receives the processes.
        clock: Source of time.
        log: Receives failures.
    """

    def __init__(
        self,
        *,
        store: revisions.RevisionStore,
        prefix: str,
        decode: Callable[[bytes], messages.Peer],
        members: fleet_members.Members,
        clock: clock_api.Clock,
        log: events.EventLog,
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.decode = decode
        self.members = members
        self.clock = clock
        self.log = log

    async def run(self) -> None:
        """Polls the store for other processes until cancelled."""
        await self.clock.sleep_ms(DISCOVERY_FIRST_MS)
        while True:
            if self.should_poll():
                await self.poll()
            await self.clock.sleep_ms(self.pause_ms())

    def should_poll(self) -> bool:
        """Returns whether this process may be missing peers.

        Collectors always poll: if a partition has split the fleet into two
        parts, each with its own collectors, only a collector can detect it.
        """
        collects = self.members.collecting_since_ms is not None
        return collects or self.is_alone()

    def is_alone(self) -> bool:
        """Returns whether no other process is known to be alive."""
        return not self.members.live(self.clock.now_ms())

    def pause_ms(self) -> float:
        """Returns the delay until the next poll."""
        return DISCOVERY_RETRY_MS if self.is_alone() else DISCOVERY_AGAIN_MS

    async def poll(self) -> None:
        """Reads the entries of all processes; they may be seconds old."""
        try:
            listing = await self.store.list_items(self.prefix, stale=True)
        except exceptions.PlatformError as error:
            self.log.event("peers-unknown", detail=error.detail)
            return
        now_ms = self.clock.now_ms()
        for item in listing.items:
            try:
                peer = self.decode(item.value)
            except exceptions.DecodeError as error:
                self.log.event("entry-rejected", detail=error.detail)
                continue
            self.members.merge(messages.MemberState(peer), now_ms)
