"""Keeps a process's replica of the store up to date.

Two processes of the fleet watch the store and forward every change in their
heartbeats. The others request a snapshot from a peer after a start or when a
heartbeat reveals a gap. They read the store only if no peer answers, and some
of them watch it if no process has confirmed its state for a while. A process
that loses its connection to the store, or to its peers, therefore still
receives changes within the propagation bound.
"""

from __future__ import annotations

from collections.abc import Callable
import math
import random

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.fleet import watching
from lovageyoke.observe import events
from lovageyoke.store import positions
from lovageyoke.store import revisions

POLL_MS = 50.0  # Poll interval while there is nothing to do.
DISCOVERY_MS = 400.0  # Peer discovery after a start takes about this long.
REQUEST_GAP_MS = 200.0  # Between two snapshot requests.
PEER_TIMEOUT_MS = 1_000.0  # Wait for peers before the store is read.
START_JITTER_MS = 300.0  # Spreads the reads of processes started together.
# Processes that read the store at a start after one and after two times the
# wait for peers.
START_READERS = 6
START_READERS_LATE = 24
START_MIN_PEERS = 8  # Live peers of a process that reads earlier by its rank.
START_ANY_READER = 3.0  # Waits for peers after which a process reads anyway.
BATCH_MS = 100.0  # Changes come in bursts; one call returns several.
STANDBY_BATCH_MS = 500.0  # The standby gets most changes by heartbeat.
RETRY_FIRST_MS = 150.0
RETRY_MAX_MS = 1_000.0
# All watchers notice a lost history at once; the first passes on what it read.
RELOAD_SPREAD_MS = 250.0
RECHECK_MS = 2_000.0  # Probes a failed store, so that it is soon watched again.
RECHECKERS = 6
MAX_READS = 3  # Attempts to read all keys in one era.
RECHECK_OTHERS_MS = 15_000.0  # By all but the first ``RECHECKERS`` processes.


