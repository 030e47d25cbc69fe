"""Client of the platform's key-value store."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from typing import Any
import urllib.parse

import attrs

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.hop import connection as hop_connection
from lovageyoke.hop import messages
from lovageyoke.platform import durations
from lovageyoke.platform import eras
from lovageyoke.schema import decoding
from lovageyoke.store import positions
from lovageyoke.store import revisions

CONNECT_TIMEOUT_MS = 500.0
RESPONSE_TIMEOUT_MS = 1_000.0  # A healthy store responds within milliseconds.
# Time that the response to a watch may take beyond the requested wait.
WATCH_MARGIN_MS = 400.0
MAX_PAGES = 1_000
MAX_LISTINGS = 3  # Attempts to list all pages in one era.
# A page has about 1 MB of values; a watch may return many changes.
MAX_RESPONSE_BYTES = 33_554_432
OK = 200
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412
TOO_MANY_REQUESTS = 429
JSON_TYPE = b"application/json"


@attrs.frozen
class Answer:
    """A response of the store.

    Attributes:
        status: The status: 200, 404 or 410.
        body: The decoded body.
        era: The era in which the store responded.
    """

    status: int
    body: dict[str, Any]
    era: int

    def position(self, revision: object) -> positions.Position:
        """Returns the position of a revision that the body states.

        Raises:
            ValueError: It is not a revision.
        """
        return positions.Position(self.era, decoding.integer(revision))


class StoreClient(revisions.RevisionStore):
    """Store client with its own pool of connections.

    A connection that has lost a response delivers no further ones, so it is
    closed after any failure.

    Attributes:
        host: IP address of the store.
        port: TCP port of the store.
        idle: Idle connections.
        calls: Number of calls by name.
        eras: Checks the era of each response.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.idle: list[hop_connection.ClientConnection] = []
        self.calls: dict[str, int] = {}
        self.eras = eras.EraTracker()

    @property
    def era(self) -> int:
        """Highest era that the store has stated; 0 before it has."""
        return self.eras.highest

    async def get(
        self, key: str
    ) -> tuple[revisions.Item | None, positions.Position]:
        """Returns an item, None if it is absent, and the store's position."""
        answer = await self.call(
            "get", "GET", "/kv-key?" + urllib.parse.urlencode({"key": key})
        )
        with _checked_response():
            is_absent = answer.status == NOT_FOUND
            found = None if is_absent else _item(answer, answer.body)
            return found, answer.position(answer.body.get("at", 0))

    async def list_items(
        self, prefix: str, stale: bool = False
    ) -> revisions.Listing:
        """Returns the items under a prefix, fetched page by page.

        The position of the listing is the lowest one of its pages. If the
        store is restored from a copy meanwhile, the listing begins again.
        """
        for _ in range(MAX_LISTINGS):
            listing = await self.list_pages(prefix, stale)
            if listing is not None:
                return listing
        raise exceptions.PlatformUnavailableError(
            "the store was restored during each listing"
        )

    async def list_pages(
        self, prefix: str, stale: bool
    ) -> revisions.Listing | None:
        """Returns the items on all pages, None if these differ in era."""
        items: list[revisions.Item] = []
        query = {"prefix": prefix}
        if stale:
            query["is_stale"] = "1"
        position: positions.Position | None = None
        for _ in range(MAX_PAGES):
            target = "/kv-range?" + urllib.parse.urlencode(
                query, errors="surrogatepass"
            )
            answer = await self.call("list", "GET", target)
            with _checked_response():
                rows = answer.body.get("items", [])
                page = [_item(answer, each) for each in rows]
                at = answer.position(answer.body.get("at", 0))
            if position is not None and position.era != at.era:
                return None
            items.extend(each for each in page if _is_encodable(each.key))
            position = at if position is None else min(position, at)
            if not answer.body.get("has_more") or not page:
                break
            query["after"] = page[-1].key
        return revisions.Listing(tuple(items), position or positions.START)

    async def watch(
        self, prefix: str, after: positions.Position, wait_ms: float
    ) -> revisions.Changes:
        """Waits for changes under a prefix."""
        query = {
            "prefix": prefix,
            "after": str(after.revision),
            "wait_ms": str(round(wait_ms)),
        }
        answer = await self.call(
            "watch",
            "GET",
            "/kv-watch?" + urllib.parse.urlencode(query),
            timeout_ms=wait_ms + WATCH_MARGIN_MS,
        )
        if answer.status == GONE:
            raise exceptions.HistoryCompactedError(
                "the store no longer has the history after revision "
                f"{after.revision} of era {after.era}"
            )
        with _checked_response():
            rows = answer.body.get("events", [])
            changes = [_change(answer, each) for each in rows]
            at = answer.position(answer.body.get("at", after.revision))
        events = tuple(each for each in changes if _is_encodable(each.key))
        return revisions.Changes(events, at)

    async def commit(self, writes: list[revisions.Write]) -> positions.Position:
        """Sets keys in one transaction; returns the new position."""
        rows = [
            {
                "key": each.key,
                "value": base64.b64encode(each.value).decode(),
                "lease": each.lease.lease_id if each.lease else 0,
            }
            for each in writes
        ]
        answer = await self.call(
            "commit",
            "POST",
            "/kv-txn",
            {"expected_rev": [], "set_keys": rows, "remove": []},
        )
        if answer.status == NOT_FOUND:
            raise exceptions.LeaseExpiredError(
                "the lease of a write has expired"
            )
        with _checked_response():
            return answer.position(answer.body.get("revision", 0))

    async def grant_lease(self, ttl_ms: float) -> revisions.Lease:
        """Grants a lease."""
        answer = await self.call(
            "grant",
            "POST",
            "/kv-lease",
            {"ttl_time": durations.format_duration(ttl_ms)},
        )
        with _checked_response():
            lease_id = decoding.integer(answer.body["lease"])
        return revisions.Lease(lease_id, answer.era)

    async def renew_lease(self, lease: revisions.Lease) -> None:
        """Renews a lease."""
        target = f"/kv-keep/{lease.lease_id}"
        answer = await self.call("renew", "POST", target, {})
        if answer.status == NOT_FOUND:
            raise exceptions.LeaseExpiredError(
                f"lease {lease.lease_id} has expired"
            )

    async def call(
        self,
        name: str,
        method: str,
        target: str,
        body: dict[str, Any] | None = None,
        timeout_ms: float = RESPONSE_TIMEOUT_MS,
    ) -> Answer:
        """Calls the store's HTTP API.

        Args:
            name: Name of the call in the counters.
            method: HTTP method.
            target: Path and query.
            body: JSON body, None to send no body.
            timeout_ms: Response timeout in milliseconds.

        Raises:
            PlatformUnavailableError: The connection failed, or the store
                returned an error status.
            RateLimitedError: The store limited the call rate.
            RevisionConflictError: A key had another revision than expected.
            PlatformOutcomeUnknownError: No valid response was received; the
                call may have taken effect. Its subclass
                ``ObsoleteResponseError`` if the response is from an earlier
                era than one received meanwhile.
        """
        self.calls[name] = self.calls.get(name, 0) + 1
        connection = await self.connection()
        try:
            response = await self.exchange(
                connection, method, target, body, timeout_ms
            )
        except BaseException:
            connection.abort()
            raise
        if connection.usable():
            self.idle.append(connection)
        else:
            connection.close()
        return self.decode(response)

    async def exchange(
        self,
        connection: hop_connection.ClientConnection,
        method: str,
        target: str,
        body: dict[str, Any] | None,
        timeout_ms: float,
    ) -> messages.Response:
        """Sends a call over a connection and waits for its response."""
        encoded = b"" if body is None else json.dumps(body).encode()
        headers = [(b"Host", f"{self.host}:{self.port}".encode())]
        if body is not None:
            headers.append((b"Content-Type", JSON_TYPE))
            headers.append((b"Content-Length", str(len(encoded)).encode()))
        start = f"{method} {target} HTTP/1.1".encode()
        future = connection.send_request(
            messages.encode_head(start, headers),
            encoded,
            None,
            most_body_bytes=MAX_RESPONSE_BYTES,
        )
        try:
            async with asyncio.timeout(timeout_ms / durations.MS_PER_SECOND):
                return await future
        except TimeoutError as error:
            raise exceptions.PlatformOutcomeUnknownError(
                f"no answer from the store in {timeout_ms:.0f} ms"
            ) from error
        except exceptions.UpstreamError as error:
            raise exceptions.PlatformOutcomeUnknownError(
                f"connection to the store failed: {error.detail}"
            ) from error

    def decode(self, response: messages.Response) -> Answer:
        """Decodes a response; any valid era that it states counts."""
        try:
            era = self.eras.check(response)
        except exceptions.PlatformOutcomeUnknownError:
            # An error status says more, whatever its era.
            _check_status(response.status)
            raise
        _check_status(response.status)
        with _checked_response():
            body = json.loads(response.body) if response.body else {}
            if not isinstance(body, dict):
                raise ValueError("not a JSON object")
            return Answer(response.status, body, era)

    async def connection(self) -> hop_connection.ClientConnection:
        """Returns an idle connection or a new one."""
        while self.idle:
            connection = self.idle.pop()
            if connection.usable():
                return connection
            connection.close()
        try:
            return await hop_connection.connect(
                self.host, self.port, b"", CONNECT_TIMEOUT_MS
            )
        except exceptions.UpstreamError as error:
            raise exceptions.PlatformUnavailableError(error.detail) from error

    def close(self) -> None:
        """Closes the idle connections."""
        while self.idle:
            self.idle.pop().close()


