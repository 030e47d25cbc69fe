"""The processes of the demonstration, all in this one."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import random

import anyio
import anyio.abc
import attrs

from lovageyoke.clock import api as clock_api
from lovageyoke.demo import intents
from lovageyoke.entry import process
from lovageyoke.probing import api as probing_api
from lovageyoke.routing import api as routing_api
from lovageyoke.serving import hosting
from lovageyoke.settings import load
from lovageyoke.standin import platform as standin_platform
from lovageyoke.standin import upstream as standin_upstream
from lovageyoke.store import api as platform_api
from lovageyoke.store import fake
from lovageyoke.store import http as platform_http
from lovageyoke.store import rates
from lovageyoke.store import store
from lovageyoke.transport import api as transport_api

ENTRIES = 3
LOOPBACK = "127.0.0.1"
PEER_KEY = "demonstration-key-only"
GRACEFUL_TIMEOUT_S = 0.2


@attrs.define
class Group:
    """The stand-in upstreams of one service.

    Attributes:
        ledger: What they ran.
        upstreams: The stand-ins.
        places: Where they listen.
    """

    ledger: standin_upstream.RequestCounts
    upstreams: list[standin_upstream.StandinUpstream]
    places: list[intents.Place]


class RecordingProbe(probing_api.Probe):
    """Records when each probe is sent.

    Attributes:
        times_ms: When probes were sent, by upstream id.
    """

    def __init__(
        self,
        probe: probing_api.Probe,
        clock: clock_api.Clock,
        times_ms: dict[str, list[float]],
    ) -> None:
        self.times_ms = times_ms
        self._probe = probe
        self._clock = clock

    async def probe(
        self, target: transport_api.Target
    ) -> routing_api.LoadReport | None:
        """Passes the probe on."""
        times_ms = self.times_ms.setdefault(target.upstream_id, [])
        times_ms.append(self._clock.now_ms())
        return await self._probe.probe(target)


@attrs.define
class Scene:
    """Everything that runs.

    Attributes:
        clock: Source of time.
        entries: The entry processes.
        groups: The stand-in upstreams by service.
        probe_times_ms: When probes were sent, by upstream id.
    """

    clock: clock_api.Clock
    entries: list[process.EntryProcess]
    groups: dict[str, Group]
    probe_times_ms: dict[str, list[float]]

    def probe_times_of(self, service: str) -> list[float]:
        """Returns when all entries sent probes for a service, in order."""
        return sorted(
            time_ms
            for place in self.groups[service].places
            for time_ms in self.probe_times_ms.get(place.upstream_id, ())
        )


@contextlib.asynccontextmanager
async def running(
    clock: clock_api.Clock, sizes: dict[str, int], seed: int
) -> AsyncIterator[Scene]:
    """Starts platform, upstreams and entries, and stops them at the end.

    Args:
        clock: Source of time.
        sizes: Number of upstreams of each service.
        seed: Seed of all random numbers.
    """
    async with contextlib.AsyncExitStack() as stack:
        platform_port = await stack.enter_async_context(_platform(clock))
        groups = {}
        for service, size in sizes.items():
            group = Group(standin_upstream.RequestCounts(), [], [])
            for index in range(size):
                upstream_id = f"{service}-{index + 1}"
                await _start_upstream(stack, clock, group, upstream_id)
            groups[service] = group
        entries = [
            await stack.enter_async_context(
                _entry(clock, index, platform_port, seed)
            )
            for index in range(ENTRIES)
        ]
        probe_times_ms: dict[str, list[float]] = {}
        for entry in entries:
            entry.path.prober.probe = RecordingProbe(
                entry.path.prober.probe, clock, probe_times_ms
            )
        yield Scene(clock, entries, groups, probe_times_ms)


def _platform(
    clock: clock_api.Clock,
) -> contextlib.AbstractAsyncContextManager[int]:
    state = store.PlatformStore(
        rates.CallCounter(rates.WRITES_PER_S, rates.READS_PER_S)
    )
    vms = tuple(
        platform_api.Vm(_entry_id(index), LOOPBACK, platform_api.VmState.LIVE)
        for index in range(ENTRIES)
    )
    state.set_vms(vms, clock.now_ms())
    server = standin_platform.PlatformServer(fake.FakePlatform(state, clock))
    return _serving(server.app)


async def _start_upstream(
    stack: contextlib.AsyncExitStack,
    clock: clock_api.Clock,
    group: Group,
    upstream_id: str,
) -> None:
    upstream = standin_upstream.StandinUpstream(
        upstream_id, clock, counts=group.ledger
    )
    port = await stack.enter_async_context(_serving(upstream.app()))
    group.upstreams.append(upstream)
    group.places.append(intents.Place(upstream_id, port))


def _serving(
    app: hosting.App,
) -> contextlib.AbstractAsyncContextManager[int]:
    listener = hosting.bind(LOOPBACK, 0)
    return hosting.running(app, listener, GRACEFUL_TIMEOUT_S)


@contextlib.asynccontextmanager
async def _entry(
    clock: clock_api.Clock, index: int, platform_port: int, seed: int
) -> AsyncIterator[process.EntryProcess]:
    settings = load.parse(_settings(index, platform_port))
    platform = platform_http.HttpPlatform(settings.platform.url)
    rng = random.Random(seed + index)  # noqa: S311
    entry = process.EntryProcess(settings, platform, clock, rng)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.run)
        try:
            yield entry
        finally:
            # A graceful stop serves on for the lifetime of address answers.
            tasks.cancel_scope.cancel()
    await platform.aclose()


def _entry_id(index: int) -> str:
    return f"entry-{index + 1}"


def _settings(index: int, platform_port: int) -> str:
    domain = intents.DOMAINS[index % len(intents.DOMAINS)]
    return f"""
[entry]
entry_id = "{_entry_id(index)}"
failure_domain = "{domain}"
region = "dk-east"

[listen]
caller = "{LOOPBACK}:0"
operator = "{LOOPBACK}:0"
peer = "{LOOPBACK}:0"

[platform]
url = "http://{LOOPBACK}:{platform_port}"

[peers]
keys = ["{PEER_KEY}"]

[limits]
shutdown_ms = 5000
address_lifetime_ms = 0
"""
