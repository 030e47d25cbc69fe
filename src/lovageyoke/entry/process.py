"""The process of one entry VM."""

from __future__ import annotations

import random

import anyio

from lovageyoke.caller import app as caller_app
from lovageyoke.caller import server as caller_server
from lovageyoke.clock import api as clock_api
from lovageyoke.config import store as config_store
from lovageyoke.config import view as config_view
from lovageyoke.entry import listeners as listeners_lib
from lovageyoke.entry import services
from lovageyoke.idempotency import key_per_claim
from lovageyoke.platform import api as platform_api
from lovageyoke.settings import model
from lovageyoke.supervisor import child
from lovageyoke.supervisor import tree
from lovageyoke.transport import pool

MS_PER_SECOND = 1_000


class EntryProcess:
    """The tasks of one entry VM under their supervisor.

    Attributes:
        settings: Its settings.
        listeners: Its bound sockets.
        addresses: The addresses it listens on.
        view: The configuration in force.
        store: The configuration in the platform's service.
    """

    def __init__(
        self,
        settings: model.Settings,
        platform: platform_api.Platform,
        clock: clock_api.Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.listeners = listeners_lib.bind(settings.listen)
        self.addresses = self.listeners.addresses()
        self.view = config_view.ConfigView()
        self.store = config_store.ConfigStore(platform, clock, rng)
        self.transport = pool.PooledTransport(clock)
        self.claims = key_per_claim.KeyPerClaimLog(platform, clock)
        policies = services.Policies(settings.entry.failure_domain, rng)
        self.app = caller_app.create(
            services.Directory(self.view),
            policies.create,
            self.transport,
            self.claims,
            clock,
        )
        self._stop = anyio.Event()
        self.supervisor = tree.Supervisor(
            settings.entry.entry_id,
            (
                child.Child("transport", self.transport.run),
                child.Child(
                    "callers",
                    self._serve_callers,
                    stop=self._stop_callers,
                    restart=child.Restart.NEVER,
                    stop_timeout_ms=settings.limits.shutdown_ms,
                ),
            ),
            clock,
        )

    async def run(self) -> None:
        """Runs until ``stop`` is called and requests in flight have ended."""
        await self.supervisor.run()
        self.transport.close()

    async def stop(self) -> None:
        """Begins a graceful stop."""
        await self.supervisor.stop()

    async def _serve_callers(self) -> None:
        options = caller_server.ServerOptions(
            graceful_s=self.settings.limits.shutdown_ms / MS_PER_SECOND
        )
        await caller_server.serve(
            self.app, self.listeners.caller, self._stop.wait, options
        )

    async def _stop_callers(self) -> None:
        self._stop.set()
