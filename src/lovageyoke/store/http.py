"""HTTP client of the platform's service."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import ssl

import anyio
import httpx

from lovageyoke.errors import exceptions
from lovageyoke.store import api
from lovageyoke.store import wire

MS_PER_SECOND = 1_000
CONNECT_TIMEOUT_MS = 1_000
CALL_TIMEOUT_MS = 3_000
WATCH_MARGIN_MS = 2_000
MAX_CONNECTIONS = 6
MAX_WATCH_CONNECTIONS = 256

Params = Mapping[str, str | int]

_ERRORS_BEFORE_SEND = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


class HttpPlatform(api.Platform):
    """Client of the platform's service at a base URL.

    A call provably had no effect if the connection could not be established
    or if the result header says so. Any other failure of a write leaves its
    outcome unknown.

    Attributes:
        base_url: Base URL of the service.
        call_timeout_ms: Timeout of a call, in milliseconds.
    """

    def __init__(
        self,
        base_url: str,
        call_timeout_ms: int = CALL_TIMEOUT_MS,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.base_url = base_url
        self.call_timeout_ms = call_timeout_ms
        self._tls = tls
        self._client = self._new_client(MAX_CONNECTIONS)
        # The pool's cost per call grows with its number of connections.
        # Watches occupy one connection each for a long time, so they use a
        # separate pool.
        self._watch_client = self._new_client(MAX_WATCH_CONNECTIONS)
        # The cost also grows with the number of calls queued in the pool:
        # each of them scans all connections whenever one is released. The
        # semaphore makes calls wait outside the pool instead.
        self._call_slots = anyio.Semaphore(MAX_CONNECTIONS)

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._client.aclose()
        await self._watch_client.aclose()

    def _new_client(self, max_connections: int) -> httpx.AsyncClient:
        return httpx.AsyncClient(
            base_url=self.base_url,
            verify=self._tls if self._tls is not None else True,
            trust_env=False,
            timeout=httpx.Timeout(
                None, connect=CONNECT_TIMEOUT_MS / MS_PER_SECOND
            ),
            limits=httpx.Limits(
                max_connections=max_connections,
                max_keepalive_connections=max_connections,
            ),
        )

    async def get(self, key: str) -> api.Record | None:
        """Returns the record of a key, or None if there is none."""
        response = await self._read(wire.RECORD_PATH, {"key": key})
        return _record_or_none(key, response)

    async def create(
        self, key: str, value: bytes, lease_id: str | None = None
    ) -> api.Record:
        """Creates a key that must not exist."""
        params: dict[str, str | int] = {"key": key}
        if lease_id is not None:
            params["lease_id"] = lease_id
        response = await self._write("POST", wire.RECORD_PATH, params, value)
        return api.Record(key, value, _revision_after_write(response))

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> api.Record:
        """Replaces the value of a key whose revision is ``revision``."""
        params: Params = {"key": key, "revision": revision}
        response = await self._write("PUT", wire.RECORD_PATH, params, value)
        return api.Record(key, value, _revision_after_write(response))

    async def delete(self, key: str, revision: int) -> None:
        """Deletes a key whose revision is ``revision``."""
        params: Params = {"key": key, "revision": revision}
        await self._write("DELETE", wire.RECORD_PATH, params, b"")

    async def watch(
        self, key: str, revision: int, timeout_ms: int
    ) -> api.Record | None:
        """Waits until the key's revision differs from ``revision``."""
        params: Params = {
            "key": key,
            "revision": revision,
            "timeout_ms": timeout_ms,
        }
        response = await self._read(
            wire.WATCH_PATH, params, timeout_ms + WATCH_MARGIN_MS
        )
        return _record_or_none(key, response)

    async def grant_lease(self, ttl_ms: int) -> api.Lease:
        """Returns a new lease."""
        response = await self._write(
            "POST", wire.LEASES_PATH, {"ttl_ms": ttl_ms}, b""
        )
        with _decode_error_means_unknown_outcome():
            return wire.decode_lease(response.content)

    async def renew_lease(self, lease_id: str) -> bool:
        """Renews a lease; returns False if it has expired."""
        response = await self._write(
            "PUT", wire.LEASES_PATH, {"lease_id": lease_id}, b""
        )
        result = response.headers.get(wire.RESULT_HEADER)
        return bool(result != wire.RESULT_ABSENT)

    async def list_vms(self) -> tuple[api.Vm, ...]:
        """Returns the live and leaving VMs; the list may be out of date."""
        response = await self._read(wire.VMS_PATH, {})
        try:
            return wire.decode_vms(response.content)
        except exceptions.DecodeError as error:
            raise exceptions.PlatformUnavailableError(error.detail) from error

    async def _read(
        self, path: str, params: Params, timeout_ms: int | None = None
    ) -> httpx.Response:
        try:
            response = await self._call("GET", path, params, b"", timeout_ms)
        except (httpx.HTTPError, TimeoutError) as error:
            raise _unavailable_error(error) from error
        absent = response.headers.get(wire.RESULT_HEADER) == wire.RESULT_ABSENT
        if response.is_success or absent:
            return response
        raise exceptions.PlatformUnavailableError(
            f"the platform responded with status {response.status_code}"
        )

    async def _write(
        self, method: str, path: str, params: Params, body: bytes
    ) -> httpx.Response:
        try:
            response = await self._call(method, path, params, body, None)
        except _ERRORS_BEFORE_SEND as error:
            raise _unavailable_error(error) from error
        except (httpx.HTTPError, TimeoutError) as error:
            raise exceptions.PlatformOutcomeUnknownError(
                f"no response from the platform: {type(error).__name__}"
            ) from error
        _raise_for_error_result(response)
        return response

    async def _call(
        self,
        method: str,
        path: str,
        params: Params,
        body: bytes,
        timeout_ms: int | None,
    ) -> httpx.Response:
        if timeout_ms is not None:
            with anyio.fail_after(timeout_ms / MS_PER_SECOND):
                return await self._watch_client.request(
                    method, path, params=params, content=body
                )
        with anyio.fail_after(self.call_timeout_ms / MS_PER_SECOND):
            async with self._call_slots:
                return await self._client.request(
                    method, path, params=params, content=body
                )


