"""Fake of the platform's key-value store, per its documentation."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from typing import Any
import urllib.parse

import attrs

from lovageyoke.hop import messages

PAGE = 50


@attrs.frozen
class Copy:
    """State of a store at a revision."""

    items: dict[str, tuple[bytes, int, int]]
    events: list[dict[str, Any]]
    revision: int


class PlatformStore:
    """Serves the store's HTTP API from memory and injects faults.

    Attributes:
        items: Value, revision and lease by key.
        events: All changes, oldest first.
        revision: The store's current revision.
        era: Value of the era header; it rises with each return from a copy.
            None to send none.
        compacted_revision: Changes up to this revision have been compacted.
        status: Status code that overrides all responses, or None.
        silent: Whether requests are left unanswered.
        leases: IDs of the active leases.
        calls: Paths of the received requests, in order.
    """

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 1
        self.era: int | None = 1
        self.compacted_revision = 0
        self.status: int | None = None
        self.silent = False
        self.leases: set[int] = set()
        self.calls: list[str] = []
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        self.items[key] = (value, self.revision, lease)
        self.publish(self.item(key))

    def remove(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self.publish({"key": key, "revision": self.revision, "deleted": True})

    def copy(self) -> Copy:
        return Copy(dict(self.items), list(self.events), self.revision)

    def restore(self, copy: Copy) -> None:
        """Returns to a copy in a new era; its leases are gone."""
        self.items = dict(copy.items)
        self.events = list(copy.events)
        self.revision = copy.revision
        self.leases = set()
        self.era = (self.era or 0) + 1
        self.changed.set()
        self.changed = asyncio.Event()

    def publish(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key: str) -> dict[str, Any]:
        value, revision, lease = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created_at": revision,
            "lease": lease,
        }

    async def respond(
        self, request: messages.Request
    ) -> messages.Response | None:
        response = await self.answer(request)
        if self.era is not None:
            era = str(self.era).encode()
            response.headers.append((b"store-era", era))
        return response

    async def answer(self, request: messages.Request) -> messages.Response:
        self.calls.append(request.path)
        if self.silent:
            await asyncio.sleep(60.0)
        if self.status is not None:
            return answer(self.status, {})
        query = dict(
            urllib.parse.parse_qsl(
                request.target.partition(b"?")[2].decode(),
                keep_blank_values=True,
            )
        )
        body = json.loads(request.body) if request.body else {}
        if request.path == "/kv-key":
            return self.get(query["key"])
        if request.path == "/kv-range":
            return self.range(query)
        if request.path == "/kv-watch":
            return await self.watch(query)
        if request.path == "/kv-txn":
            return self.commit(body)
        return self.lease(request.path)

    def get(self, key: str) -> messages.Response:
        if key not in self.items:
            return answer(404, {"at": self.revision})
        return answer(200, {**self.item(key), "at": self.revision})

    def range(self, query: dict[str, str]) -> messages.Response:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        page = [self.item(key) for key in keys[:PAGE]]
        more = len(keys) > PAGE
        return answer(
            200, {"items": page, "has_more": more, "at": self.revision}
        )

    async def watch(self, query: dict[str, str]) -> messages.Response:
        after = int(query["after"])
        if not self.compacted_revision <= after <= self.revision:
            return answer(410, {})
        found = self.events_after(query["prefix"], after)
        if not found:
            wait_s = int(query["wait_ms"]) / 1_000.0
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
            found = self.events_after(query["prefix"], after)
        return answer(200, {"events": found, "at": self.revision})

    def events_after(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            each
            for each in self.events
            if each["revision"] > after and each["key"].startswith(prefix)
        ]

    def commit(self, body: dict[str, Any]) -> messages.Response:
        for row in body["set_keys"]:
            if row["lease"] and row["lease"] not in self.leases:
                return answer(404, {})
        for row in body["set_keys"]:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row["lease"])
        return answer(200, {"revision": self.revision})

    def lease(self, path: str) -> messages.Response:
        if path == "/kv-lease":
            lease = 77_000 + len(self.leases)
            self.leases.add(lease)
            return answer(200, {"lease": lease, "ttl_time": "3000ms"})
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return answer(404, {})
        return answer(200, {"ttl_time": "3000ms"})


def answer(status: int, body: dict[str, Any]) -> messages.Response:
    return messages.Response(
        status,
        b"-",
        [(b"content-type", b"application/json")],
        json.dumps(body).encode(),
    )
