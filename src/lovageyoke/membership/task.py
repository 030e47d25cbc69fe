"""Task that runs membership over a peer channel and the platform."""

from __future__ import annotations

from collections.abc import Callable
import random

import anyio
import attrs
from loguru import logger

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.membership import api
from lovageyoke.membership import messages
from lovageyoke.membership import payload as payload_lib
from lovageyoke.membership import roster_updater
from lovageyoke.membership import share as share_lib
from lovageyoke.membership import state as state_lib
from lovageyoke.membership import timing as timing_lib
from lovageyoke.membership import view as view_lib
from lovageyoke.peer import api as peer_api
from lovageyoke.store import api as platform_api

LIST_MS = 5_000.0
MAX_LIST_MS = 300_000.0
MAX_POLLING_MEMBERS = 32
RELEASE_TIMEOUT_MS = 2_000.0


@attrs.frozen
class Links:
    """Callbacks that add and remove peers of a channel.

    Attributes:
        connect: Called with an entry id and its peer address.
        disconnect: Called with the id of a dead entry VM.
    """

    connect: Callable[[str, str], None]
    disconnect: Callable[[str], None]


class MembershipTask:
    """Runs the membership of one process.

    Attributes:
        state: Membership state machine.
        share: Share of this process in the probe budgets.
        roster_updater: Maintains the roster slot of the share.
        view: View of membership for the other packages.
        contacts: Peer addresses from the settings by entry id, needed to
            find other entry VMs while the platform is unavailable.
    """

    def __init__(
        self,
        own: messages.MemberRecord,
        channel: peer_api.PeerChannel,
        platform: platform_api.Platform,
        *,
        links: Links,
        clock: clock_api.Clock,
        rng: random.Random,
        payload_providers: tuple[payload_lib.PayloadProvider, ...] = (),
        contacts: dict[str, str] | None = None,
        timing: timing_lib.Timing | None = None,
        min_capacity: int = 1,
    ) -> None:
        self.state = state_lib.MembershipState(
            own, rng, clock.now_ms(), payload_providers, timing
        )
        self.share = share_lib.ProbeShare(self.state.holder)
        self.roster_updater = roster_updater.RosterUpdater(
            self.state,
            self.share,
            platform,
            clock=clock,
            rng=rng,
            min_capacity=min_capacity,
        )
        self.view = view_lib.LiveMembership(self.state, self.share, clock)
        self.contacts = contacts or {}
        self._channel = channel
        self._platform = platform
        self._links = links
        self._clock = clock
        self._rng = rng
        self._connected: set[str] = set()
        self._list_due_ms = clock.now_ms()
        self._list_ms = LIST_MS
        self._stopped = anyio.Event()
        for message_type in messages.MESSAGES:
            channel.handle(message_type, self._on_message)

    async def run(self) -> None:
        """Runs until ``stop`` is called.

        Raises:
            SupersededError: Another process runs with the same entry id.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.roster_updater.run)
            tasks.start_soon(self._poll_list)
            tasks.start_soon(self._run_ticks)
            await self._stopped.wait()
            tasks.cancel_scope.cancel()
        if self.state.superseded:
            raise exceptions.SupersededError(
                f"another process runs as {self.state.own.entry_id}"
            )

    def leave(self) -> None:
        """Announces that this entry VM is leaving; it continues to serve."""
        self.state.leave(self._clock.now_ms())

    async def stop(self) -> None:
        """Releases the probe share, sends final messages and ends ``run``."""
        self.leave()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._time_out, tasks.cancel_scope)
            await self.roster_updater.release()
            tasks.cancel_scope.cancel()
        await self._send_all(self.state.final_messages(self._clock.now_ms()))
        self._stopped.set()

    def address_of(self, entry_id: str) -> str | None:
        """Returns the peer address of an entry VM, or None if unknown."""
        record = self.state.members.table.get(entry_id)
        if record is None or record.state is api.MemberState.DEAD:
            return None
        return record.peer_address

    def announce(self) -> None:
        """Sends the payloads of all providers with the next tick."""
        self.state.urgent = True

    async def _time_out(self, scope: anyio.CancelScope) -> None:
        await self._clock.sleep_ms(RELEASE_TIMEOUT_MS)
        scope.cancel()

    async def _on_message(self, source: str, message: peer_api.Message) -> None:
        now_ms = self._clock.now_ms()
        sends = self.state.receive(source, message, now_ms)
        if self.state.urgent:
            sends.extend(self._tick(now_ms))
        await self._send_all(sends)

    async def _run_ticks(self) -> None:
        while not self.state.superseded:
            await self._send_all(self._tick(self._clock.now_ms()))
            await self._clock.sleep_ms(self.state.timing.tick_ms)
        self._stopped.set()

    def _tick(self, now_ms: float) -> list[state_lib.OutgoingMessage]:
        self.state.set_contacts(self.contacts | self.roster_updater.addresses())
        sends = self.state.tick(now_ms)
        if self.state.paused:
            self.share.suspend()
            self.state.paused = False
        if self.share.holder != self.state.holder:
            self.share.change_holder(self.state.holder)
        for holder, generation in self.state.generations.items():
            self.share.acknowledge(holder, generation)
        self._disconnect_dead()
        return sends

    def _disconnect_dead(self) -> None:
        states = self.state.members.states
        dead = {
            each
            for each in self._connected
            if states.get(each) is api.MemberState.DEAD
        }
        for entry_id in dead:
            self._links.disconnect(entry_id)
        self._connected -= dead

    async def _send_all(self, sends: list[state_lib.OutgoingMessage]) -> None:
        for send in sends:
            if send.address:
                self._connected.add(send.entry_id)
                self._links.connect(send.entry_id, send.address)
            await self._channel.send(send.entry_id, send.message)

    async def _poll_list(self) -> None:
        while True:
            if self._clock.now_ms() >= self._list_due_ms:
                await self._read_list()
            await self._clock.sleep_ms(self.state.timing.tick_ms)

    async def _read_list(self) -> None:
        asked_ms = self._clock.now_ms()
        wanted = self._wants_list(asked_ms)
        if wanted:
            try:
                vms = await self._platform.list_vms()
            except exceptions.PlatformError as error:
                logger.warning("failed to list VMs: {}", error.detail)
                self._list_ms = min(self._list_ms * 2, MAX_LIST_MS)
            else:
                self.state.list_vms(vms, asked_ms, self._clock.now_ms())
                self._list_ms = self._next_list_ms()
        else:
            self._list_ms = LIST_MS
        jitter = self._rng.uniform(0.75, 1.25)
        self._list_due_ms = self._clock.now_ms() + self._list_ms * jitter

    def _wants_list(self, now_ms: float) -> bool:
        if self._is_small():
            return True
        return self.state.members.needs_listing(now_ms)

    def _next_list_ms(self) -> float:
        if self._is_small():
            return LIST_MS
        return min(self._list_ms * 2, MAX_LIST_MS)

    def _is_small(self) -> bool:
        return len(self.state.members.states) <= MAX_POLLING_MEMBERS
