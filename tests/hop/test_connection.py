"""Client connections never match a response to another request.

Upstreams here send stale, surplus, truncated and malformed responses.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import socket
import struct

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.hop import connection as hop_connection
from lovageyoke.hop import messages
from lovageyoke.hop import pool as hop_pool
from lovageyoke.routing import model

pytestmark = pytest.mark.anyio

HEAD = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
Kind = kinds.ErrorKind


def response(
    identity: bytes = b"one", body: bytes = b"hello", extra: bytes = b""
) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Id: %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
        identity,
        extra,
        len(body),
        body,
    )


class ScriptedUpstream:
    """Upstream that sends scripted bytes in reply to each request."""

    def __init__(self) -> None:
        self.script: list[bytes] = []
        self.on_end: Callable[[asyncio.StreamWriter], None] = lambda _: None
        self.port = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            writer.write(self.script.pop(0))
            await writer.drain()
            if not self.script:
                break
        self.on_end(writer)
        await asyncio.sleep(0.5)
        writer.close()


@pytest.fixture
async def upstream() -> AsyncIterator[ScriptedUpstream]:
    scripted = ScriptedUpstream()
    server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
    scripted.port = server.sockets[0].getsockname()[1]
    yield scripted
    server.close()


@pytest.fixture
async def connection(
    upstream: ScriptedUpstream,
) -> AsyncIterator[hop_connection.ClientConnection]:
    opened = await hop_connection.connect(
        "127.0.0.1", upstream.port, b"x-id", 1_000.0
    )
    yield opened
    opened.abort()


async def exchange(
    connection: hop_connection.ClientConnection, identity: bytes = b"one"
) -> messages.Response:
    async with asyncio.timeout(2.0):
        return await connection.send_request(HEAD, b"", identity)


async def test_connection_is_reused(
    upstream: ScriptedUpstream, connection: hop_connection.ClientConnection
) -> None:
    upstream.script = [response(b"one"), response(b"two", b"again")]
    first = await exchange(connection, b"one")
    assert_that(first.body, matchers.Equals(b"hello"))
    assert_that(connection.usable(), matchers.Equals(True))
    second = await exchange(connection, b"two")
    assert_that(second.body, matchers.Equals(b"again"))


async def test_response_to_another_request_is_discarded(
    upstream: ScriptedUpstream, connection: hop_connection.ClientConnection
) -> None:
    upstream.script = [response(b"old", b"stale") + response(b"one")]
    answer = await exchange(connection)
    assert_that(answer.body, matchers.Equals(b"hello"))
    assert_that(connection.usable(), matchers.Equals(False))


async def test_bytes_after_response_prevent_reuse(
    upstream: ScriptedUpstream, connection: hop_connection.ClientConnection
) -> None:
    upstream.script = [response() + response(b"one", b"more")]
    answer = await exchange(connection)
    assert_that(answer.body, matchers.Equals(b"hello"))
    assert_that(connection.usable(), matchers.Equals(False))


async def test_bytes_on_idle_connection_close_it(
    upstream: ScriptedUpstream, connection: hop_connection.ClientConnection
) -> None:
    upstream.script = [response()]
    upstream.on_end = lambda writer: writer.write(response(b"late"))
    await exchange(connection)
    while connection.usable():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


async def test_truncated_response_is_an_error(
    upstream: ScriptedUpstream, connection: hop_connection.ClientConnection
) -> None:
    upstream.script = [response()[:-2]]
    upstream.on_end = lambda writer: writer.close()
    with pytest.raises(exceptions.UpstreamError) as raised:
        await exchange(connection)
    assert_that(raised.value.kind, matchers.Equals(Kind.RESPONSE_TRUNCATED))


async def test_malformed_response_is_an_error(
    upstream: ScriptedUpstream, connection: hop_connection.ClientConnection
) -> None:
    upstream.script = [b"\x00\x01\x02 nonsense\r\n\r\n"]
    with pytest.raises(exceptions.UpstreamError) as raised:
        await exchange(connection)
    assert_that(raised.value.kind, matchers.Equals(Kind.UPSTREAM_PROTOCOL))


@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize(
    "status", [b"000", b"042", b"099", b"101", b"600", b"999"]
)
async def test_a_response_with_an_invalid_status_is_an_error(
    upstream: ScriptedUpstream,
    connection: hop_connection.ClientConnection,
    status: bytes,
    kept: bool,
) -> None:
    # Guards against a status 000 that reaches the caller or is waited on.
    invalid = response().replace(b"200", status)
    upstream.script = [response(), invalid] if kept else [invalid]
    if kept:
        await exchange(connection)
    with pytest.raises(exceptions.UpstreamError) as raised:
        await exchange(connection)
    assert_that(raised.value.kind, matchers.Equals(Kind.UPSTREAM_PROTOCOL))
    assert_that(connection.usable(), matchers.Equals(False))


async def test_close_delimited_body(
    upstream: ScriptedUpstream, connection: hop_connection.ClientConnection
) -> None:
    upstream.script = [b"HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\nwhole"]
    upstream.on_end = lambda writer: writer.close()
    answer = await exchange(connection)
    assert_that(answer.body, matchers.Equals(b"whole"))
    assert_that(connection.usable(), matchers.Equals(False))


async def test_close_delimited_body_fails_on_reset(
    upstream: ScriptedUpstream, connection: hop_connection.ClientConnection
) -> None:
    upstream.script = [b"HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\nwho"]

    def reset(writer: asyncio.StreamWriter) -> None:
        # With a linger time of zero, closing sends RST instead of FIN.
        sock = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    upstream.on_end = reset
    with pytest.raises(exceptions.UpstreamError):
        await exchange(connection)


async def test_response_without_id_is_accepted_only_first(
    upstream: ScriptedUpstream, connection: hop_connection.ClientConnection
) -> None:
    bare = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    upstream.script = [bare, bare]
    first = await exchange(connection)
    assert_that(first.status, matchers.Equals(503))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await connection.send_request(HEAD, b"", b"two")


async def test_a_copy_of_a_refusal_is_not_taken_for_the_next_answer(
    upstream: ScriptedUpstream,
) -> None:
    refusal = (
        b"HTTP/1.1 503 Busy\r\n%bX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
    pool = hop_pool.ConnectionPool()
    target = model.Upstream("u1", 1, "maps", "127.0.0.1", 80, "a", 6)
    for first_id in (b"one", None):
        identity = b"X-Id: one\r\n" if first_id else b""
        upstream.script = [refusal % identity, b""]
        opened = await hop_connection.connect(
            "127.0.0.1", upstream.port, b"x-id", 1_000.0
        )
        async with asyncio.timeout(2.0):
            await opened.send_request(HEAD, b"", first_id)
        pool.put(target, opened, 0.0)
        again = pool.take(target, 0.0, recent_only=False, request_id=first_id)
        assert_that(again, matchers.Is(None))
        other = pool.take(target, 0.0, recent_only=False, request_id=b"two")
        assert_that(other, matchers.Is(opened))
        opened.abort()


async def test_a_connection_is_closed_after_many_refusals(
    upstream: ScriptedUpstream, connection: hop_connection.ClientConnection
) -> None:
    ids = [b"%d" % number for number in range(hop_connection.MAX_REFUSALS)]
    upstream.script = [
        b"HTTP/1.1 503 Busy\r\nX-Id: %b\r\nContent-Length: 0\r\n\r\n" % each
        for each in ids
    ]
    for each in ids:
        assert_that(connection.usable(), matchers.Equals(True))
        await exchange(connection, each)
    assert_that(connection.usable(), matchers.Equals(False))


@pytest.mark.parametrize(
    "whole",
    [
        response(),
        b"HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\n",
        b"HTTP/1.1 206 Partial\r\nX-Id: one\r\nContent-Range: bytes 1-2/9\r\n"
        b"Content-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: one\r\n\r\n",
    ],
    ids=["length", "no-length", "partial", "trailer", "after-100"],
)
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
async def test_a_head_cut_short_is_never_a_whole_response(
    upstream: ScriptedUpstream, whole: bytes, kept: bool
) -> None:
    end = len(whole) if b"ength" in whole or b"chunked" in whole else None
    head_bytes = whole.rindex(b"\r\n\r\n") + 4
    upstream.on_end = lambda writer: writer.close()
    for size in range(end or head_bytes):
        upstream.script = [response(b"first")] * kept + [whole[:size]]
        connection = await hop_connection.connect(
            "127.0.0.1", upstream.port, b"x-id", 1_000.0
        )
        if kept:
            await exchange(connection, b"first")
        with pytest.raises(exceptions.UpstreamError):
            await exchange(connection)


async def test_keep_alive_timeout_is_parsed(
    upstream: ScriptedUpstream, connection: hop_connection.ClientConnection
) -> None:
    upstream.script = [response(extra=b"Keep-Alive: timeout=7, max=5\r\n")]
    await exchange(connection)
    assert_that(connection.keep_alive_ms, matchers.Equals(7_000.0))


async def test_connection_refused_is_connect_failed() -> None:
    with pytest.raises(exceptions.UpstreamError) as raised:
        await hop_connection.connect("127.0.0.1", 9, b"x-id", 500.0)
    assert_that(raised.value.kind, matchers.Equals(Kind.CONNECT_FAILED))
