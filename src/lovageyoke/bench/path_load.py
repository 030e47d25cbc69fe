"""Open-loop load on one path, measured from each request's due time."""

from __future__ import annotations

import collections
import random
import time

import anyio
import attrs
from hdrh import histogram
import orjson

from lovageyoke.bench import path_hop
from lovageyoke.errors import exceptions
from lovageyoke.transport import api
from lovageyoke.transport import h11_connection
from lovageyoke.transport import sockets

MAX_LATENCY_US = 60_000_000
DIGITS = 3
US_PER_S = 1_000_000


@attrs.frozen
class Load:
    """What is offered.

    Attributes:
        rate_per_s: Arrivals a second, in a Poisson process.
        duration_s: Length of one turn in seconds.
        connections: Connections that requests are sent on.
        seed: Seed of the arrivals.
    """

    rate_per_s: float = 200.0
    duration_s: float = 5.0
    connections: int = 16
    seed: int = 1


@attrs.define
class Measured:
    """What was measured on one path.

    Attributes:
        latency_us: Latencies in microseconds, from the due time.
        requests: Requests answered.
        failed: Requests that failed.
        cpu_ms: Processor time of the hop.
    """

    latency_us: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(1, MAX_LATENCY_US, DIGITS)
    )
    requests: int = 0
    failed: int = 0
    cpu_ms: float = 0.0

    def quantile_ms(self, percentile: float) -> float:
        """Returns a percentile of the latency in milliseconds."""
        value: float = self.latency_us.get_value_at_percentile(percentile)
        return value / 1_000


class PathLoad:
    """Connections to one path, and the requests that wait for one."""

    def __init__(self, target: api.Target, measured: Measured) -> None:
        self.target = target
        self.measured = measured
        self._due: collections.deque[float] = collections.deque()
        self._wanted = anyio.Semaphore(0)
        self._request = _request("/bench")

    async def offer(self, load: Load) -> None:
        """Offers load for one turn, and waits for its answers."""
        async with anyio.create_task_group() as tasks:
            for _ in range(load.connections):
                tasks.start_soon(self._work)
            await self._arrive(load)
            for _ in range(load.connections):
                self._wanted.release()

    async def _arrive(self, load: Load) -> None:
        rng = random.Random(load.seed)  # noqa: S311
        start = time.perf_counter()
        due = start
        while True:
            due += rng.expovariate(load.rate_per_s)
            if due - start > load.duration_s:
                return
            await anyio.sleep(max(0.0, due - time.perf_counter()))
            self._due.append(due)
            self._wanted.release()

    async def _work(self) -> None:
        connection = await _connect(self.target)
        while True:
            await self._wanted.acquire()
            if not self._due:
                break
            due = self._due.popleft()
            try:
                await _exchange(connection, self._request)
            except exceptions.UpstreamError:
                self.measured.failed += 1
                connection = await _connect(self.target)
                continue
            elapsed_us = int((time.perf_counter() - due) * US_PER_S)
            self.measured.latency_us.record_value(elapsed_us)
            self.measured.requests += 1
        connection.close()


async def hop_cpu_ms(target: api.Target) -> float:
    """Returns the processor time that a hop has used."""
    connection = await _connect(target)
    body = await _exchange(connection, _request(path_hop.USAGE_PATH))
    connection.close()
    cpu_ms: float = orjson.loads(body)["cpu_ms"]
    return cpu_ms


def _request(path: str) -> api.Request:
    headers = ((b"host", b"bench.example"),)
    return api.Request(b"GET", path.encode(), headers, b"", repeatable=True)


async def _connect(target: api.Target) -> h11_connection.H11Connection:
    sock = await sockets.connect(target.address, target.port)
    return h11_connection.H11Connection(target, sock, 0.0)


async def _exchange(
    connection: h11_connection.H11Connection, request: api.Request
) -> bytes:
    await connection.send(request)
    await connection.read_head()
    body = b""
    while data := await connection.read_body():
        body += data
    connection.recycle(0.0)
    return body
