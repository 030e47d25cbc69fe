"""Client of the platform's key-value store."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from typing import Any
import urllib.parse

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.hop import connection as hop_connection
from lovageyoke.hop import messages
from lovageyoke.platform import durations
from lovageyoke.schema import decoding
from lovageyoke.store import revisions

CONNECT_TIMEOUT_MS = 500.0
RESPONSE_TIMEOUT_MS = 1_000.0  # A healthy store responds within milliseconds.
# Time that the response to a watch may take beyond the requested wait.
WATCH_MARGIN_MS = 400.0
MAX_PAGES = 1_000
# A page has about 1 MB of values; a watch may return many changes.
MAX_RESPONSE_BYTES = 33_554_432
OK = 200
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412
TOO_MANY_REQUESTS = 429
JSON_TYPE = b"application/json"
ERA_HEADER = b"store-era"


class StoreClient(revisions.RevisionStore):
    """Store client with its own pool of connections.

    A connection that has lost a response delivers no further ones, so it is
    closed after any failure.

    Attributes:
        host: IP address of the store.
        port: TCP port of the store.
        idle: Idle connections.
        calls: Number of calls by name.
        era: Era of the store in its last response, as sent; empty if none.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.idle: list[hop_connection.ClientConnection] = []
        self.calls: dict[str, int] = {}
        self.era = ""

    async def get(self, key: str) -> tuple[revisions.Item | None, int]:
        """Returns an item, None if it is absent, and the store's revision."""
        status, body = await self.call(
            "get", "GET", "/kv-key?" + urllib.parse.urlencode({"key": key})
        )
        with _checked_response():
            found = _item(body) if status != NOT_FOUND else None
            return found, _revision(body.get("at", 0))

    async def list_items(
        self, prefix: str, stale: bool = False
    ) -> revisions.Listing:
        """Returns the items under a prefix, fetched page by page.

        The revision of the listing is the lowest one of its pages.
        """
        items: list[revisions.Item] = []
        query = {"prefix": prefix}
        if stale:
            query["is_stale"] = "1"
        revision: int | None = None
        for _ in range(MAX_PAGES):
            target = "/kv-range?" + urllib.parse.urlencode(
                query, errors="surrogatepass"
            )
            _, body = await self.call("list", "GET", target)
            with _checked_response():
                page = [_item(each) for each in body.get("items", [])]
                at = _revision(body.get("at", 0))
            items.extend(each for each in page if _is_encodable(each.key))
            revision = at if revision is None else min(revision, at)
            if not body.get("has_more") or not page:
                break
            query["after"] = page[-1].key
        return revisions.Listing(tuple(items), revision or 0)

    async def watch(
        self, prefix: str, after: int, wait_ms: float
    ) -> revisions.Changes:
        """Waits for changes under a prefix."""
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(round(wait_ms)),
        }
        status, body = await self.call(
            "watch",
            "GET",
            "/kv-watch?" + urllib.parse.urlencode(query),
            timeout_ms=wait_ms + WATCH_MARGIN_MS,
        )
        if status == GONE:
            raise exceptions.HistoryCompactedError(
                f"the store no longer has the history after revision {after}"
            )
        with _checked_response():
            changes = [_change(each) for each in body.get("events", [])]
            at = _revision(body.get("at", after))
        events = tuple(each for each in changes if _is_encodable(each.key))
        return revisions.Changes(events, at)

    async def commit(self, writes: list[revisions.Write]) -> int:
        """Sets keys in one transaction; returns the new revision."""
        rows = [
            {
                "key": each.key,
                "value": base64.b64encode(each.value).decode(),
                "lease": each.lease_id,
            }
            for each in writes
        ]
        status, body = await self.call(
            "commit",
            "POST",
            "/kv-txn",
            {"expected_rev": [], "set_keys": rows, "remove": []},
        )
        if status == NOT_FOUND:
            raise exceptions.LeaseExpiredError(
                "the lease of a write has expired"
            )
        with _checked_response():
            return _revision(body.get("revision", 0))

    async def grant_lease(self, ttl_ms: float) -> int:
        """Grants a lease and returns its ID."""
        _, body = await self.call(
            "grant",
            "POST",
            "/kv-lease",
            {"ttl_time": durations.format_duration(ttl_ms)},
        )
        with _checked_response():
            return decoding.integer(body["lease"])

    async def renew_lease(self, lease_id: int) -> None:
        """Renews a lease."""
        status, _ = await self.call("renew", "POST", f"/kv-keep/{lease_id}", {})
        if status == NOT_FOUND:
            raise exceptions.LeaseExpiredError(f"lease {lease_id} has expired")

    async def call(
        self,
        name: str,
        method: str,
        target: str,
        body: dict[str, Any] | None = None,
        timeout_ms: float = RESPONSE_TIMEOUT_MS,
    ) -> tuple[int, dict[str, Any]]:
        """Calls the store's HTTP API.

        Args:
            name: Name of the call in the counters.
            method: HTTP method.
            target: Path and query.
            body: JSON body, None to send no body.
            timeout_ms: Response timeout in milliseconds.

        Returns:
            The status, 200, 404 or 410, and the decoded body.

        Raises:
            PlatformUnavailableError: The connection failed, or the store
                returned an error status.
            RateLimitedError: The store limited the call rate.
            RevisionConflictError: A key had another revision than expected.
            PlatformOutcomeUnknownError: No valid response was received; the
                call may have taken effect.
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
        self.era = (response.header(ERA_HEADER) or b"").decode("latin-1")
        return _decode_response(response)

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


def _decode_response(response: messages.Response) -> tuple[int, dict[str, Any]]:
    status = response.status
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
    with _checked_response():
        body = json.loads(response.body) if response.body else {}
        if not isinstance(body, dict):
            raise ValueError("not a JSON object")
        return status, body


def _checked_response() -> contextlib.AbstractContextManager[None]:
    # The call may have taken effect although its response is invalid.
    return decoding.total(
        "response of the store", exceptions.PlatformOutcomeUnknownError
    )


def _is_encodable(key: str) -> bool:
    # JSON can escape lone surrogates, which no peer message can carry.
    return not any("\ud800" <= char <= "\udfff" for char in key)


def _revision(value: object) -> int:
    return decoding.integer(value)


def _value(raw: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(raw.get("value", ""), validate=True)
    except (TypeError, ValueError):
        # The entry decoders reject the empty value, which is then logged.
        return b""


def _item(raw: dict[str, Any]) -> revisions.Item:
    return revisions.Item(_key(raw), _value(raw), _revision(raw["revision"]))


def _key(raw: dict[str, Any]) -> str:
    key = raw["key"]
    if not isinstance(key, str):
        raise ValueError("key of another type")
    return key


def _change(raw: dict[str, Any]) -> revisions.Change:
    value = None if raw.get("deleted") else _value(raw)
    return revisions.Change(_key(raw), _revision(raw["revision"]), value)