def _unavailable_error(error: Exception) -> exceptions.PlatformUnavailableError:
    return exceptions.PlatformUnavailableError(
        f"the platform is unreachable: {type(error).__name__}"
    )


def _raise_for_error_result(response: httpx.Response) -> None:
    if response.is_success:
        return
    result = response.headers.get(wire.RESULT_HEADER)
    if result == wire.RESULT_CONFLICT:
        raise exceptions.RevisionConflictError(response.text)
    if result == wire.RESULT_NO_EFFECT:
        raise exceptions.PlatformUnavailableError(response.text)
    raise exceptions.PlatformOutcomeUnknownError(
        f"the platform responded with status {response.status_code}"
    )


def _revision_after_write(response: httpx.Response) -> int:
    with _decode_error_means_unknown_outcome():
        return _revision(response)


def _record_or_none(key: str, response: httpx.Response) -> api.Record | None:
    if wire.RESULT_HEADER in response.headers:
        return None
    try:
        return api.Record(key, response.content, _revision(response))
    except exceptions.DecodeError as error:
        raise exceptions.PlatformUnavailableError(error.detail) from error


def _revision(response: httpx.Response) -> int:
    text = response.headers.get(wire.REVISION_HEADER, "")
    if not (text.isascii() and text.isdigit()):
        raise exceptions.DecodeError(
            f"invalid revision {text!r} in the platform's response"
        )
    return int(text)


@contextlib.contextmanager
def _decode_error_means_unknown_outcome() -> Iterator[None]:
    """Reports a malformed response to a write as an unknown outcome."""
    try:
        yield
    except exceptions.DecodeError as error:
        raise exceptions.PlatformOutcomeUnknownError(error.detail) from error
