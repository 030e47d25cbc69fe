"""An upstream that answers an upload early gets exactly the rest of it."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random

import httpx
import pytest
from tests.node import conftest
from testtools import matchers
from testtools.assertions import assert_that

pytestmark = pytest.mark.anyio

BODY = random.Random(2).randbytes(9_000_000)  # noqa: S311


class EarlyUpstream:
    """Answers uploads before it reads them; closes no connection itself.

    Attributes:
        shed: Number of uploads that are refused as not run.
        reads: Set to let it read the uploads.
        bodies: What came after each head until the connection ended.
    """

    def __init__(self) -> None:
        self.shed = 0
        self.reads = asyncio.Event()
        self.bodies: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self.answer(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def answer(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        start = b"HTTP/1.1 200 OK\r\nX-Instance-Id: i-9\r\nX-Request-Id: u\r\n"
        if head.startswith(b"GET /health"):
            writer.write(start + b"Content-Length: 0\r\n\r\n")
            return
        if self.shed:
            self.shed -= 1
            start = start.replace(b"200", b"503") + b"X-Not-Executed: 1\r\n"
        writer.write(start + b"Content-Length: 2\r\n\r\nok")
        await self.reads.wait()
        self.bodies.append(await reader.read(-1))


def entry(port: int) -> bytes:
    return json.dumps(
        {
            "service": "maps",
            "address": f"127.0.0.1:{port}",
            "zone": "east-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining": "0ms",
            "sequence": 1,
        }
    ).encode()


@pytest.mark.parametrize("shed", [0, 1])
async def test_an_upstream_that_answers_early_gets_the_rest(
    harness: conftest.ProcessHarness, shed: int
) -> None:
    upstream = EarlyUpstream()
    upstream.shed = shed
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    harness.store.put("servers/i-9", entry(server.sockets[0].getsockname()[1]))
    for each in harness.upstreams:
        name = each.upstream_id
        harness.store.put(f"servers/{name}", each.entry("draining"))
    loads = harness.node.loads
    await harness.wait_until(
        lambda: (
            "i-9" in loads.by_id
            and all(
                loads.by_id[each.upstream_id].upstream.draining
                for each in harness.upstreams
            )
        )
    )
    async with httpx.AsyncClient(timeout=conftest.WAIT_S) as client:
        response = await client.post(
            f"http://127.0.0.1:{harness.front}/unsafe/x",
            headers={"Host": "h.example", "X-Request-Id": "u"},
            content=BODY,
        )
    assert_that(response.status_code, matchers.Equals(503 if shed else 200))
    budget = harness.node.client.budget
    assert_that(budget.used_bytes, matchers.GreaterThan(0))
    upstream.reads.set()
    await harness.wait_until(lambda: len(upstream.bodies) == 1)
    await harness.wait_until(lambda: budget.used_bytes == 0)
    digests = [
        hashlib.sha256(each).hexdigest() for each in (*upstream.bodies, BODY)
    ]
    assert_that(digests[0], matchers.Equals(digests[1]))
    server.close()
