"""Upstreams of two slots that never answer a request when they are full."""

from __future__ import annotations

import asyncio
import collections
import random

from lovageyoke.clock import virtual
from lovageyoke.hop import attempt as hop_attempt
from lovageyoke.hop import messages
from lovageyoke.platform import headers
from lovageyoke.routing import load_view
from lovageyoke.routing import model

SLOTS = 2
MAX_QUEUE = 8
SLOW_PACE = 7.0
SLOW_SHARE = 0.3
PACE_DURATION_MS = 500.0
STEP_MS = 4.0


class SimulatedUpstreams(hop_attempt.UpstreamClient):
    """Upstreams of two slots and a queue that never answer when full."""

    def __init__(
        self, clock: virtual.LoopClock, rng: random.Random, count: int
    ) -> None:
        super().__init__(headers.NAMES, None, clock)  # type: ignore[arg-type]
        self.rng = rng
        self.work_rng = random.Random(rng.random())  # noqa: S311
        self.running = [0] * count
        self.waiting = [
            collections.deque[asyncio.Event]() for _ in range(count)
        ]
        self.paces = [self.draw_pace() for _ in range(count)]
        self.unanswered = 0
        self.crowded = 0
        self.sends = 0

    def draw_pace(self) -> float:
        return SLOW_PACE if self.rng.random() < SLOW_SHARE else 1.0

    def report(self, port: int) -> load_view.LoadReport:
        return load_view.LoadReport(
            self.running[port],
            len(self.waiting[port]),
            SLOTS,
            self.paces[port],
        )

    async def change_paces(self) -> None:
        """Changes the upstreams' paces at random until cancelled."""
        mean_ms = PACE_DURATION_MS / len(self.paces)
        while True:
            self.paces[self.rng.randrange(len(self.paces))] = self.draw_pace()
            await self.clock.sleep_ms(self.rng.expovariate(1.0 / mean_ms))

    async def send(
        self,
        sending: hop_attempt.PreparedRequest,
        upstream: model.Upstream,
        delivery: hop_attempt.DispatchState,
        sink: object,
        on_head: object = None,
    ) -> messages.Response:
        port = upstream.port
        delivery.sent = True
        self.sends += 1
        if self.running[port] < SLOTS:
            self.running[port] += 1
        elif len(self.waiting[port]) < MAX_QUEUE:
            self.crowded += 1
            turn = asyncio.Event()
            self.waiting[port].append(turn)
            try:
                await turn.wait()
            except BaseException:
                if turn.is_set():
                    self.leave(port)
                else:
                    self.waiting[port].remove(turn)
                raise
        else:
            self.unanswered += 1
            await asyncio.Event().wait()
        try:
            left_ms = float(sending.request.header(b"work") or 0)
            left_ms *= self.work_rng.uniform(0.7, 1.3)
            while left_ms > 0.0:
                await self.clock.sleep_ms(STEP_MS)
                left_ms -= STEP_MS / self.paces[port]
        finally:
            self.leave(port)
        load = self.report(port)
        text = (
            f"{load.running},{load.waiting},{SLOTS},"
            f"{round(self.paces[port] * 100)}"
        )
        return messages.Response(200, b"OK", [(self.names.load, text.encode())])

    def leave(self, port: int) -> None:
        """Gives the slot of a request to the next one."""
        if self.waiting[port]:
            self.waiting[port].popleft().set()
        else:
            self.running[port] -= 1
