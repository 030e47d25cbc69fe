"""An authenticated connection between two entry VMs."""

from __future__ import annotations

import anyio
import anyio.abc
import attrs
from loguru import logger
from websockets import exceptions as websockets_exceptions
from websockets.asyncio import connection as websockets_connection

from lovageyoke.errors import exceptions
from lovageyoke.peer import api
from lovageyoke.peer import codec as codec_lib
from lovageyoke.peer import frames
from lovageyoke.peer import pending_reply as pending_reply_lib
from lovageyoke.security import handshake

MAX_QUEUED_FRAMES = 256
MAX_CONCURRENT_HANDLERS = 64
MS_PER_SECOND = 1_000

Handlers = dict[type[api.Message], api.Handler]


@attrs.frozen
class ConnectionContext:
    """The state that all connections of a channel share.

    Attributes:
        codec: Encodes and decodes the messages.
        handlers: Handlers by message type.
    """

    codec: codec_lib.Codec
    handlers: Handlers


class Connection:
    """A bidirectional message connection to one peer.

    Attributes:
        peer_id: The authenticated entry id of the peer.
        closed: Whether the connection can no longer be used.
        ended: Set when ``run`` has returned.
    """

    def __init__(
        self,
        socket: websockets_connection.Connection,
        session: handshake.Session,
        context: ConnectionContext,
    ) -> None:
        self.peer_id = session.peer_id
        self.closed = False
        self.ended = anyio.Event()
        self._socket = socket
        self._session = session
        self._context = context
        self._pending: dict[int, pending_reply_lib.PendingReply] = {}
        self._last_correlation = 0
        self._frames_received = 0
        self._handler_slots = anyio.Semaphore(MAX_CONCURRENT_HANDLERS)
        self._outbox_send, self._outbox_receive = (
            anyio.create_memory_object_stream[bytes](MAX_QUEUED_FRAMES)
        )

    async def run(self) -> None:
        """Reads and writes until the connection closes."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                await self._read(tasks)
                tasks.cancel_scope.cancel()
        finally:
            self.closed = True
            self._outbox_send.close()
            self._outbox_receive.close()
            self._fail_pending_replies()
            self._socket.transport.abort()
            self.ended.set()

    def send(self, message: api.Message) -> None:
        """Queues a one-way message.

        Raises:
            PeerError: The connection is closed or its queue is full.
        """
        data = self._context.codec.encode(message)
        self._enqueue(frames.Frame(frames.FrameKind.SEND, 0, data))

    async def request(
        self, message: api.Message, timeout_ms: float
    ) -> api.Message:
        """Sends a message and waits for its reply.

        If no frame arrives before a request times out, the connection is
        considered dead and is closed.

        Raises:
            PeerError: No reply arrived in time, or the peer's handler failed.
        """
        frames_received = self._frames_received
        correlation = self._last_correlation = (
            self._last_correlation + 1
        ) % frames.MAX_CORRELATION
        pending = self._pending[correlation] = pending_reply_lib.PendingReply()
        data = self._context.codec.encode(message)
        kind = frames.FrameKind.REQUEST
        try:
            self._enqueue(frames.Frame(kind, correlation, data))
            with anyio.move_on_after(timeout_ms / MS_PER_SECOND):
                await pending.resolved.wait()
        finally:
            self._pending.pop(correlation, None)
        if pending.reply is not None:
            return pending.reply
        if pending.error:
            raise exceptions.PeerError(f"{self.peer_id}: {pending.error}")
        if frames_received == self._frames_received:
            self.close()
        raise exceptions.PeerError(f"no reply from {self.peer_id} in time")

    def close(self) -> None:
        """Aborts the connection, which makes ``run`` return."""
        self.closed = True
        self._socket.transport.abort()

    def _enqueue(self, frame: frames.Frame) -> None:
        if self.closed:
            raise exceptions.PeerError(f"{self.peer_id}: connection closed")
        try:
            self._outbox_send.send_nowait(frames.encode(frame))
        except anyio.WouldBlock:
            raise exceptions.PeerError(
                f"{self.peer_id}: send queue full"
            ) from None

    async def _write(self) -> None:
        try:
            async for data in self._outbox_receive:
                await self._socket.send(self._session.outgoing.add_mac(data))
        except websockets_exceptions.ConnectionClosed:
            self.close()

    async def _read(self, tasks: anyio.abc.TaskGroup) -> None:
        try:
            while True:
                sealed = await self._socket.recv(decode=False)
                self._frames_received += 1
                data = self._session.incoming.verify(sealed)
                await self._on_frame(frames.decode(data), tasks)
        except websockets_exceptions.ConnectionClosed:
            return
        except exceptions.DecodeError as error:
            logger.warning(
                "closing the connection to {}: {}", self.peer_id, error.detail
            )

    async def _on_frame(
        self, frame: frames.Frame, tasks: anyio.abc.TaskGroup
    ) -> None:
        if frame.kind is frames.FrameKind.ERROR:
            text = frame.data.decode("utf-8", "replace")
            self._resolve(frame.correlation, None, text)
            return
        message = self._context.codec.decode(frame.data)
        if frame.kind is frames.FrameKind.REPLY:
            self._resolve(frame.correlation, message, "")
            return
        await self._handler_slots.acquire()
        tasks.start_soon(self._handle, frame, message)

    def _resolve(
        self, correlation: int, reply: api.Message | None, error: str
    ) -> None:
        pending = self._pending.get(correlation)
        if pending is not None:
            pending.resolve(reply, error)

    async def _handle(self, frame: frames.Frame, message: api.Message) -> None:
        try:
            reply = await self._reply_to(message)
        finally:
            self._handler_slots.release()
        if frame.kind is not frames.FrameKind.REQUEST:
            return
        try:
            self._enqueue(attrs.evolve(reply, correlation=frame.correlation))
        except exceptions.PeerError as error:
            logger.warning("dropped a reply: {}", error.detail)

    async def _reply_to(self, message: api.Message) -> frames.Frame:
        handler = self._context.handlers.get(type(message))
        if handler is None:
            return _error(f"no handler for {type(message).__name__}")
        try:
            reply = await handler(self.peer_id, message)
        except exceptions.LovageyokeError as error:
            return _error(error.detail)
        except Exception as error:
            logger.opt(exception=error).error(
                "handler of {} failed", type(message).__name__
            )
            return _error("internal error")
        if reply is None:
            return _error("no reply")
        data = self._context.codec.encode(reply)
        return frames.Frame(frames.FrameKind.REPLY, 0, data)

    def _fail_pending_replies(self) -> None:
        for pending in list(self._pending.values()):
            pending.resolve(None, "connection closed")


def _error(detail: str) -> frames.Frame:
    return frames.Frame(frames.FrameKind.ERROR, 0, detail.encode())
