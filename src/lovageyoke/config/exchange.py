"""Task that exchanges configuration with peers."""

from __future__ import annotations

from collections.abc import Callable
import random

import anyio
from loguru import logger

from lovageyoke.clock import api as clock_api
from lovageyoke.config import dissemination
from lovageyoke.config import view as views
from lovageyoke.errors import exceptions
from lovageyoke.membership import api as membership_api
from lovageyoke.peer import api

PULL_INTERVAL_MS = 500.0
PULL_TIMEOUT_MS = 1_000.0


class PeerExchange:
    """Pushes new changes to peers and pulls missing ones.

    Attributes:
        view: The active configuration.
        digests: Configuration digests reported by peers.
    """

    def __init__(
        self,
        view: views.ConfigView,
        channel: api.PeerChannel,
        *,
        membership: membership_api.MembershipView,
        clock: clock_api.Clock,
        generator: random.Random,
        is_ready: Callable[[], bool],
        digests: dissemination.PeerDigests | None = None,
    ) -> None:
        self.view = view
        self.digests = digests or dissemination.PeerDigests()
        self._channel = channel
        self._membership = membership
        self._clock = clock
        self._random = generator
        self._is_ready = is_ready
        self._announced: dict[int, int] = {}
        self._has_announced = anyio.Event()
        channel.handle(dissemination.ConfigPull, self._answer_pull)
        channel.handle(dissemination.ConfigPush, self._receive_push)

    async def run(self) -> None:
        """Exchanges configuration until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_announced)
            tasks.start_soon(self._pull_repeatedly)

    def announce(self, group: int, base: int) -> None:
        """Schedules a push of a group's changes since a sequence."""
        self._announced.setdefault(group, base)
        self._has_announced.set()

    async def pull_from_random_peers(self, count: int) -> bool:
        """Pulls from up to ``count`` peers chosen at random.

        Returns:
            Whether at least one had a complete configuration.
        """
        peers = sorted(self._peers())
        selected = self._random.sample(peers, min(count, len(peers)))
        results = [await self._pull(peer) for peer in selected]
        return any(results)

    def _peers(self) -> set[str]:
        own_id = self._membership.self_id()
        return dissemination.member_ids(self._membership) - {own_id}

    async def _send_announced(self) -> None:
        while True:
            await self._has_announced.wait()
            self._has_announced = anyio.Event()
            announced, self._announced = self._announced, {}
            for group, base in announced.items():
                update = self.view.update_since(group, base)
                own_id = self._membership.self_id()
                await self._forward(dissemination.ConfigPush(own_id, update))

    async def _forward(self, push: dissemination.ConfigPush) -> None:
        key = f"{push.origin}/{push.update.group}/{push.update.sequence}"
        targets = dissemination.tree_children(
            self._membership.self_id(),
            push.origin,
            key,
            dissemination.member_ids(self._membership),
        )
        for entry_id in targets:
            try:
                await self._channel.send(entry_id, push)
            except exceptions.PeerError as error:
                logger.debug(
                    "configuration push to {} failed: {}",
                    entry_id,
                    error.detail,
                )

    async def _receive_push(self, source: str, message: api.Message) -> None:
        del source
        if not isinstance(message, dissemination.ConfigPush):
            return
        dissemination.check_update(message.update)
        if self.view.apply(message.update):
            await self._forward(message)

    async def _answer_pull(
        self, source: str, message: api.Message
    ) -> api.Message | None:
        del source
        if not isinstance(message, dissemination.ConfigPull):
            return None
        return dissemination.answer_pull(self.view, message, self._is_ready())

    async def _pull_repeatedly(self) -> None:
        while True:
            interval_ms = self._random.uniform(0.5, 1.5) * PULL_INTERVAL_MS
            await self._clock.sleep_ms(interval_ms)
            own = dissemination.digest(self.view.sequences)
            peer = self.digests.choose(own, self._peers(), self._random)
            if peer is not None and await self._pull(peer):
                self.digests.record_pull(
                    peer, dissemination.digest(self.view.sequences)
                )

    async def _pull(self, peer: str) -> bool:
        """Pulls all changes of a peer; returns whether it was complete."""
        while True:
            pull = dissemination.ConfigPull(tuple(self.view.sequences))
            try:
                reply = await self._channel.request(peer, pull, PULL_TIMEOUT_MS)
                state = dissemination.require_state(reply)
                progress = self._apply_state(state)
            except (exceptions.PeerError, exceptions.DecodeError) as error:
                logger.debug(
                    "configuration pull from {} failed: {}", peer, error.detail
                )
                return False
            if not (state.more and progress):
                return state.ready

    def _apply_state(self, state: dissemination.ConfigState) -> bool:
        progress = False
        for update in state.updates:
            dissemination.check_update(update)
            progress |= self.view.apply(update)
        return progress
