"""The process of one entry VM."""

from __future__ import annotations

import random

import anyio

from lovageyoke.addresses import answer
from lovageyoke.caller import app as caller_app
from lovageyoke.caller import server as caller_server
from lovageyoke.clock import api as clock_api
from lovageyoke.config import follower as config_follower
from lovageyoke.config import heartbeat
from lovageyoke.config import model as model_config
from lovageyoke.config import store as config_store
from lovageyoke.config import view as config_view
from lovageyoke.entry import drains
from lovageyoke.entry import front
from lovageyoke.entry import keeper as keeper_lib
from lovageyoke.entry import listeners as listeners_lib
from lovageyoke.entry import metrics as entry_metrics
from lovageyoke.entry import observer
from lovageyoke.entry import peers
from lovageyoke.entry import probe as entry_probe
from lovageyoke.entry import services
from lovageyoke.entry import status
from lovageyoke.idempotency import service as claim_service
from lovageyoke.idempotency import shards as claim_shards
from lovageyoke.limits import admission
from lovageyoke.limits import control
from lovageyoke.limits import upstream
from lovageyoke.membership import drains as drains_lib
from lovageyoke.membership import incarnation
from lovageyoke.membership import messages
from lovageyoke.membership import task
from lovageyoke.observe import metrics
from lovageyoke.operator import access
from lovageyoke.operator import app as operator_app
from lovageyoke.platform import api as platform_api
from lovageyoke.probing import prober as prober_lib
from lovageyoke.security import tls
from lovageyoke.serving import hosting
from lovageyoke.settings import model
from lovageyoke.supervisor import child
from lovageyoke.supervisor import tree
from lovageyoke.transport import pool

