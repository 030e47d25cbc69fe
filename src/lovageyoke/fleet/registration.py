"""A process's own entry in the store, and finding those of the others."""

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
FIND_RETRY_MS = 1_000.0
REGISTER_MOST_MS = 3_000.0


class Registration:
    """Keeps this process's entry in the store, under a lease.

    Attributes:
        store: The store.
        key: Key of the entry.
        value: Its value.
        ttl_ms: Time to live of the lease.
        clock: Source of time.
        log: Where failures are logged.
        rng: Spreads the renewals.
        lease_id: The lease, None while there is none.
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
    ) -> None:
        self.store = store
        self.key = key
        self.value = value
        self.ttl_ms = ttl_ms
        self.lease_id: int | None = None
        self.clock = clock
        self.log = log
        self.rng = rng

    async def run(self) -> None:
        """Keeps the entry until cancelled, and registers anew if it ends."""
        while True:
            await self.register()
            await self.renew()

    async def register(self) -> None:
        """Writes the entry under a new lease, unless there is one."""
        pause_ms = RETRY_FIRST_MS
        while self.lease_id is None:
            try:
                lease_id = await self.store.grant_lease(self.ttl_ms)
                await self.store.commit(
                    [revisions.Write(self.key, self.value, lease_id)]
                )
                self.lease_id = lease_id
            except exceptions.PlatformError as error:
                self.log.event("registration-failed", detail=error.detail)
                spread = self.rng.uniform(0.7, 1.3)
                await self.clock.sleep_ms(pause_ms * spread)
                pause_ms = min(pause_ms * 2.0, REGISTER_MOST_MS)

    async def renew(self) -> None:
        """Renews the lease until it has ended."""
        while self.lease_id is not None:
            share = self.rng.uniform(0.3, 0.4)
            await self.clock.sleep_ms(self.ttl_ms * share)
            try:
                await self.store.renew_lease(self.lease_id)
            except exceptions.LeaseGoneError:
                self.log.event("lease-ended", lease=self.lease_id)
                self.lease_id = None
            except exceptions.PlatformError as error:
                # The next renewal comes before the lease ends.
                self.log.event("renewal-failed", detail=error.detail)


async def find_peers(
    *,
    store: revisions.RevisionStore,
    prefix: str,
    decode: Callable[[bytes], messages.Peer],
    members: fleet_members.Members,
    clock: clock_api.Clock,
    log: events.EventLog,
) -> None:
    """Reads the other processes' entries, until one read succeeds.

    Those that start later find this process by its own entry.
    """
    while True:
        try:
            listing = await store.list_items(prefix)
        except exceptions.PlatformError as error:
            log.event("peers-unknown", detail=error.detail)
            await clock.sleep_ms(FIND_RETRY_MS)
            continue
        now_ms = clock.now_ms()
        for item in listing.items:
            try:
                members.learn(decode(item.value), now_ms)
            except exceptions.DecodeError as error:
                log.event("entry-rejected", detail=error.detail)
        return
