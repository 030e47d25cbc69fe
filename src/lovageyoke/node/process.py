"""Lifecycle of the forwarding process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal

from lovageyoke.errors import exceptions
from lovageyoke.fleet import follower as fleet_follower
from lovageyoke.fleet import layout as fleet_layout
from lovageyoke.fleet import messages as fleet_messages
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.hop import api as hop_api
from lovageyoke.hop import listener as hop_listener
from lovageyoke.hop import server as hop_server
from lovageyoke.node import directory_handler
from lovageyoke.node import forwarder as node_forwarder
from lovageyoke.node import graceful_stop as node_stop
from lovageyoke.node import link_usage
from lovageyoke.node import messenger as node_messenger
from lovageyoke.node import metrics as node_metrics
from lovageyoke.node import presence as node_presence
from lovageyoke.node import prober as node_prober
from lovageyoke.node import reload as node_reload
from lovageyoke.node import settings as node_settings
from lovageyoke.node import start as node_start
from lovageyoke.node import state as node_state
from lovageyoke.routing import model
from lovageyoke.store import revisions

CLEANUP_INTERVAL_MS = 1_000.0
RELOAD_INTERVAL_MS = 5_000.0  # The settings file may change without a signal.
LAG_DECAY = 0.5  # Decay of the peak event loop lag per second.
# Delay before a failed task is started again; doubles with each failure.
RESTART_FIRST_MS = 100.0
RESTART_MAX_MS = 5_000.0

# Of the file descriptors. The rest is for connections to upstreams, of which
# a request needs one or two.
CALLER_SHARE = 0.5
INTERNAL_SHARE = 0.1

TaskFunction = Callable[[], Awaitable[None]]


class NodeProcess:
    """The forwarding process: its components, listeners and tasks.

    Attributes:
        node: Shared state of the process.
        store: The store.
        codecs: Codecs of the directory, the readiness check and the node
            entries.
        read_settings: Reads the settings file.
        forwarder: Forwards the requests of callers.
        replica: Local replica of the store.
        follower: Keeps the replica up to date.
        prober: Runs the health checks.
        metrics: Serves the metrics.
        messenger: Exchanges messages with the peers.
        presence: Registers this process in the store and finds others there.
        ports: Ports of the listeners, in the order in which they were opened:
            callers, readiness, directory, metrics.
        link_usage: Logs when messages to peers use much of the VM's link.
        connections: Connections of callers that send requests.
        internal_connections: Connections to the other listeners.
        graceful_stop: Stops this process.
        stopping: Set when the process has to stop.
    """

    def __init__(
        self,
        node: node_state.NodeState,
        store: revisions.RevisionStore,
        layout: fleet_layout.Layout,
        codecs: directory_handler.NodeCodecs,
        *,
        decode_deadline: node_state.DecodeDeadline,
        read_settings: Callable[[], node_settings.NodeSettings],
    ) -> None:
        self.node = node
        self.store = store
        self.codecs = codecs
        self.read_settings = read_settings
        self.forwarder = node_forwarder.Forwarder(node, decode_deadline)
        self.replica = fleet_replica.Replica(
            layout,
            node.log,
            on_configuration=self.configuration_changed,
            on_upstreams=self.upstreams_changed,
            broadcast=self.broadcast_configuration,
            heartbeat_ms=node.settings.upstream_heartbeat_ms,
        )
        self.follower = fleet_follower.Follower(
            store=store,
            replica=self.replica,
            members=node.members,
            clock=node.clock,
            log=node.log,
            rng=node.rng,
            on_changes=node.heartbeat_requested.set,
            send_request=self.request_snapshot,
            is_seed=node.settings.is_seed,
        )
        self.prober = node_prober.Prober(node)
        self.messenger = node_messenger.Messenger(node, self.follower)
        self.presence = node_presence.Presence(
            node, store, codecs, self.messenger
        )
        self.metrics = node_metrics.MetricsPage(
            node,
            self.forwarder,
            self.follower,
            self.prober,
            store=store,
            link=self.messenger.link,
        )
        self.ports: list[int] = []
        budget = node.client.budget
        budget.on_relief = self.log_relief
        most = node.settings.max_descriptors
        self.connections = hop_server.ConnectionSet(
            budget=budget, most_open=int(most * CALLER_SHARE)
        )
        self.internal_connections = hop_server.ConnectionSet(
            budget=budget, most_open=int(most * INTERNAL_SHARE)
        )
        self.metrics.connections = self.connections
        self.link_usage = link_usage.LinkUsage(
            self.messenger.link,
            node.settings.link_bytes_per_s,
            node.log,
            node.clock.now_ms(),
        )
        self.graceful_stop = node_stop.GracefulStop(
            node, self.forwarder, self.connections, self.messenger
        )
        self.stopping = asyncio.Event()

    async def run(self) -> None:
        """Runs until a stop signal, then shuts down gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        settings = self.node.settings
        await node_start.open_listener(
            self.node,
            settings.peers,
            lambda: loop.create_datagram_endpoint(
                lambda: self.messenger.link,
                local_addr=(settings.peers.host, settings.peers.port),
            ),
        )
        await self.listen()
        self.node.log.event("start", started_ms=self.messenger.started_ms)
        tasks = [
            asyncio.ensure_future(self.keep_running(name, run))
            for name, run in self.background_tasks()
        ]
        await self.stopping.wait()
        await self.graceful_stop.run()
        self.node.log.event("stop")
        for task in tasks:
            task.cancel()

    def background_tasks(self) -> list[tuple[str, TaskFunction]]:
        """Returns the tasks of this process, each with its name."""
        return [
            ("follower", self.follower.run),
            ("registration", self.presence.run_registration),
            ("discovery", self.presence.run_discovery),
            ("prober", self.prober.run),
            ("messenger", self.messenger.run),
            ("clean-up", self.clean_up),
            ("settings", self.poll_settings),
            ("admission", self.admit_queued),
        ]

    async def keep_running(self, name: str, run: TaskFunction) -> None:
        """Runs a task, and again after an unexpected error.

        An error of one task must not end the requests of all callers.
        """
        pause_ms = RESTART_FIRST_MS
        while True:
            started_ms = self.node.clock.now_ms()
            try:
                await run()
            except Exception as error:
                self.node.log.failure("task-failed", error, task=name)
            if self.node.clock.now_ms() - started_ms > RESTART_MAX_MS:
                pause_ms = RESTART_FIRST_MS
            await self.node.clock.sleep_ms(pause_ms)
            pause_ms = min(pause_ms * 2.0, RESTART_MAX_MS)

    async def listen(self) -> None:
        """Opens the listeners."""
        settings = self.node.settings
        directory = directory_handler.DirectoryHandler(self.node, self.codecs)
        await self.listen_on(settings.front, self.forwarder, self.connections)
        for address, handler in (
            (settings.readiness, directory),
            (settings.directory, directory),
            (settings.metrics, self.metrics),
        ):
            if address is not None:
                await self.listen_on(
                    address, handler, self.internal_connections
                )

    async def listen_on(
        self,
        address: node_settings.Address,
        handler: hop_api.RequestHandler,
        connections: hop_server.ConnectionSet,
    ) -> None:
        """Opens a listener; port 0 selects a free port."""
        clock = self.node.clock
        server = await node_start.open_listener(
            self.node,
            address,
            lambda: hop_listener.listen(
                lambda: hop_server.CallerConnection(
                    handler, clock, connections
                ),
                address.host,
                address.port,
            ),
        )
        self.ports.append(server.sockets[0].getsockname()[1])

    # Tasks

    def broadcast_configuration(
        self, news: fleet_messages.ConfigurationUpdate, from_peer: bool
    ) -> None:
        """Distributes a configuration to the peers."""
        self.messenger.broadcast_configuration(news, from_peer)

    def request_snapshot(self, request: fleet_messages.SnapshotRequest) -> bool:
        """Requests a snapshot from a peer; returns False if none has it."""
        return self.messenger.snapshots.request(request)

    async def admit_queued(self) -> None:
        """Starts queued requests until cancelled."""
        while True:
            await self.node.request_queued.wait()
            await self.node.clock.sleep_ms(node_state.ADMIT_INTERVAL_MS)
            self.node.admit_queued()

    async def clean_up(self) -> None:
        """Periodically measures lag and link usage, and expires old state.

        Idle upstream connections are closed and members that are gone are
        removed.
        """
        while True:
            due_ms = self.node.clock.now_ms() + CLEANUP_INTERVAL_MS
            await self.node.clock.sleep_ms(CLEANUP_INTERVAL_MS)
            now_ms = self.node.clock.now_ms()
            lag_ms = max(0.0, now_ms - due_ms)
            self.node.loop_lag_ms.record(lag_ms)
            self.node.peak_lag_ms = max(
                lag_ms, self.node.peak_lag_ms * LAG_DECAY
            )
            self.node.reports.own_reported_failures.clear()
            self.node.client.pool.expire(now_ms)
            self.node.members.forget_gone(now_ms)
            self.node.quotas.end_limiting()
            self.link_usage.check(now_ms)

    async def poll_settings(self) -> None:
        """Rereads the settings file periodically, without a signal."""
        while True:
            await self.node.clock.sleep_ms(RELOAD_INTERVAL_MS)
            self.reload_settings(signalled=False)

    def log_relief(self, done: str, size: int) -> None:
        """Logs that a connection gave up memory."""
        budget = self.node.client.budget
        self.node.log.event(
            "memory-short",
            done=done,
            freed_bytes=size,
            used_bytes=budget.used_bytes,
            limit_bytes=budget.limit_bytes,
        )

    # Changes

    def configuration_changed(self, configuration: model.Configuration) -> None:
        """Applies a new configuration."""
        self.node.apply_configuration(configuration)

    def upstreams_changed(self, upstreams: list[model.Upstream]) -> None:
        """Applies a new list of upstreams.

        Pooled connections to upstreams that may get no more requests are
        closed.
        """
        before = set(self.node.client.pool.idle)
        self.node.apply_upstreams(upstreams)
        known = {each.key for each in upstreams if each.accepts_requests}
        for key in before - known:
            self.node.client.pool.drop(key)

    # Signals

    def stop(self) -> None:
        """Starts the shutdown."""
        self.graceful_stop.begin()
        self.stopping.set()

    def reload(self) -> None:
        """Reloads the settings after a signal."""
        self.reload_settings(signalled=True)

    def reload_settings(self, signalled: bool) -> None:
        """Reloads the settings that may change at run time.

        If the file is invalid, the current settings stay.

        Args:
            signalled: Whether a signal requested the reload; if so, it is
                logged even if nothing has changed.
        """
        node = self.node
        try:
            read = self.read_settings()
        except exceptions.SettingsError as error:
            node.log.event("reload-rejected", detail=error.detail)
            return
        merged, needs_restart = node_reload.merge(node.settings, read)
        if not signalled and merged == node.settings:
            return
        changed = merged.bounds != node.settings.bounds
        node.apply_settings(merged)
        node.log.event(
            "reload", bounds_changed=changed, needs_restart=needs_restart
        )