MS_PER_SECOND = 1_000
STOP_MARGIN_MS = 1_000
FLEET_INTERVAL_MS = 500.0


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
        self.channel = peers.create_channel(
            settings, self.listeners.peer, clock, rng
        )
        self.view = config_view.ConfigView()
        self._heartbeat = heartbeat.ConfigHeartbeat(self.view)
        self._drains = drains_lib.Drains()
        self.membership = task.MembershipTask(
            self._own_record(rng),
            self.channel,
            platform,
            links=task.Links(self.channel.set_address, self.channel.remove),
            clock=clock,
            rng=rng,
            spreads=(self._heartbeat, self._drains),
            contacts=peers.contacts(settings),
        )
        self.channel.resolve = self.membership.address_of
        self.book = answer.AddressBook(
            self.membership.view, settings.limits.address_lifetime_ms
        )
        self.store = config_store.ConfigStore(platform, clock, rng)
        self.follower = self._create_follower(platform, rng)
        self.claims = claim_service.create(
            platform,
            self.membership.view,
            self.channel,
            clock,
            rng=rng,
            options=claim_shards.Options(
                writes_per_s=settings.platform.claim_writes_per_s
            ),
        )
        self.transport = pool.PooledTransport(clock)
        self.app = caller_app.create(
            services.Directory(self.view),
            services.Policies(settings.entry.failure_domain, rng).create,
            self.transport,
            self.claims,
            clock,
            admission=admission.Admission(
                control.AdmissionControl(settings.limits.max_in_flight), clock
            ),
            on_drain=self._drain_seen,
        )
        self.observer = observer.RequestObserver(clock, settings.log.requests)
        self.front = front.Front(self.app, self.book, self.observer, clock)
        self.drains = drains.DrainKeeper(
            self._drains,
            self.app.routes,
            self.membership.state.members.listing,
            self.membership.announce,
            clock,
        )
        probe = entry_probe.UpstreamProbe(self.transport, clock)
        self.prober = prober_lib.Prober(probe, self.membership.view, clock)
        self.keeper = keeper_lib.ServiceKeeper(
            self.view, self.app.routes, self.prober, probe
        )
        self.operator_app = self._create_operator_app()
        self._claims_drained = anyio.Event()
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
        never = child.Restart.NEVER
        return (
            child.Child("peers", self.channel.run),
            child.Child(
                "membership",
                self.membership.run,
                stop=self.membership.stop,
                restart=never,
            ),
            child.Child("configuration", self.follower.run),
            child.Child("claims", self._run_claims, stop=self._drain_claims),
            child.Child("transport", self.transport.run),
            child.Child("services", self.keeper.run),
            child.Child("drains", self.drains.run),
            child.Child("prober", self.prober.run),
            child.Child("fleet", self._follow_fleet),
            child.Child(
                "operators",
                self._serve_operators,
                stop=_setter(self._stop_operators),
                restart=never,
            ),
            child.Child(
                "callers",
                self._serve_callers,
                stop=self._leave,
                restart=never,
                stop_timeout_ms=self._leave_ms() + STOP_MARGIN_MS,
            ),
        )

    def _leave_ms(self) -> int:
        limits = self.settings.limits
        lifetime_ms = limits.address_lifetime_ms
        return answer.linger_ms(lifetime_ms) + limits.shutdown_ms

    async def _run_claims(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.claims.run)
            await self._claims_drained.wait()
            tasks.cancel_scope.cancel()

    async def _drain_claims(self) -> None:
        await self.claims.drain()
        self._claims_drained.set()

    async def _follow_fleet(self) -> None:
        """Tells others this entry's load, and routing how many they are."""
        most = self.settings.limits.max_in_flight
        while True:
            in_use = self.app.admission.control.in_use
            self.membership.state.load = min(100, 100 * in_use // most)
            entries = len(self.membership.view.members())
            if entries != self.app.routes.entries:
                self.app.routes.set_entries(entries)
                self.transport.connection_share = upstream.connection_share(
                    model_config.DEFAULT_CONNECTIONS, entries
                )
            await self.clock.sleep_ms(FLEET_INTERVAL_MS)

    async def _leave(self) -> None:
        """Withdraws the addresses, serves for their lifetime, then stops."""
        self.membership.leave()
        lifetime_ms = self.settings.limits.address_lifetime_ms
        await self.clock.sleep_ms(answer.linger_ms(lifetime_ms))
        self._stop_callers.set()

    def _drain_seen(self, service: str, upstream_id: str) -> None:
        self.drains.seen(service, upstream_id)

    def _own_record(self, rng: random.Random) -> messages.MemberRecord:
        entry = self.settings.entry
        addresses = self.settings.advertise or self.addresses
        return messages.MemberRecord(
            entry.entry_id,
            incarnation.first_incarnation(self.clock, rng),
            caller_address=addresses.caller,
            peer_address=addresses.peer,
            failure_domain=entry.failure_domain,
            region=entry.region,
        )

    def _create_follower(
        self, platform: platform_api.Platform, rng: random.Random
    ) -> config_follower.ConfigFollower:
        return config_follower.ConfigFollower(
            platform,
            self.view,
            membership=self.membership.view,
            clock=self.clock,
            generator=rng,
            channel=self.channel,
            digests=self._heartbeat.digests,
            calls_per_s=self.settings.platform.calls_per_s,
        )

    def _create_operator_app(self) -> hosting.App:
        registry = metrics.MetricRegistry()
        registry.add(entry_metrics.EntryMetrics(self))
        return operator_app.create(
            self.store,
            self.view,
            access.Authenticator(self.settings.operators, self.clock),
            status.EntryStatusProvider(
                self.settings, self.follower, self.book, self.clock
            ),
            self.follower.learned,
            extra_routes=(entry_metrics.route(registry),),
        )

    async def _serve_operators(self) -> None:
        await hosting.serve(
            self.operator_app,
            self.listeners.operator,
            self._stop_operators,
            tls.server_context(self.settings.tls.operator, "tls.operator"),
        )

    async def _serve_callers(self) -> None:
        caller_tls = self.settings.tls.caller
        options = caller_server.ServerOptions(
            graceful_s=self.settings.limits.shutdown_ms / MS_PER_SECOND,
            certificate=caller_tls.certificate,
            key=caller_tls.key,
        )
        await caller_server.serve(
            self.front, self.listeners.caller, self._stop_callers.wait, options
        )


def _setter(event: anyio.Event) -> child.Run:
    async def set_event() -> None:
        event.set()

    return set_event
