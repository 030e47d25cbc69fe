"""Connections that nobody controls don't exhaust the process's memory.

Each test starts the process with small limits and plays one kind of client.
The checks are only that the process lives, that its memory and descriptors
stay within its settings, and that an ordinary request is answered afterwards.
The tests share the machine's memory and must not run in parallel, so they are
in one file.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys

import pytest
from tests.node import conftest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import handlers
from fakes import platform_store
from fakes import platform_upstream

pytestmark = pytest.mark.anyio

SOURCE = pathlib.Path(__file__).parents[2] / "src"
KB = 1_024
MEMORY_MB = 100
MAX_DESCRIPTORS = 160
BODY_BYTES = 2_000_000
CROWD = 60  # Connections of a crowd whose bodies are incomplete.
PIPELINING_CROWD = 30
IDLE_CROWD = 400  # Connections without a request.
PIPELINED_BYTES = 2_000_000  # Sent on each connection, if it is read.
SEND_S = 5.0  # Time that a crowd has to send.
TIMEOUT_S = 30.0
PIECE_BYTES = 4_000

SETTINGS = """
node = "front-a-1"
zone = "east-a"
region = "east"
ip = "{host}"
internal_ports = [{internal}, {internal}]
seeds = []
bounds = []
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_descriptors}
[platform]
address = "{store}"
"""
ORDINARY = (
    b"GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ordinary\r\n"
    b"Connection: close\r\n\r\n"
)
POST = b"POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n"


def configuration() -> bytes:
    document = json.loads(conftest.configuration())
    document["limits"] = {
        "max_body_bytes": BODY_BYTES,
        "header_timeout": "60s",
        "idle_timeout": "60s",
    }
    return json.dumps(document).encode()


def free_port(host: str, kind: socket.SocketKind) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


class System:
    """A process that runs as on a VM, and its connections.

    Attributes:
        process: The process.
        host: Its loopback address.
        front: Its port for callers.
        ready: Its port for readiness checks.
        sockets: The open connections of the crowd.
    """

    def __init__(
        self,
        process: subprocess.Popen[bytes],
        host: str,
        front: int,
        ready: int,
    ) -> None:
        self.process = process
        self.host = host
        self.front = front
        self.ready = ready
        self.sockets: list[socket.socket] = []

    async def ask(self, port: int, data: bytes) -> bytes:
        """Returns all that is answered before the connection is closed."""
        reader, writer = await asyncio.open_connection(self.host, port)
        try:
            writer.write(data)
            return await reader.read()
        finally:
            writer.close()

    async def wait_for_answer(self) -> None:
        """Sends ordinary requests until one is answered."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    answer = await self.ask(self.front, ORDINARY)
                    if answer.startswith(b"HTTP/1.1 200 "):
                        return
                assert_that(self.process.poll(), matchers.Is(None))
                await asyncio.sleep(0.1)

    async def open_crowd(self, port: int, size: int, data: bytes) -> None:
        """Opens connections that send the same and read nothing.

        All of them stay open, also those that the process refuses.
        """
        await asyncio.gather(
            *(self.send_and_hold(port, data) for _ in range(size))
        )

    async def send_and_hold(self, port: int, data: bytes) -> None:
        """Sends data on a new connection until all is sent or time is up."""
        client = socket.socket()
        client.setblocking(False)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KB)
        self.sockets.append(client)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_S):
                await loop.sock_connect(client, (self.host, port))
                await loop.sock_sendall(client, data)
                await asyncio.sleep(SEND_S)

    def peak_memory_mb(self) -> float:
        status = pathlib.Path(f"/proc/{self.process.pid}/status")
        fields = dict(
            line.split(":", 1)
            for line in status.read_text("utf-8").splitlines()
        )
        return int(fields["VmHWM"].split()[0]) * KB / 1_000_000

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def check(self) -> None:
        """Checks the bounds, with the crowd's connections still open."""
        assert_that(self.process.poll(), matchers.Is(None))
        descriptors = self.descriptors()
        await self.wait_for_answer()
        assert_that(self.process.poll(), matchers.Is(None))
        assert_that(
            (self.peak_memory_mb(), descriptors),
            matchers.MatchesListwise(
                [
                    matchers.LessThan(MEMORY_MB),
                    matchers.LessThan(MAX_DESCRIPTORS),
                ]
            ),
        )


