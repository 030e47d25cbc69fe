"""Peer channels over WebSocket connections."""

from __future__ import annotations

from collections.abc import Callable
import random
import socket
import ssl
from typing import Any

import anyio
import anyio.abc
import attrs
from loguru import logger
from websockets import exceptions as websockets_exceptions
from websockets.asyncio import client as websockets_client
from websockets.asyncio import connection as websockets_connection
from websockets.asyncio import server as websockets_server

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.peer import api
from lovageyoke.peer import codec as codec_lib
from lovageyoke.peer import connection as connection_lib
from lovageyoke.security import handshake
from lovageyoke.security import tls as tls_lib

MAX_MESSAGE_BYTES = 2_000_000
MAX_QUEUED_MESSAGES = 16
MAX_UNAUTHENTICATED = 64
HANDSHAKE_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 2.0
PING_INTERVAL_S = 10.0
PING_TIMEOUT_S = 5.0
CLOSE_TIMEOUT_S = 1.0
INITIAL_RETRY_MS = 100.0
MAX_RETRY_MS = 5_000.0
IDLE_TIMEOUT_MS = 60_000.0

CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    exceptions.PeerError,
    websockets_exceptions.WebSocketException,
)


@attrs.frozen
class Credentials:
    """Credentials for mutual authentication of entry VMs.

    Attributes:
        keys: Shared keys, the newest first; all are accepted.
        server_tls: TLS context of the listener, or None for plain TCP.
        client_tls: TLS context of outgoing connections, or None.
    """

    keys: tuple[str, ...] = attrs.field(repr=False)
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None

    @keys.validator
    def _check_keys(self, _: object, keys: tuple[str, ...]) -> None:
        if not keys:
            problem = "peers.keys: at least one key is needed"
            raise exceptions.SettingsError((problem,))


@attrs.define(eq=False)
class Link:
    """The outgoing connection to one peer.

    Attributes:
        address: Host and port.
        connection: The open connection, or None.
        ready: Set while there is an open connection.
        scope: Cancel scope of the task that maintains the link.
        last_used_ms: When a link created on demand was last used; None for a
            permanent link.
    """

    address: str
    last_used_ms: float | None = None
    connection: connection_lib.Connection | None = None
    ready: anyio.Event = attrs.field(factory=anyio.Event)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)

    def set_connection(self, connection: connection_lib.Connection) -> None:
        """Sets the open connection and wakes its waiters."""
        self.connection = connection
        self.ready.set()

    def active_connection(self) -> connection_lib.Connection | None:
        """Returns the open connection, or None."""
        if self.connection is not None and self.connection.closed:
            self.connection = None
            self.ready = anyio.Event()
        return self.connection


