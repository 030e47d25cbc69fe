"""Fixtures: the forwarding process with a fake store and fake upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import json
import os

import httpx
import pytest

from fakes import handlers
from fakes import platform_store
from fakes import platform_upstream
from lovageyoke.errors import exceptions
from lovageyoke.node import assembly
from lovageyoke.node import process as node_process
from lovageyoke.node import settings as node_settings
from lovageyoke.node import state as node_state

WAIT_S = 20.0
ROUTES = [("safe", "/safe/"), ("unsafe", "/unsafe/"), ("download", "/load/")]


def configuration(
    version: int = 3,
    timeout: str = "2s",
    accounts: Sequence[Mapping[str, object]] | None = None,
) -> bytes:
    rules = [
        {
            "name": kind,
            "kind": kind,
            "target_latency": "300ms",
            "priority": 1,
            "anonymous": kind == "download",
            "match": {"prefix": prefix},
            "action": {
                "service": "maps",
                "timeout": timeout,
                "max_attempts": 2,
            },
        }
        for kind, prefix in ROUTES
    ]
    fields: dict[str, object] = {
        "version": f"r{version}",
        "listeners": [{"host": "h.example", "rule_set": rules}],
        "clusters": [{"name": "maps", "health_check": "/health"}],
    }
    if accounts is not None:
        fields["tenants"] = list(accounts)
    return json.dumps(fields).encode()


class ProcessHarness:
    """A forwarding process, its store and two upstreams."""

    def __init__(self) -> None:
        self.store = platform_store.PlatformStore()
        self.store_listener = handlers.Listener(
            handlers.Handler(self.store.respond)
        )
        self.upstreams = [
            platform_upstream.PlatformUpstream(f"i-{index}")
            for index in range(2)
        ]
        self.process: node_process.NodeProcess | None = None
        self.bounds = node_settings.Bounds(grace_ms=2_000.0)
        self.settings_broken = False

    def settings(self) -> node_settings.NodeSettings:
        if self.settings_broken:
            raise exceptions.SettingsError(("not TOML",))
        address = node_settings.Address
        return node_settings.NodeSettings(
            node_id="n1",
            failure_domain="east-a",
            region="east",
            front=address("127.0.0.1", 0),
            readiness=address("127.0.0.1", 0),
            directory=address("127.0.0.1", 0),
            peers=address("127.0.0.1", 0),
            metrics=address("127.0.0.1", 0),
            store=address("127.0.0.1", self.store_listener.port),
            min_lease_ms=1_000.0,
            bounds=self.bounds,
        )

    def register(self) -> None:
        for each in self.upstreams:
            self.store.put(f"servers/{each.upstream_id}", each.entry())

    async def start(self, log_descriptor: int) -> asyncio.Task[None]:
        """Starts the process and waits until it listens."""
        self.process = assembly.build(
            self.settings(), self.settings, log_descriptor
        )
        task = asyncio.ensure_future(self.process.run())
        while len(self.process.ports) < 4:
            if task.done():
                task.result()
            await asyncio.sleep(0.01)
        self.front, self.readiness, self.directory, self.metrics = (
            self.process.ports
        )
        return task

    async def wait_until_ready(self) -> None:
        async with httpx.AsyncClient() as client:
            ready = self.readiness_url
            while (await client.get(ready)).status_code != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    @property
    def node(self) -> node_state.NodeState:
        assert self.process is not None
        return self.process.node

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition on the internal state of the process."""
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def fill_upstreams(self) -> None:
        for each in self.upstreams:
            each.load = b"6,9,6,100"
        views = self.node.loads.by_id.values()
        await self.wait_until(lambda: min(each.load() for each in views) >= 15)

    def set_upstream_behavior(self, always: str) -> None:
        """Sets the behavior of all upstreams."""
        for each in self.upstreams:
            each.always = always

    def version(self) -> int:
        configuration = self.node.configuration
        return configuration.version if configuration else 0

    def queue_length(self) -> int:
        return len(self.node.queue("maps").queued)

    @property
    def readiness_url(self) -> str:
        return f"http://127.0.0.1:{self.readiness}/readiness"

    async def send_request(
        self,
        path: str = "/safe/x",
        method: str = "GET",
        identity: str = "r1",
        deadline: str = "2000",
        headers: Sequence[tuple[str, str]] = (),
    ) -> httpx.Response:
        async with httpx.AsyncClient(timeout=10.0) as client:
            return await client.request(
                method,
                f"http://127.0.0.1:{self.front}{path}",
                headers=[
                    ("Host", "h.example"),
                    ("X-Request-Id", identity),
                    ("X-Deadline-Ms", deadline),
                    *headers,
                ],
                content=b"payload" if method == "POST" else None,
            )

    async def wait_until_limited(self, upstream_id: str) -> None:
        """Sends requests until an upstream's rate limit is known."""
        number = 0
        while True:
            view = self.node.loads.by_id[upstream_id]
            if view.rate_limit is not None:
                return
            await self.send_request(identity=f"first-{number}")
            number += 1

    def run_count(self, identity: str = "r1") -> int:
        return sum(each.ran[identity] for each in self.upstreams)

    def arrival_count(self, identity: str = "r1") -> int:
        return sum(each.arrivals[identity] for each in self.upstreams)


@pytest.fixture
def log_descriptor() -> Iterator[int]:
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield descriptor
    os.close(descriptor)


@pytest.fixture
async def harness(log_descriptor: int) -> AsyncIterator[ProcessHarness]:
    created = ProcessHarness()
    async with (
        created.store_listener,
        created.upstreams[0].listener,
        created.upstreams[1].listener,
    ):
        created.store.put("op/config", configuration())
        created.register()
        task = await created.start(log_descriptor)
        await created.wait_until_ready()
        yield created
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
