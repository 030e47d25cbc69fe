"""The process of one entry VM."""

from __future__ import annotations

import random

import anyio

from lovageyoke.caller import app as caller_app
from lovageyoke.caller import server as caller_server
from lovageyoke.clock import api as clock_api
from lovageyoke.config import follower as config_follower
from lovageyoke.config import store as config_store
from lovageyoke.config import view as config_view
from lovageyoke.entry import keeper as keeper_lib
from lovageyoke.entry import listeners as listeners_lib
from lovageyoke.entry import metrics as entry_metrics
from lovageyoke.entry import probe as entry_probe
from lovageyoke.entry import services
from lovageyoke.entry import status
from lovageyoke.idempotency import key_per_claim
from lovageyoke.membership import api as membership_api
from lovageyoke.membership import static
from lovageyoke.observe import metrics
from lovageyoke.operator import access
from lovageyoke.operator import app as operator_app
from lovageyoke.platform import api as platform_api
from lovageyoke.probing import prober as prober_lib
from lovageyoke.serving import hosting
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
        membership: The entries known.
        supervisor: The root of the supervisor tree.
    """

    def __init__(
        self,
        settings: model.Settings,
        platform: platform_api.Platform,
        clock: clock_api.Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.listeners = listeners_lib.bind(settings.listen)
        self.addresses = self.listeners.addresses()
        self.view = config_view.ConfigView()
        self.store = config_store.ConfigStore(platform, clock, rng)
        self.membership = static.StaticMembership(
            settings.entry.entry_id, (self._own_member(),)
        )
        self.follower = config_follower.ConfigFollower(
            platform,
            self.view,
            membership=self.membership,
            clock=clock,
            generator=rng,
            calls_per_s=settings.platform.calls_per_s,
        )
        self.transport = pool.PooledTransport(clock)
        self.claims = key_per_claim.KeyPerClaimLog(platform, clock)
        self.app = caller_app.create(
            services.Directory(self.view),
            services.Policies(settings.entry.failure_domain, rng).create,
            self.transport,
            self.claims,
            clock,
        )
        probe = entry_probe.UpstreamProbe(self.transport, clock)
        self.prober = prober_lib.Prober(probe, self.membership, clock)
        self.keeper = keeper_lib.ServiceKeeper(
            self.view, self.app.routes, self.prober, probe
        )
        self.operator_app = self._create_operator_app()
        self._stop_callers = anyio.Event()
        self._stop_operators = anyio.Event()
        self.supervisor = tree.Supervisor(
            settings.entry.entry_id, self._children(), clock
        )

    async def run(self) -> None:
        """Runs until ``stop`` is called and requests in flight have ended.

        Raises:
            SupervisorError: A part failed for good.
        """
        await self.supervisor.run()
        self.transport.close()

    async def stop(self) -> None:
        """Begins a graceful stop."""
        await self.supervisor.stop()

    def _children(self) -> tuple[child.Child, ...]:
        return (
            child.Child("configuration", self.follower.run),
            child.Child("transport", self.transport.run),
            child.Child("services", self.keeper.run),
            child.Child("prober", self.prober.run),
            child.Child(
                "operators",
                self._serve_operators,
                stop=_setter(self._stop_operators),
                restart=child.Restart.NEVER,
            ),
            child.Child(
                "callers",
                self._serve_callers,
                stop=_setter(self._stop_callers),
                restart=child.Restart.NEVER,
                stop_timeout_ms=self.settings.limits.shutdown_ms,
            ),
        )

    def _own_member(self) -> membership_api.Member:
        return membership_api.Member(
            self.settings.entry.entry_id,
            self.clock.wall_ms(),
            self.addresses.caller,
            self.addresses.peer,
            self.settings.entry.failure_domain,
        )

    def _create_operator_app(self) -> hosting.App:
        registry = metrics.MetricRegistry()
        registry.add(entry_metrics.EntryMetrics(self))
        return operator_app.create(
            self.store,
            self.view,
            access.Authenticator(self.settings.operators, self.clock),
            status.EntryStatusProvider(
                self.settings, self.follower, self.membership
            ),
            self.follower.learned,
            extra_routes=(entry_metrics.route(registry),),
        )

    async def _serve_operators(self) -> None:
        await hosting.serve(
            self.operator_app, self.listeners.operator, self._stop_operators
        )

    async def _serve_callers(self) -> None:
        tls = self.settings.tls.caller
        options = caller_server.ServerOptions(
            graceful_s=self.settings.limits.shutdown_ms / MS_PER_SECOND,
            certificate=tls.certificate,
            key=tls.key,
        )
        await caller_server.serve(
            self.app, self.listeners.caller, self._stop_callers.wait, options
        )


def _setter(event: anyio.Event) -> child.Run:
    async def set_event() -> None:
        event.set()

    return set_event