class WebsocketChannel(api.PeerChannel):
    """Sends messages to peers over WebSocket connections.

    Each entry VM connects to every peer that it sends to; replies use the
    same connection.

    Attributes:
        entry_id: The id of this entry VM.
        handlers: Handlers by message type.
        links: Outgoing connections by entry id.
        resolve: Returns the peer address of an entry without a link, or None.
            Links created this way are closed when idle.
    """

    def __init__(
        self,
        entry_id: str,
        listener: socket.socket,
        codec: codec_lib.Codec,
        credentials: Credentials,
        *,
        clock: clock_api.Clock,
        rng: random.Random,
    ) -> None:
        self.entry_id = entry_id
        self.handlers: connection_lib.Handlers = {}
        self.links: dict[str, Link] = {}
        self.resolve: Callable[[str], str | None] = lambda _: None
        self._listener = listener
        self._credentials = credentials
        self._clock = clock
        self._rng = rng
        self._context = connection_lib.ConnectionContext(codec, self.handlers)
        self._unauthenticated = 0
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Accepts and opens connections until cancelled."""
        server = websockets_server.serve(
            self._accept,
            sock=self._listener,
            ssl=self._credentials.server_tls,
            **_options(),
        )
        async with server, anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                for entry_id, link in self.links.items():
                    tasks.start_soon(self._maintain, entry_id, link)
                await self._close_idle()
            finally:
                self._tasks = None

    def set_address(self, entry_id: str, address: str) -> None:
        """Sets the address of a peer and connects if it has changed.

        Args:
            entry_id: The entry id of the peer.
            address: Host and port.
        """
        known = self.links.get(entry_id)
        if known is not None and known.address == address:
            known.last_used_ms = None
            return
        self._add(entry_id, Link(address))

    def remove(self, entry_id: str) -> None:
        """Closes the connection to a peer."""
        link = self.links.pop(entry_id, None)
        if link is not None:
            link.scope.cancel()

    def handle(
        self, message_type: type[api.Message], handler: api.Handler
    ) -> None:
        """Registers the handler of a message type."""
        self.handlers[message_type] = handler

    async def send(self, entry_id: str, message: api.Message) -> None:
        """Sends a one-way message; drops it if there is no connection."""
        link = self._link_to(entry_id)
        connection = link.active_connection() if link is not None else None
        if connection is None:
            return
        try:
            connection.send(message)
        except exceptions.PeerError as error:
            logger.debug("dropped a message: {}", error.detail)

    async def request(
        self, entry_id: str, message: api.Message, timeout_ms: float
    ) -> api.Message:
        """Sends a message and waits for its reply.

        Raises:
            PeerError: No reply arrived in time; the peer may have processed
                the request.
        """
        started_ms = self._clock.now_ms()
        connection = await self._connection_to(entry_id, timeout_ms)
        elapsed_ms = self._clock.now_ms() - started_ms
        return await connection.request(message, timeout_ms - elapsed_ms)

    async def _connection_to(
        self, entry_id: str, timeout_ms: float
    ) -> connection_lib.Connection:
        link = self._link_to(entry_id)
        if link is None:
            raise exceptions.PeerError(f"no address of {entry_id} is known")
        timeout_s = timeout_ms / connection_lib.MS_PER_SECOND
        with anyio.move_on_after(timeout_s):
            while True:
                connection = link.active_connection()
                if connection is not None:
                    return connection
                await link.ready.wait()
        raise exceptions.PeerError(f"no connection to {entry_id}")

    def _add(self, entry_id: str, link: Link) -> None:
        self.remove(entry_id)
        self.links[entry_id] = link
        if self._tasks is not None:
            self._tasks.start_soon(self._maintain, entry_id, link)

    def _link_to(self, entry_id: str) -> Link | None:
        link = self.links.get(entry_id)
        now_ms = self._clock.now_ms()
        if link is None:
            address = self.resolve(entry_id)
            if not address:
                return None
            link = Link(address, last_used_ms=now_ms)
            self._add(entry_id, link)
        if link.last_used_ms is not None:
            link.last_used_ms = now_ms
        return link

    async def _close_idle(self) -> None:
        while True:
            await self._clock.sleep_ms(IDLE_TIMEOUT_MS / 4)
            min_used_ms = self._clock.now_ms() - IDLE_TIMEOUT_MS
            for entry_id, link in list(self.links.items()):
                used_ms = link.last_used_ms
                if used_ms is not None and used_ms < min_used_ms:
                    self.remove(entry_id)

    async def _maintain(self, entry_id: str, link: Link) -> None:
        delay_ms = INITIAL_RETRY_MS
        with link.scope:
            while True:
                if await self._connect_once(entry_id, link):
                    delay_ms = INITIAL_RETRY_MS
                jitter = self._rng.uniform(0.5, 1.5)
                await self._clock.sleep_ms(delay_ms * jitter)
                delay_ms = min(delay_ms * 2, MAX_RETRY_MS)

    async def _connect_once(self, entry_id: str, link: Link) -> bool:
        """Runs one connection; returns whether the handshake succeeded."""
        try:
            async with self._dial(entry_id, link.address) as dialled:
                session = await self._authenticate(entry_id, dialled)
                connection = connection_lib.Connection(
                    dialled, session, self._context
                )
                await self._run_connection(link, connection)
        except CONNECTION_ERRORS as error:
            logger.debug("connection to {} failed: {}", entry_id, error)
            return False
        return True

    async def _run_connection(
        self, link: Link, connection: connection_lib.Connection
    ) -> None:
        link.set_connection(connection)
        try:
            await connection.run()
        finally:
            link.active_connection()

    def _dial(self, entry_id: str, address: str) -> websockets_client.connect:
        context = self._credentials.client_tls
        scheme = "ws" if context is None else "wss"
        options = _options()
        if context is not None:
            options["server_hostname"] = entry_id
        return websockets_client.connect(
            f"{scheme}://{address}/", ssl=context, proxy=None, **options
        )

    async def _authenticate(
        self, entry_id: str, dialled: websockets_connection.Connection
    ) -> handshake.Session:
        connecting = handshake.Initiator(
            self.entry_id, entry_id, self._credentials.keys
        )
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            await dialled.send(connecting.hello())
            challenge = await dialled.recv(decode=False)
            proof, session = connecting.process_challenge(challenge)
            await dialled.send(proof)
        return session

    async def _accept(
        self, accepted: websockets_server.ServerConnection
    ) -> None:
        if self._unauthenticated >= MAX_UNAUTHENTICATED:
            logger.warning(
                "rejected a peer connection: too many are unauthenticated"
            )
            accepted.transport.abort()
            return
        try:
            session = await self._authenticate_accepted(accepted)
        except CONNECTION_ERRORS as error:
            logger.warning("rejected a peer connection: {}", error)
            accepted.transport.abort()
            return
        await connection_lib.Connection(accepted, session, self._context).run()

    async def _authenticate_accepted(
        self, accepted: websockets_server.ServerConnection
    ) -> handshake.Session:
        self._unauthenticated += 1
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                return await self._perform_handshake(accepted)
        finally:
            self._unauthenticated -= 1

    async def _perform_handshake(
        self, accepted: websockets_server.ServerConnection
    ) -> handshake.Session:
        accepting = handshake.Responder(self.entry_id, self._credentials.keys)
        hello = await accepted.recv(decode=False)
        await accepted.send(accepting.challenge(hello))
        session = accepting.finish(await accepted.recv(decode=False))
        ssl_object = accepted.transport.get_extra_info("ssl_object")
        if ssl_object is not None and not tls_lib.has_dns_name(
            ssl_object, session.peer_id
        ):
            raise exceptions.PeerError(
                f"the certificate is not for {session.peer_id}"
            )
        return session


def _options() -> dict[str, Any]:
    return {
        "compression": None,
        "max_size": MAX_MESSAGE_BYTES,
        "max_queue": MAX_QUEUED_MESSAGES,
        "open_timeout": CONNECT_TIMEOUT_S,
        "ping_interval": PING_INTERVAL_S,
        "ping_timeout": PING_TIMEOUT_S,
        "close_timeout": CLOSE_TIMEOUT_S,
    }
