"""The process that runs on an entry VM."""

from __future__ import annotations

import random

import anyio

from lovageyoke.addresses import answer
from lovageyoke.caller import server as caller_server
from lovageyoke.clock import api as clock_api
from lovageyoke.entry import fleet as fleet_lib
from lovageyoke.entry import listeners as listeners_lib
from lovageyoke.entry import metrics as entry_metrics
from lovageyoke.entry import request_path
from lovageyoke.entry import status
from lovageyoke.observe import metrics
from lovageyoke.operator import access
from lovageyoke.operator import app as operator_app
from lovageyoke.security import tls
from lovageyoke.serving import hosting
from lovageyoke.settings import model
from lovageyoke.store import api as platform_api
from lovageyoke.supervisor import child
from lovageyoke.supervisor import tree

MS_PER_SECOND = 1_000
PERCENT = 100
STOP_MARGIN_MS = 1_000
FLEET_INTERVAL_MS = 500.0


class EntryProcess:
    """The supervised tasks of one entry VM.

    Attributes:
        settings: The settings of the entry VM.
        listeners: The bound sockets.
        addresses: The addresses of the sockets.
        fleet: The components that communicate with peers.
        path: The components that process requests.
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
        self.fleet = fleet_lib.Fleet(
            settings, self.listeners, platform, clock, rng
        )
        self.path = request_path.RequestPath(settings, self.fleet, clock, rng)
        self.operator_app = self._create_operator_app()
        self._claims_drained = anyio.Event()
        self._stop_callers = anyio.Event()
        self._stop_operators = anyio.Event()
        self.supervisor = tree.Supervisor(
            settings.entry.entry_id, self._children(), clock
        )

    async def run(self) -> None:
        """Runs until ``stop`` is called and requests in flight complete.

        Raises:
            SupervisorError: A task failed permanently.
        """
        await self.supervisor.run()
        self.path.transport.close()

    async def stop(self) -> None:
        """Begins a graceful stop."""
        await self.supervisor.stop()

    def _children(self) -> tuple[child.Child, ...]:
        never = child.Restart.NEVER
        fleet = self.fleet
        path = self.path
        return (
            child.Child("peers", fleet.channel.run),
            child.Child(
                "membership",
                fleet.membership.run,
                stop=fleet.membership.stop,
                restart=never,
            ),
            child.Child("configuration", fleet.follower.run),
            child.Child("claims", self._run_claims, stop=self._drain_claims),
            child.Child("transport", path.transport.run),
            child.Child("services", path.service_controller.run),
            child.Child("drains", path.drains.run),
            child.Child("prober", path.prober.run),
            child.Child("fleet", self._update_fleet_state),
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
                stop_timeout_ms=self._leave_duration_ms() + STOP_MARGIN_MS,
            ),
        )

    def _leave_duration_ms(self) -> int:
        limits = self.settings.limits
        lifetime_ms = limits.address_lifetime_ms
        return answer.linger_ms(lifetime_ms) + limits.shutdown_ms

    async def _run_claims(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.fleet.claims.run)
            await self._claims_drained.wait()
            tasks.cancel_scope.cancel()

    async def _drain_claims(self) -> None:
        await self.fleet.claims.drain()
        self._claims_drained.set()

    async def _update_fleet_state(self) -> None:
        """Publishes the load to peers and the number of members to routing."""
        membership = self.fleet.membership
        max_in_flight = self.settings.limits.max_in_flight
        while True:
            load = PERCENT * self.path.in_use() // max_in_flight
            membership.state.load = min(PERCENT, load)
            self.path.set_entries(len(membership.view.members()))
            await self.clock.sleep_ms(FLEET_INTERVAL_MS)

    async def _leave(self) -> None:
        """Withdraws the addresses, waits for their lifetime, then stops."""
        self.fleet.membership.leave()
        lifetime_ms = self.settings.limits.address_lifetime_ms
        await self.clock.sleep_ms(answer.linger_ms(lifetime_ms))
        self._stop_callers.set()

    def _create_operator_app(self) -> hosting.App:
        registry = metrics.MetricRegistry()
        registry.add(entry_metrics.EntryMetrics(self.fleet, self.path))
        fleet = self.fleet
        return operator_app.create(
            fleet.store,
            fleet.view,
            access.Authenticator(self.settings.operators, self.clock),
            status.EntryStatusProvider(
                self.settings,
                fleet.follower,
                fleet.address_selector,
                self.clock,
            ),
            fleet.follower.apply_update,
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
            self.path.frontend,
            self.listeners.caller,
            self._stop_callers.wait,
            options,
        )


def _setter(event: anyio.Event) -> child.Run:
    async def set_event() -> None:
        event.set()

    return set_event