class Follower:
    """Follows the store, either directly or through the other processes.

    Attributes:
        store: The store.
        replica: The local copy of the store's state.
        members: The processes of the fleet.
        clock: Source of time.
        log: Receives state changes of the store connection.
        rng: Adds jitter to retries.
        on_changes: Called when changes should be sent to peers immediately.
        send_request: Sends a snapshot request to a peer; returns False if
            there is no peer to ask.
        is_seed: Whether this is one of the first seeds, or there are none; it
            reads the store early.
        store_ok: Whether the last call to the store succeeded.
        failed_ms: When the last call failed.
        requested_ms: When the last snapshot request was sent.
        batch: Whether the last watch returned changes, so that the next one
            is delayed to return several.
        retry_ms: Delay before the next retry, without jitter.
        reloads: Number of reloads since the last watch with a result.
        started_ms: When this process started.
        bootstrap_timeout_ms: How long a start waits for peers before it reads
            the store.
    """

    def __init__(
        self,
        *,
        store: revisions.RevisionStore,
        replica: fleet_replica.Replica,
        members: fleet_members.Members,
        clock: clock_api.Clock,
        log: events.EventLog,
        rng: random.Random,
        on_changes: Callable[[], None],
        send_request: Callable[[messages.SnapshotRequest], bool],
        is_seed: bool = True,
    ) -> None:
        self.store = store
        self.replica = replica
        self.members = members
        self.clock = clock
        self.log = log
        self.rng = rng
        self.on_changes = on_changes
        self.send_request = send_request
        self.is_seed = is_seed
        self.store_ok = True
        self.failed_ms = -math.inf
        self.requested_ms = -math.inf
        self.batch = False
        self.retry_ms = RETRY_FIRST_MS
        self.reloads = 0
        self.started_ms = clock.now_ms()
        jitter_ms = rng.uniform(0.0, START_JITTER_MS)
        self.bootstrap_timeout_ms = PEER_TIMEOUT_MS + jitter_ms

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            try:
                await self.step()
                if self.batch:
                    self.batch = False
                    await self.clock.sleep_ms(self.batch_ms())
            except exceptions.PlatformError as error:
                self.record_failure(error)
                await self.clock.sleep_ms(self.next_retry_ms())

    async def step(self) -> None:
        """Catches up, watches the store, or waits for heartbeats."""
        now_ms = self.clock.now_ms()
        behind_ms = self.replica.behind_since_ms(now_ms)
        if not self.replica.is_complete:
            await self.bootstrap(now_ms)
        elif behind_ms is not None:
            await self.request_or_read(behind_ms, now_ms)
        elif self.should_watch(now_ms):
            await self.watch_once()
        elif self.should_recheck(now_ms):
            await self.recheck()
        else:
            await self.clock.sleep_ms(POLL_MS)

    async def bootstrap(self, now_ms: float) -> None:
        """Loads the initial state, from a peer if there is one."""
        since_ms = now_ms - self.started_ms
        has_source = self.request_snapshot(now_ms)
        if self.should_read_at_start(now_ms, since_ms, has_source):
            await self.read_all(stale=not self.replica.listed)
        else:
            await self.clock.sleep_ms(POLL_MS)

    def should_read_at_start(
        self, now_ms: float, since_ms: float, has_source: bool
    ) -> bool:
        """Returns whether a process without state should read the store.

        When all processes start at once, few of them read and the others ask
        these. A process that knows no live peer ranks first, but waits longer
        unless it is a seed.

        Args:
            now_ms: The time.
            since_ms: Time since the start of this process.
            has_source: Whether a peer was asked for a snapshot.
        """
        timeout_ms = self.bootstrap_timeout_ms
        if since_ms < timeout_ms:
            if has_source or since_ms < DISCOVERY_MS:
                return False
            if self.is_seed:
                return True
            # With few known peers, the rank would be first by chance.
            if len(self.members.live(now_ms)) < START_MIN_PEERS:
                return False
            readers = watching.WATCHERS
        elif since_ms >= START_ANY_READER * timeout_ms and has_source:
            # A peer has the state, but its answers don't arrive.
            return True
        else:
            late = since_ms >= 2.0 * timeout_ms
            readers = START_READERS_LATE if late else START_READERS
        return self.members.watch_rank(now_ms, None) < readers

    async def request_or_read(self, since_ms: float, now_ms: float) -> None:
        """Requests a snapshot from a peer; reads the store after a timeout."""
        if (
            self.request_snapshot(now_ms)
            and now_ms - since_ms < PEER_TIMEOUT_MS
        ):
            await self.clock.sleep_ms(POLL_MS)
        else:
            await self.read_all(stale=False)

    def request_missed_changes(self) -> None:
        """Requests a snapshot if changes are missing.

        A call that waits for the store must not delay this.
        """
        now_ms = self.clock.now_ms()
        is_behind = self.replica.behind_since_ms(now_ms) is not None
        if self.replica.is_complete and is_behind:
            self.request_snapshot(now_ms)

    def request_snapshot(self, now_ms: float) -> bool:
        """Sends a rate-limited snapshot request.

        Returns:
            Whether a request is pending or was sent; False if there is no
            peer to ask.
        """
        if now_ms - self.requested_ms < REQUEST_GAP_MS:
            return True
        # An answer without the missed changes would only use the links.
        position = max(self.replica.position, self.replica.missed.position)
        if not self.send_request(messages.SnapshotRequest(position)):
            return False
        self.requested_ms = now_ms
        return True

    def should_watch(self, now_ms: float) -> bool:
        """Returns whether this process should watch the store itself."""
        stale_ms = now_ms - self.replica.fresh_ms
        return watching.should_watch(
            self.members, now_ms, stale_ms, self.store_ok
        )

    def should_recheck(self, now_ms: float) -> bool:
        """Returns whether this process should probe a failed store."""
        if self.store_ok:
            return False
        since_ms = now_ms - self.failed_ms
        if since_ms < RECHECK_MS or since_ms >= RECHECK_OTHERS_MS:
            return since_ms >= RECHECK_OTHERS_MS
        return self.members.watch_rank(now_ms, None) < RECHECKERS

    def batch_ms(self) -> float:
        """Returns the delay after a watch that collects further changes."""
        now_ms = self.clock.now_ms()
        first = self.members.watch_rank(now_ms, self.store_ok) == 0
        return BATCH_MS if first else STANDBY_BATCH_MS

    def next_retry_ms(self) -> float:
        """Returns the delay after a failed call, with exponential backoff."""
        pause_ms = self.retry_ms * self.rng.uniform(0.7, 1.3)
        self.retry_ms = min(self.retry_ms * 1.6, RETRY_MAX_MS)
        return pause_ms

    # The store

    async def read_all(self, stale: bool) -> None:
        """Reads all upstreams and the operators' keys from the store."""
        upstreams, operators = await self.read_listings(stale)
        self.check_era(upstreams.position)
        self.record_success()
        now_ms = self.clock.now_ms()
        self.replica.apply_read(upstreams, operators, now_ms, stale)
        if self.replica.configuration is None:
            await self.clock.sleep_ms(POLL_MS * 4)

    async def read_listings(
        self, stale: bool
    ) -> tuple[revisions.Listing, revisions.Listing]:
        """Returns the upstreams and the operators' keys, read in one era.

        Raises:
            PlatformUnavailableError: The store was restored during each read.
        """
        layout = self.replica.layout
        for _ in range(MAX_READS):
            upstreams = await self.store.list_items(
                layout.upstream_prefix, stale
            )
            operators = await self.store.list_items(
                layout.operator_prefix, stale
            )
            if upstreams.position.era == operators.position.era:
                return upstreams, operators
        raise exceptions.PlatformUnavailableError(
            "the store was restored from a copy during each read"
        )

    async def watch_once(self) -> None:
        """Waits for changes in the store and applies them."""
        replica = self.replica
        after = replica.position
        asked_ms = self.clock.now_ms()
        wait_ms = watching.wait_ms(
            self.members, asked_ms, asked_ms - replica.fresh_ms, self.store_ok
        )
        try:
            found = await self.store.watch(
                replica.layout.watch_prefix, after, wait_ms
            )
        except exceptions.HistoryCompactedError as error:
            self.log.event(
                "store-history-gone", detail=error.detail, era=self.store.era
            )
            self.record_success()
            await self.reload(after)
            return
        self.check_era(found.position)
        self.record_success()
        if found.position.era != after.era:
            # Its changes follow another history than the one asked for.
            await self.reload(after)
            return
        self.reloads = 0
        now_ms = self.clock.now_ms()
        replica.apply_watch(found, now_ms)
        self.batch = bool(found.events)
        waited = now_ms - asked_ms >= wait_ms * 0.9
        fresh_ms = now_ms if found.events or waited else asked_ms
        replica.fresh_ms = max(replica.fresh_ms, fresh_ms)
        if found.events:
            self.on_changes()

    async def reload(self, after: positions.Position) -> None:
        """Reads all again, unless a peer sends what the store has meanwhile.

        Args:
            after: The position whose later changes the store doesn't have.
        """
        await self.clock.sleep_ms(self.reload_pause_ms())
        self.reloads += 1
        if self.replica.position == after:
            await self.read_all(stale=False)

    def reload_pause_ms(self) -> float:
        """Returns the delay before a reload; the first watcher has none."""
        rank = self.members.watch_rank(self.clock.now_ms(), self.store_ok)
        if self.reloads == 0:
            return 0.0 if rank == 0 else self.rng.uniform(0.0, RELOAD_SPREAD_MS)
        most_ms = min(RELOAD_SPREAD_MS * (1 + self.reloads), RETRY_MAX_MS)
        return most_ms * self.rng.uniform(0.7, 1.3)

    def check_era(self, position: positions.Position) -> None:
        """Checks that an answer isn't from before a known return of the store.

        Raises:
            ObsoleteResponseError: The replica is of a later era.
        """
        known = self.replica.position
        if position.era < known.era:
            raise exceptions.ObsoleteResponseError(
                f"the store answered in era {position.era}, not {known.era}"
            )

    async def recheck(self) -> None:
        """Probes a failed store; logs its recovery, not repeated failures."""
        try:
            key = self.replica.layout.configuration_key
            await self.store.list_items(key, stale=True)
        except exceptions.PlatformError:
            self.failed_ms = self.clock.now_ms()
        else:
            self.record_success()

    def record_failure(self, error: exceptions.PlatformError) -> None:
        """Records a failed call to the store."""
        self.failed_ms = self.clock.now_ms()
        if self.store_ok:
            self.log.event("store-lost", detail=error.detail)
        self.store_ok = False

    def record_success(self) -> None:
        """Records a successful call to the store."""
        if not self.store_ok:
            self.log.event(
                "store-regained", revision=self.replica.position.revision
            )
        self.store_ok = True
        self.retry_ms = RETRY_FIRST_MS
