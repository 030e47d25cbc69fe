"""Path bench: what a hop adds to a call, side by side in one run."""

from __future__ import annotations

from collections.abc import Mapping
import socket
import threading

import anyio
import attrs

from lovageyoke.bench import path_hop
from lovageyoke.bench import path_load
from lovageyoke.bench import path_upstream
from lovageyoke.serving import hosting
from lovageyoke.transport import api

DIRECT = "direct"
LOOPBACK = "127.0.0.1"
MS_PER_SECOND = 1_000
LOOP_OPTIONS = {"use_uvloop": True}


@attrs.frozen
class Row:
    """One line of the report.

    Attributes:
        path: Name of the path.
        requests: Requests answered.
        failed: Requests that failed.
        p50_ms: Median latency.
        p99_ms: 99th percentile of the latency.
        added_p50_ms: Difference of the medians to the direct path.
        added_p99_ms: Difference of the 99th percentiles.
        cpu_us: Processor time of the hop for each request, in microseconds.
        per_core: Requests a second that one core could serve.
    """

    path: str
    requests: int
    failed: int
    p50_ms: float
    p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    cpu_us: float
    per_core: float


async def run(
    load: path_load.Load,
    turns: int,
    upstream: socket.socket,
    hops: Mapping[str, api.Target],
) -> list[Row]:
    """Measures each path in turn, several times over.

    Args:
        load: The load of one turn.
        turns: How often each path has its turn.
        upstream: Listening socket of the bench's upstream.
        hops: Hops that lead to that upstream, by name.
    """
    host, port = upstream.getsockname()[:2]
    targets = {DIRECT: api.Target(DIRECT, host, port), **hops}
    measured = {name: path_load.Measured() for name in targets}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(path_upstream.serve, upstream)
        for target in targets.values():
            warm_up = attrs.evolve(load, duration_s=1.0)
            path = path_load.PathLoad(target, path_load.Measured())
            await path.offer(warm_up)
        for turn in range(turns):
            seeded = attrs.evolve(load, seed=load.seed + turn)
            for name, target in targets.items():
                await _take_turn(name, target, measured[name], seeded)
        tasks.cancel_scope.cancel()
    return [_row(name, measured) for name in targets]


async def _take_turn(
    name: str,
    target: api.Target,
    measured: path_load.Measured,
    load: path_load.Load,
) -> None:
    if name == DIRECT:
        await path_load.PathLoad(target, measured).offer(load)
        return
    before_ms = await path_load.hop_cpu_ms(target)
    await path_load.PathLoad(target, measured).offer(load)
    measured.cpu_ms += await path_load.hop_cpu_ms(target) - before_ms


def _row(name: str, measured: Mapping[str, path_load.Measured]) -> Row:
    own, direct = measured[name], measured[DIRECT]
    p50_ms, p99_ms = own.quantile_ms(50), own.quantile_ms(99)
    cpu_ms = own.cpu_ms / max(1, own.requests)
    return Row(
        path=name,
        requests=own.requests,
        failed=own.failed,
        p50_ms=p50_ms,
        p99_ms=p99_ms,
        added_p50_ms=p50_ms - direct.quantile_ms(50),
        added_p99_ms=p99_ms - direct.quantile_ms(99),
        cpu_us=cpu_ms * 1_000,
        per_core=MS_PER_SECOND / cpu_ms if cpu_ms else 0.0,
    )


def start_hop(
    version: path_hop.Version, upstream_port: int, port: int
) -> api.Target:
    """Runs a hop in a thread of this process, until the process ends.

    Args:
        version: Which hop.
        upstream_port: Where its upstream listens.
        port: Where it listens itself; 0 takes an ephemeral port.
    """
    listener = hosting.bind(LOOPBACK, port)
    target = api.Target(version.value, LOOPBACK, listener.getsockname()[1])
    thread = threading.Thread(
        target=run_hop, args=(version, listener, upstream_port), daemon=True
    )
    thread.start()
    return target


def run_hop(
    version: path_hop.Version, listener: socket.socket, upstream_port: int
) -> None:
    """Runs a hop in this thread."""
    anyio.run(
        path_hop.serve,
        version,
        listener,
        LOOPBACK,
        upstream_port,
        backend_options=LOOP_OPTIONS,
    )
