"""In-process network of peer channels with fault injection."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import random

import anyio
import anyio.abc
import attrs
from loguru import logger

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.peer import api
from lovageyoke.peer import codec as codec_lib
from lovageyoke.peer import pending_reply as pending_reply_lib


@attrs.define
class Conditions:
    """Network conditions, which may be changed at any time.

    Messages are reordered when their delays differ.

    Attributes:
        loss: Probability that a message is lost.
        duplication: Probability that a message is delivered twice.
        min_delay_ms: Minimum delay of a message, in milliseconds.
        max_delay_ms: Maximum delay of a message, in milliseconds.
    """

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_ms: float = 0.0
    max_delay_ms: float = 0.0


class FakeNetwork:
    """Delivers messages between its channels.

    Attributes:
        conditions: Loss, duplication and delay.
        cuts: Pairs of source and target whose messages are lost.
        isolated: Entry VMs that neither receive nor send messages.
        sent: Number of messages sent.
        sent_bytes: Their total encoded size, if a codec is given.
        channels: The channels by entry id.
    """

    def __init__(
        self,
        clock: clock_api.Clock,
        rng: random.Random,
        conditions: Conditions | None = None,
        codec: codec_lib.Codec | None = None,
    ) -> None:
        self.conditions = conditions or Conditions()
        self.cuts: set[tuple[str, str]] = set()
        self.isolated: set[str] = set()
        self.sent = 0
        self.sent_bytes = 0
        self.channels: dict[str, FakeChannel] = {}
        self.clock = clock
        self._rng = rng
        self._codec = codec
        self._tasks: anyio.abc.TaskGroup | None = None

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[FakeNetwork]:
        """Delivers messages while the context is open."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                yield self
            finally:
                self._tasks = None
                tasks.cancel_scope.cancel()

    def channel(self, entry_id: str) -> FakeChannel:
        """Returns a new channel, replacing any earlier one of the entry VM."""
        channel = FakeChannel(entry_id, self)
        self.channels[entry_id] = channel
        return channel

    def cut(self, source: str, target: str) -> None:
        """Drops all messages from ``source`` to ``target``, one way."""
        self.cuts.add((source, target))

    def partition(self, left: set[str], right: set[str]) -> None:
        """Drops all messages between two sets of entry VMs."""
        for one in left:
            for other in right:
                self.cut(one, other)
                self.cut(other, one)

    def heal(self) -> None:
        """Removes all cuts and isolation."""
        self.cuts.clear()
        self.isolated.clear()

    def post(self, source: str, target: str, message: api.Message) -> None:
        """Sends a message and discards its reply."""
        self._post(source, target, message, None)

    def post_request(
        self, source: str, target: str, message: api.Message
    ) -> pending_reply_lib.PendingReply:
        """Sends a request and returns its pending reply."""
        pending = pending_reply_lib.PendingReply()
        self._post(source, target, message, pending)
        return pending

    def _post(
        self,
        source: str,
        target: str,
        message: api.Message,
        pending: pending_reply_lib.PendingReply | None,
    ) -> None:
        if self._tasks is None:
            raise exceptions.PeerError("the network is not running")
        message = self._round_trip(message)
        for delay_ms in self._delays_ms():
            self._tasks.start_soon(
                self._deliver, source, target, message, delay_ms, pending
            )

    async def _deliver(
        self,
        source: str,
        target: str,
        message: api.Message,
        delay_ms: float,
        pending: pending_reply_lib.PendingReply | None,
    ) -> None:
        await self.clock.sleep_ms(delay_ms)
        channel = self.channels.get(target)
        if channel is None or not self._connected(source, target):
            return
        reply = await channel.receive(source, message)
        if pending is None or reply is None:
            return
        reply = self._round_trip(reply)
        for reply_delay_ms in self._delays_ms()[:1]:
            await self.clock.sleep_ms(reply_delay_ms)
            if self._connected(target, source):
                pending.resolve(reply)

    def _connected(self, source: str, target: str) -> bool:
        if source in self.isolated or target in self.isolated:
            return False
        return (source, target) not in self.cuts

    def _delays_ms(self) -> list[float]:
        if self._rng.random() < self.conditions.loss:
            return []
        deliveries = 1 + (self._rng.random() < self.conditions.duplication)
        return [
            self._rng.uniform(
                self.conditions.min_delay_ms, self.conditions.max_delay_ms
            )
            for _ in range(deliveries)
        ]

    def _round_trip(self, message: api.Message) -> api.Message:
        self.sent += 1
        if self._codec is None:
            return message
        data = self._codec.encode(message)
        self.sent_bytes += len(data)
        return self._codec.decode(data)


class FakeChannel(api.PeerChannel):
    """The channel of one entry VM on a ``FakeNetwork``.

    Attributes:
        entry_id: The id of the entry VM.
        handlers: Handlers by message type.
    """

    def __init__(self, entry_id: str, network: FakeNetwork) -> None:
        self.entry_id = entry_id
        self.handlers: dict[type[api.Message], api.Handler] = {}
        self._network = network

    async def send(self, entry_id: str, message: api.Message) -> None:
        """Sends a one-way message without delivery guarantee."""
        self._network.post(self.entry_id, entry_id, message)

    async def request(
        self, entry_id: str, message: api.Message, timeout_ms: float
    ) -> api.Message:
        """Sends a message and waits for its reply.

        Raises:
            PeerError: No reply arrived in time; the peer may have processed
                the request.
        """
        pending = self._network.post_request(self.entry_id, entry_id, message)

        async def time_out(scope: anyio.CancelScope) -> None:
            await self._network.clock.sleep_ms(timeout_ms)
            scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(time_out, tasks.cancel_scope)
            await pending.resolved.wait()
            tasks.cancel_scope.cancel()
        if pending.reply is None:
            raise exceptions.PeerError(f"no reply from {entry_id} in time")
        return pending.reply

    def handle(
        self, message_type: type[api.Message], handler: api.Handler
    ) -> None:
        """Registers the handler of a message type."""
        self.handlers[message_type] = handler

    async def receive(
        self, source: str, message: api.Message
    ) -> api.Message | None:
        """Runs the handler of a received message and returns its reply."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return None
        try:
            return await handler(source, message)
        except exceptions.LovageyokeError as error:
            logger.warning(
                "handler of a message from {} failed: {}", source, error.detail
            )
            return None
