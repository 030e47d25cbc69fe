"""One connection to an upstream, parsed by h11."""

from __future__ import annotations

import socket

import h11

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.schema import status as http_status
from lovageyoke.transport import api
from lovageyoke.transport import sockets

Kind = kinds.ErrorKind

MAX_HEAD_BYTES = 65_536
_FRAMING = (b"content-length", b"transfer-encoding")
_BODILESS_STATUSES = (204, 304)


class H11Connection:
    """A connection used by one exchange at a time.

    Attributes:
        target: The connected upstream.
        sock: Its socket.
        opened_ms: When it was opened.
        last_received_ms: When the last byte arrived, or when it was opened.
        must_close: Whether it must not be reused.
    """

    def __init__(
        self, target: api.Target, sock: socket.socket, now_ms: float
    ) -> None:
        self.target = target
        self.sock = sock
        self.opened_ms = now_ms
        self.last_received_ms = now_ms
        self.must_close = False
        self._method = b""
        self._state = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    async def send(self, request: api.Request) -> None:
        """Writes a complete request.

        Raises:
            UpstreamError: Kind NOTHING_WRITTEN or UPSTREAM_RESET.
        """
        self._method = request.method
        await sockets.send_all(self.sock, self._encode(request))

    def _encode(self, request: api.Request) -> bytes:
        try:
            parts = [
                self._state.send(
                    h11.Request(
                        method=request.method,
                        target=request.target,
                        headers=list(request.headers),
                    )
                )
            ]
            if request.body:
                parts.append(self._state.send(h11.Data(data=request.body)))
            parts.append(self._state.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            raise exceptions.CallerError(str(error)) from error
        return b"".join(part for part in parts if part)

    async def read_head(self) -> api.ResponseHead:
        """Returns the head of the final response.

        Raises:
            UpstreamError: Kind UPSTREAM_RESET or UPSTREAM_PROTOCOL.
        """
        while True:
            event = await self._next_event(Kind.UPSTREAM_RESET)
            status = getattr(event, "status_code", None)
            if status is not None and not http_status.is_valid(status):
                raise exceptions.UpstreamError(
                    f"invalid status {status}", Kind.UPSTREAM_PROTOCOL
                )
            if isinstance(event, h11.Response):
                return self._check_framing(
                    api.ResponseHead(event.status_code, tuple(event.headers))
                )
            if not isinstance(event, h11.InformationalResponse):
                raise exceptions.UpstreamError(
                    "the connection closed before a response",
                    Kind.UPSTREAM_RESET,
                )

    def _check_framing(self, head: api.ResponseHead) -> api.ResponseHead:
        # A body delimited by the connection's end is indistinguishable from
        # a truncated one.
        bodiless = self._method == b"HEAD" or head.status in _BODILESS_STATUSES
        framed = any(name in _FRAMING for name, _ in head.headers)
        if bodiless or framed:
            return head
        raise exceptions.UpstreamError(
            "the response has neither a length nor a transfer coding",
            Kind.UPSTREAM_PROTOCOL,
        )

    async def read_body(self) -> bytes:
        """Returns the next part of the body, b"" at its end.

        Raises:
            UpstreamError: Kind RESPONSE_TRUNCATED.
        """
        part = self.buffered_body()
        while part is None:
            await self._receive(Kind.RESPONSE_TRUNCATED)
            part = self.buffered_body()
        return part

    def buffered_body(self) -> bytes | None:
        """Returns the next part of the body if it was already received.

        Returns:
            The part, b"" at the end, None if more data must be received.

        Raises:
            UpstreamError: Kind RESPONSE_TRUNCATED.
        """
        while True:
            event = self._parse(Kind.RESPONSE_TRUNCATED)
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.EndOfMessage):
                return b""
            if not isinstance(event, h11.Data):
                raise exceptions.UpstreamError(
                    "the connection closed inside a response",
                    Kind.RESPONSE_TRUNCATED,
                )
            if event.data:
                return bytes(event.data)

    async def _next_event(self, eof_kind: kinds.ErrorKind) -> h11.Event | type:
        event = self._parse(eof_kind)
        while event is h11.NEED_DATA:
            await self._receive(eof_kind)
            event = self._parse(eof_kind)
        return event

    def _parse(self, eof_kind: kinds.ErrorKind) -> h11.Event | type:
        try:
            return self._state.next_event()
        except h11.RemoteProtocolError as error:
            ended = self._state.trailing_data[1]
            kind = eof_kind if ended else Kind.UPSTREAM_PROTOCOL
            raise exceptions.UpstreamError(str(error), kind) from error

    async def _receive(self, eof_kind: kinds.ErrorKind) -> None:
        try:
            self._state.receive_data(await sockets.receive(self.sock))
        except OSError as error:
            raise exceptions.UpstreamError(
                f"read failed: {error.strerror}", eof_kind
            ) from error

    def recycle(self, now_ms: float) -> bool:
        """Prepares for another exchange.

        Returns:
            Whether the connection may be used again.
        """
        if self.must_close or self._state.trailing_data[0]:
            return False
        done = h11.DONE
        if self._state.our_state is not done:
            return False
        if self._state.their_state is not done:
            return False
        self._state.start_next_cycle()
        self.last_received_ms = now_ms
        return True

    def is_idle(self) -> bool:
        """Returns whether the connection is open and has no unread bytes."""
        return sockets.is_idle(self.sock)

    def close(self) -> None:
        """Closes the socket."""
        self.must_close = True
        self.sock.close()