def host_of_test() -> str:
    # The metrics port is the same for all processes of an address.
    process_id = os.getpid()
    return f"127.78.{process_id // 250 % 250}.{process_id % 250 + 1}"


def write_settings(file: pathlib.Path, store_port: int) -> tuple[str, int, int]:
    """Writes the settings file; returns the address and the ports."""
    host = host_of_test()
    front = free_port(host, socket.SOCK_STREAM)
    ready = free_port(host, socket.SOCK_STREAM)
    text = SETTINGS.format(
        host=host,
        front=front,
        ready=ready,
        internal=free_port(host, socket.SOCK_DGRAM),
        memory_mb=MEMORY_MB,
        max_descriptors=MAX_DESCRIPTORS,
        store=f"127.0.0.1:{store_port}",
    )
    file.write_text(text, encoding="utf-8")
    return host, front, ready


@pytest.fixture
async def system(tmp_path: pathlib.Path) -> AsyncIterator[System]:
    store = platform_store.PlatformStore()
    upstream = platform_upstream.PlatformUpstream("i-0")
    listener = handlers.Listener(handlers.Handler(store.respond))
    async with listener, upstream.listener:
        store.put("op/config", configuration())
        store.put("servers/i-0", upstream.entry())
        file = tmp_path / "boot.toml"
        host, front, ready = write_settings(file, listener.port)
        environment = {
            **os.environ,
            "PYTHONPATH": str(SOURCE),
            "LOVAGEYOKE_NODE_FILE": str(file),
        }
        process = subprocess.Popen(  # noqa: ASYNC220
            [sys.executable, "-m", "lovageyoke.node"],
            env=environment,
            stdout=subprocess.DEVNULL,
        )
        running = System(process, host, front, ready)
        try:
            await running.wait_for_answer()
            yield running
        finally:
            process.kill()
            process.wait()
            for each in running.sockets:
                each.close()


async def test_bodies_that_lack_their_last_byte(system: System) -> None:
    body = b"x" * (BODY_BYTES - 1)
    head = POST + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    await system.open_crowd(system.front, CROWD, head + body)
    await system.check()


async def test_bodies_in_pieces_without_an_end(system: System) -> None:
    piece = b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
    head = POST + b"Transfer-Encoding: chunked\r\n\r\n"
    pieces = piece * (BODY_BYTES // PIECE_BYTES)
    await system.open_crowd(system.front, CROWD, head + pieces)
    await system.check()


async def test_pipelined_requests_whose_responses_are_not_read(
    system: System,
) -> None:
    request = b"GET / HTTP/1.1\r\n\r\n"
    data = request * (PIPELINED_BYTES // len(request))
    await system.open_crowd(system.front, PIPELINING_CROWD, data)
    await system.check()


async def test_pipelined_readiness_checks_whose_responses_are_not_read(
    system: System,
) -> None:
    request = b"GET /readiness HTTP/1.1\r\n\r\n"
    data = request * (PIPELINED_BYTES // len(request))
    await system.open_crowd(system.ready, PIPELINING_CROWD, data)
    await system.check()


async def test_bodies_sent_to_the_readiness_address(system: System) -> None:
    body = b"x" * (BODY_BYTES - 1)
    head = b"POST /readiness HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
    await system.open_crowd(system.ready, CROWD, head % BODY_BYTES + body)
    await system.check()


async def test_connections_without_a_request(system: System) -> None:
    await system.open_crowd(system.front, IDLE_CROWD, b"")
    await system.check()
