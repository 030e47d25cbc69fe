"""Tests of pooled connections."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

import anyio
import pytest
from testtools import assertions
from testtools import matchers

from fakes import scripted_upstream
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.transport import api
from lovageyoke.transport import pool

GET = api.Request(b"GET", b"/", ((b"host", b"a"),), b"", repeatable=True)
LATER_MS = 11_000.0


@contextlib.asynccontextmanager
async def running(clock, *scripts, share: int = 15) -> AsyncIterator[tuple]:
    upstream = scripted_upstream.ScriptedUpstream(*scripts)
    transport = pool.PooledTransport(clock, share)
    target = api.Target("up-0", "127.0.0.1", upstream.port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(upstream.run)
        tasks.start_soon(transport.run)
        yield transport, target, upstream
        tasks.cancel_scope.cancel()


async def read(exchange: api.Exchange) -> bytes:
    body = b""
    while data := await exchange.read():
        body += data
    return body


@pytest.mark.anyio
async def test_open_connections_never_exceed_the_share(clock):
    async with running(clock, share=1) as (transport, target, upstream):
        first = await transport.send(target, GET, LATER_MS)
        with pytest.raises(api.ConnectionShareError):
            await transport.send(target, GET, LATER_MS)
        await read(first)
        second = await transport.send(target, GET, LATER_MS)
        await read(second)
    assertions.assert_that(upstream.connections, matchers.Equals(1))


@pytest.mark.anyio
async def test_idle_connection_is_closed_after_the_idle_limit(clock):
    async with running(clock) as (transport, target, upstream):
        await read(await transport.send(target, GET, LATER_MS))
        before = transport.idle_connections()
        clock.advance(pool.MAX_IDLE_MS + pool.SWEEP_MS)
        await upstream.wait_until(lambda: upstream.ended)
        after = transport.idle_connections()
    assertions.assert_that([before, after], matchers.Equals([1, 0]))


@pytest.mark.anyio
@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
async def test_a_response_with_an_invalid_status_is_an_error(clock, status):
    # Guards against a status 000 that reaches the caller.
    async def script(peer):
        await peer.request()
        await peer.send(scripted_upstream.OK.replace(b"200", status))
        await peer.wait_until_closed()

    async with running(clock, script) as (transport, target, _):
        with pytest.raises(exceptions.UpstreamError) as raised:
            await transport.send(target, GET, LATER_MS)
    kind = kinds.ErrorKind.UPSTREAM_PROTOCOL
    assertions.assert_that(raised.value.kind, matchers.Equals(kind))


@pytest.mark.anyio
async def test_a_connection_with_surplus_bytes_is_not_reused(clock):
    async def script(peer):
        await peer.request()
        await peer.send(scripted_upstream.OK + scripted_upstream.OK)
        await peer.wait_until_closed()

    async with running(clock, script, scripted_upstream.answer_all) as (
        transport,
        target,
        upstream,
    ):
        for _ in range(2):
            await read(await transport.send(target, GET, LATER_MS))
    assertions.assert_that(upstream.connections, matchers.Equals(2))


@pytest.mark.anyio
async def test_connection_with_an_unread_response_is_not_reused(clock):
    async with running(clock) as (transport, target, upstream):
        exchange = await transport.send(target, GET, LATER_MS)
        exchange.close()
        await read(await transport.send(target, GET, LATER_MS))
    assertions.assert_that(upstream.connections, matchers.Equals(2))


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("response", "kind"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\nbody", kinds.ErrorKind.UPSTREAM_PROTOCOL),
        (b"HTTP/1.1 2x0 OK\r\n\r\n", kinds.ErrorKind.UPSTREAM_PROTOCOL),
        (b"HTTP/1.1 101 Up\r\n\r\n", kinds.ErrorKind.UPSTREAM_PROTOCOL),
        (b"HTTP/1.1 200 OK\r\nconte", kinds.ErrorKind.UPSTREAM_RESET),
        (b"", kinds.ErrorKind.UPSTREAM_RESET),
    ],
)
async def test_a_malformed_head_is_an_unknown_outcome(clock, response, kind):
    async def script(peer):
        await peer.request()
        await peer.send(response)

    async with running(clock, script) as (transport, target, _):
        with pytest.raises(exceptions.UpstreamError) as raised:
            await transport.send(target, GET, LATER_MS)
    assertions.assert_that(raised.value.kind, matchers.Is(kind))


@pytest.mark.anyio
async def test_silent_connection_closes_the_other_connections(clock):
    async def once(peer):
        await peer.request()
        await peer.send(scripted_upstream.OK)
        await peer.wait_until_closed()

    async with running(clock, once) as (transport, target, upstream):
        exchanges = [
            await transport.send(target, GET, LATER_MS) for _ in range(3)
        ]
        for exchange in exchanges:
            await read(exchange)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_expect_silence, transport, target)
            await upstream.wait_until(lambda: upstream.unread == 1)
            clock.advance(2_000)
        idle = transport.idle_connections()
    assertions.assert_that(idle, matchers.Equals(0))


async def _expect_silence(transport, target):
    with pytest.raises(exceptions.UpstreamError) as raised:
        await transport.send(target, GET, LATER_MS)
    assertions.assert_that(
        raised.value.kind, matchers.Is(kinds.ErrorKind.UPSTREAM_SILENT)
    )
