"""Stand-in upstream with slots, load reports and injectable faults."""

from __future__ import annotations

from collections.abc import AsyncIterator
import hashlib
import json

import anyio
import attrs
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from lovageyoke.clock import api as clock_api

LOAD_HEADER = "lovageyoke-load"
SHED_HEADER = "lovageyoke-shed"
CHUNK_BYTES = 65_536
PATTERN = hashlib.blake2b(b"scan").digest() * (CHUNK_BYTES // 64)


@attrs.define
class Behaviour:
    """Behaviour of the stand-in, which may be changed while it runs.

    Attributes:
        slots: Number of requests served concurrently.
        max_queue: Number of requests that may wait for a slot; further ones
            are shed.
        service_ms: Service time of a request.
        extra_ms: Delay added to every request, to simulate a straggler.
        stalled: Whether requests block until this is reset.
        draining: Whether load reports announce draining.
        chunk_delay_ms: Delay before each chunk of a download.
    """

    slots: int = 6
    max_queue: int = 12
    service_ms: float = 2.0
    extra_ms: float = 0.0
    stalled: bool = False
    draining: bool = False
    chunk_delay_ms: float = 0.0


@attrs.define
class RequestCounts:
    """Request counts of one upstream, or shared by several.

    Attributes:
        runs: Number of executions by booking identity.
        served: Number of accepted requests by upstream id.
    """

    runs: dict[str, int] = attrs.field(factory=dict)
    served: dict[str, int] = attrs.field(factory=dict)

    def count_run(self, identity: str) -> None:
        """Counts an execution of a booking."""
        self.runs[identity] = self.runs.get(identity, 0) + 1

    def count_served(self, upstream_id: str) -> None:
        """Counts an accepted request."""
        self.served[upstream_id] = self.served.get(upstream_id, 0) + 1


def scan_bytes(start: int, end: int) -> bytes:
    """Returns the bytes of a generated scan from start to end."""
    offset = start % len(PATTERN)
    repetitions = (offset + end - start) // len(PATTERN) + 1
    return (PATTERN * repetitions)[offset : offset + end - start]


class StandinUpstream:
    """Upstream for demos, tests and benchmarks.

    Attributes:
        upstream_id: The id of the upstream.
        behaviour: The current behaviour.
        counts: The counts of accepted and executed requests.
        in_flight: Number of requests being served.
        queued: Number of requests waiting for a slot.
    """

    def __init__(
        self,
        upstream_id: str,
        clock: clock_api.Clock,
        behaviour: Behaviour | None = None,
        counts: RequestCounts | None = None,
    ) -> None:
        self.upstream_id = upstream_id
        self.clock = clock
        self.behaviour = behaviour or Behaviour()
        self.counts = counts or RequestCounts()
        self.in_flight = 0
        self.queued = 0
        self._slots = anyio.Semaphore(self.behaviour.slots)

    def app(self) -> applications.Starlette:
        """Returns the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route("/-/load", self._load),
                routing.Route("/-/runs", self._runs),
                routing.Route(
                    "/-/behaviour", self._set_behaviour, methods=["POST"]
                ),
                routing.Route("/scans/{size:int}", self._scan),
                routing.Route(
                    "/{path:path}",
                    self._serve,
                    methods=["GET", "POST", "PUT", "DELETE"],
                ),
            ]
        )

    def load_header(self) -> str:
        """Returns the current load report."""
        draining = int(self.behaviour.draining)
        return (
            f"in_flight={self.in_flight};queued={self.queued};"
            f"draining={draining};cold=0"
        )

    async def _load(self, request: requests.Request) -> responses.Response:
        return responses.Response(headers={LOAD_HEADER: self.load_header()})

    async def _runs(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse(self.counts.runs)

    async def _set_behaviour(
        self, request: requests.Request
    ) -> responses.Response:
        settable = {each.name for each in attrs.fields(Behaviour)} - {"slots"}
        changes = await request.json()
        unknown = sorted(set(changes) - settable)
        if unknown:
            text = f"unknown: {', '.join(unknown)}\n"
            return responses.PlainTextResponse(text, status_code=400)
        for name, value in changes.items():
            setattr(self.behaviour, name, value)
        return responses.JSONResponse(attrs.asdict(self.behaviour))

    def _shed(self) -> responses.Response:
        headers = {SHED_HEADER: "1", LOAD_HEADER: self.load_header()}
        return responses.Response(status_code=503, headers=headers)

    async def _serve(self, request: requests.Request) -> responses.Response:
        if self.queued >= self.behaviour.max_queue:
            return self._shed()
        body = await request.body()
        self.counts.count_served(self.upstream_id)
        await self._process_request()
        if request.method == "POST":
            identity = request.headers.get("idempotency-key", "")
            self.counts.count_run(identity or body.decode("latin-1"))
        content = {"upstream": self.upstream_id, "path": request.url.path}
        return responses.Response(
            json.dumps(content),
            media_type="application/json",
            headers={LOAD_HEADER: self.load_header()},
        )

    async def _process_request(self) -> None:
        self.queued += 1
        try:
            await self._slots.acquire()
        finally:
            self.queued -= 1
        self.in_flight += 1
        try:
            await self._wait_while_stalled()
            duration_ms = self.behaviour.service_ms + self.behaviour.extra_ms
            await self.clock.sleep_ms(duration_ms)
        finally:
            self.in_flight -= 1
            self._slots.release()

    async def _wait_while_stalled(self) -> None:
        while self.behaviour.stalled:
            await self.clock.sleep_ms(20)

    async def _scan(self, request: requests.Request) -> responses.Response:
        size = request.path_params["size"]
        etag = f'"scan-{size}"'
        start = _range_start(request, etag)
        if start >= size:
            return responses.Response(status_code=416)
        headers = {
            "etag": etag,
            "accept-ranges": "bytes",
            "content-length": str(size - start),
            LOAD_HEADER: self.load_header(),
        }
        if start:
            headers["content-range"] = f"bytes {start}-{size - 1}/{size}"
        self.counts.count_served(self.upstream_id)
        return responses.StreamingResponse(
            self._scan_chunks(start, size),
            status_code=206 if start else 200,
            headers=headers,
            media_type="application/octet-stream",
        )

    async def _scan_chunks(self, start: int, end: int) -> AsyncIterator[bytes]:
        self.in_flight += 1
        try:
            while start < end:
                if self.behaviour.chunk_delay_ms:
                    await self.clock.sleep_ms(self.behaviour.chunk_delay_ms)
                stop = min(end, start + CHUNK_BYTES)
                yield scan_bytes(start, stop)
                start = stop
        finally:
            self.in_flight -= 1


def _range_start(request: requests.Request, etag: str) -> int:
    value = request.headers.get("range", "")
    if request.headers.get("if-range", etag) != etag:
        return 0
    first, _, last = value.removeprefix("bytes=").partition("-")
    if not value.startswith("bytes=") or last or not first.isdigit():
        return 0
    return int(first)
