"""Fake upstream that follows the platform's documentation."""

from __future__ import annotations

import asyncio
import collections
import json
import time

from fakes import handlers
from lovageyoke.hop import messages


class PlatformUpstream:
    """Serves health checks and requests with scripted behavior.

    Attributes:
        upstream_id: Instance ID, unique to each start.
        actions: Actions for the next requests; later ones are served.
        always: Action for all requests, overriding ``actions``, or None.
        arrivals: Number of arrivals by request ID.
        arrived_s: When each request arrived.
        ran: Number of executions by request ID.
        last: The last request received.
        load: The reported load header value.
        limits: The rate limit headers of responses to requests.
        limits_checks: Whether responses to health checks carry them too.
        cold_left: For how long it is cold by its health checks, in ms; None
            to leave it out.
    """

    def __init__(self, upstream_id: str) -> None:
        self.upstream_id = upstream_id
        self.actions: list[str] = []
        self.always: str | None = None
        self.arrivals: collections.Counter[str] = collections.Counter()
        self.arrived_s: list[float] = []
        self.ran: collections.Counter[str] = collections.Counter()
        self.last: messages.Request | None = None
        self.load = b"0,0,6,100"
        self.limits: list[bytes] = []
        self.limits_checks = False
        self.cold_left: bytes | None = None
        self.handler = handlers.Handler(self.respond)
        self.listener = handlers.Listener(self.handler)

    def entry(self, state: str = "ready", cold_remaining: str = "0ms") -> bytes:
        return json.dumps(
            {
                "service": "maps",
                "address": f"127.0.0.1:{self.listener.port}",
                "zone": "east-a",
                "version": "v1",
                "slots": 6,
                "state": state,
                "cold_remaining": cold_remaining,
                "sequence": 1,
            }
        ).encode()

    async def respond(
        self, request: messages.Request
    ) -> messages.Response | None:
        if request.path == "/health":
            return self.answer(200, None)
        identity = (request.header(b"x-request-id") or b"").decode()
        self.arrivals[identity] += 1
        self.arrived_s.append(time.monotonic())
        self.last = request
        expected = request.header(b"x-expected-instance")
        if expected != self.upstream_id.encode():
            return self.answer(421, identity)
        action = self.always or (
            self.actions.pop(0) if self.actions else "serve"
        )
        if action == "shed":
            return self.answer(503, identity, (b"x-not-executed", b"1"))
        self.ran[identity] += 1
        if action == "lose":
            return None
        if action == "fail":
            return self.answer(500, identity)
        if action == "hang":
            await asyncio.sleep(30.0)
        if action == "slow":
            await asyncio.sleep(0.2)
        return self.answer(200, identity)

    def answer(
        self,
        status: int,
        identity: str | None,
        *headers: tuple[bytes, bytes],
    ) -> messages.Response:
        all_headers = [
            (b"x-instance-id", self.upstream_id.encode()),
            (b"x-backend-load", self.load),
            *headers,
        ]
        if identity is None and self.cold_left is not None:
            all_headers.append((b"x-cold-remaining-ms", self.cold_left))
        if identity is not None or self.limits_checks:
            all_headers.extend((b"server-limit", each) for each in self.limits)
        if identity is not None:
            all_headers.append((b"x-request-id", identity.encode()))
            all_headers.append((b"x-response-signature", b"sig"))
        return messages.Response(status, b"-", all_headers, b"body")