def _check_status(status: int) -> None:
    if status == TOO_MANY_REQUESTS:
        raise exceptions.RateLimitedError("the store limited the call rate")
    if status not in {OK, NOT_FOUND, GONE, PRECONDITION_FAILED}:
        raise exceptions.PlatformUnavailableError(
            f"the store returned status {status}"
        )
    if status == PRECONDITION_FAILED:
        raise exceptions.RevisionConflictError(
            "a key of the write was modified concurrently",
            kinds.ErrorKind.PLAN_CONFLICT,
        )


def _checked_response() -> contextlib.AbstractContextManager[None]:
    # The call may have taken effect although its response is invalid.
    return decoding.total(
        "response of the store", exceptions.PlatformOutcomeUnknownError
    )


def _is_encodable(key: str) -> bool:
    # JSON can escape lone surrogates, which no peer message can carry.
    return not any("\ud800" <= char <= "\udfff" for char in key)


def _value(raw: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(raw.get("value", ""), validate=True)
    except (TypeError, ValueError):
        # The entry decoders reject the empty value, which is then logged.
        return b""


def _item(answer: Answer, raw: dict[str, Any]) -> revisions.Item:
    position = answer.position(raw["revision"])
    return revisions.Item(_key(raw), _value(raw), position)


def _key(raw: dict[str, Any]) -> str:
    key = raw["key"]
    if not isinstance(key, str):
        raise ValueError("key of another type")
    return key


def _change(answer: Answer, raw: dict[str, Any]) -> revisions.Change:
    value = None if raw.get("deleted") else _value(raw)
    position = answer.position(raw["revision"])
    return revisions.Change(_key(raw), position, value)
