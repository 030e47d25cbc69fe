"""The callers of the demonstration."""

from __future__ import annotations

import hashlib

import attrs
from hdrh import histogram
import httpx

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import table
from lovageyoke.standin import upstream as standin_upstream

HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1_000
TIMEOUT_S = 30.0
SCAN_BYTES = 6_000_000


@attrs.frozen
class BookingAnswer:
    """What a caller was told of a booking.

    Attributes:
        identity: Its identity.
        status: Status code of the answer.
        outcome: Value of the outcome header, "" when there is none.
        body: The answer's body.
    """

    identity: str
    status: int
    outcome: str
    body: bytes


@attrs.define
class Latencies:
    """Latencies of one kind of request.

    Attributes:
        count: Requests answered with success.
        failed: Requests answered with an error.
        histogram: Latencies in microseconds.
    """

    count: int = 0
    failed: int = 0
    histogram: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(
            1, HIGHEST_US, SIGNIFICANT_DIGITS
        )
    )

    def record(self, status: int, elapsed_ms: float) -> None:
        """Adds a request."""
        if status >= httpx.codes.BAD_REQUEST:
            self.failed += 1
            return
        self.count += 1
        self.histogram.record_value(int(elapsed_ms * US_PER_MS))

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile in milliseconds."""
        value = self.histogram.get_value_at_percentile(percentile)
        return float(value) / US_PER_MS


@attrs.define
class Record:
    """All that the callers saw.

    Attributes:
        bookings: Answers to bookings, in order.
        latencies: Latencies by kind of request.
        scan_digests: BLAKE2b digest of each scan downloaded.
        scan_lengths: Length of each scan downloaded.
    """

    bookings: list[BookingAnswer] = attrs.field(factory=list)
    latencies: dict[str, Latencies] = attrs.field(factory=dict)
    scan_digests: list[str] = attrs.field(factory=list)
    scan_lengths: list[int] = attrs.field(factory=list)

    def latencies_of(self, kind: str) -> Latencies:
        """Returns the latencies of a kind of request."""
        return self.latencies.setdefault(kind, Latencies())


class Callers:
    """Callers that connect to the addresses they were told.

    Attributes:
        record: What they saw.
    """

    def __init__(
        self, client: httpx.AsyncClient, clock: clock_api.Clock
    ) -> None:
        self.record = Record()
        self._client = client
        self._clock = clock

    async def book(self, address: str, identity: str) -> BookingAnswer:
        """Sends a booking and returns what the caller was told."""
        start_ms = self._clock.now_ms()
        response = await self._client.post(
            f"http://{address}/bookings",
            content=b'{"pitch": 7}',
            headers={"idempotency-key": identity},
        )
        elapsed_ms = self._clock.now_ms() - start_ms
        outcome = response.headers.get(table.OUTCOME_HEADER, "")
        answer = BookingAnswer(
            identity, response.status_code, outcome, response.content
        )
        self.record.bookings.append(answer)
        self.record.latencies_of("booking").record(answer.status, elapsed_ms)
        return answer

    async def read_map(self, address: str, number: int) -> None:
        """Reads a map."""
        start_ms = self._clock.now_ms()
        response = await self._client.get(f"http://{address}/maps/{number}")
        elapsed_ms = self._clock.now_ms() - start_ms
        latencies = self.record.latencies_of("map read")
        latencies.record(response.status_code, elapsed_ms)

    async def download(self, address: str) -> None:
        """Downloads a scan and records its digest."""
        digest = hashlib.blake2b()
        length = 0
        start_ms = self._clock.now_ms()
        url = f"http://{address}/scans/{SCAN_BYTES}"
        async with self._client.stream("GET", url) as response:
            async for chunk in response.aiter_raw():
                digest.update(chunk)
                length += len(chunk)
        elapsed_ms = self._clock.now_ms() - start_ms
        latencies = self.record.latencies_of("scan download")
        latencies.record(response.status_code, elapsed_ms)
        self.record.scan_digests.append(digest.hexdigest())
        self.record.scan_lengths.append(length)


def expected_scan_digest() -> str:
    """Returns the BLAKE2b digest of the stand-ins' scan."""
    whole = standin_upstream.scan_bytes(0, SCAN_BYTES)
    return hashlib.blake2b(whole).hexdigest()
