"""Each store response maps to a result or a typed exception."""

from __future__ import annotations

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import platform_store
from fakes import positions
from lovageyoke.errors import exceptions
from lovageyoke.hop import messages
from lovageyoke.platform import store_client
from lovageyoke.store import revisions

pytestmark = pytest.mark.anyio


async def test_get_returns_item_and_revision(
    store: platform_store.PlatformStore, client: store_client.StoreClient
) -> None:
    store.put("a", b"\x00value")
    item, position = await client.get("a")
    assert_that(
        item,
        matchers.Equals(revisions.Item("a", b"\x00value", positions.at(2))),
    )
    assert_that(position, matchers.Equals(positions.at(2)))
    missing, _ = await client.get("b")
    assert_that(missing, matchers.Is(None))


async def test_listing_is_fetched_in_pages(
    store: platform_store.PlatformStore, client: store_client.StoreClient
) -> None:
    for index in range(120):
        store.put(f"servers/{index:03}", b"x")
    store.put("other", b"x")
    listing = await client.list_items("servers/")
    assert_that(listing.items, matchers.HasLength(120))
    assert_that(client.calls["list"], matchers.Equals(3))


async def test_watch_returns_writes_and_deletions(
    store: platform_store.PlatformStore, client: store_client.StoreClient
) -> None:
    store.put("a", b"1")
    store.remove("a")
    changes = await client.watch("", positions.at(1), 50.0)
    assert_that(
        changes.events,
        matchers.Equals(
            (
                revisions.Change("a", positions.at(2), b"1"),
                revisions.Change("a", positions.at(3), None),
            )
        ),
    )
    quiet = await client.watch("", changes.position, 20.0)
    assert_that(quiet.events, matchers.Equals(()))


async def test_watch_of_compacted_history_raises(
    store: platform_store.PlatformStore, client: store_client.StoreClient
) -> None:
    store.compacted_revision = 10
    with pytest.raises(exceptions.HistoryCompactedError):
        await client.watch("", positions.at(1), 50.0)


async def test_expired_lease_raises(
    store: platform_store.PlatformStore, client: store_client.StoreClient
) -> None:
    lease = await client.grant_lease(3_000.0)
    await client.commit([revisions.Write("me", b"1", lease)])
    await client.renew_lease(lease)
    store.leases.clear()
    with pytest.raises(exceptions.LeaseExpiredError):
        await client.renew_lease(lease)
    with pytest.raises(exceptions.LeaseExpiredError):
        await client.commit([revisions.Write("me", b"1", lease)])


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (503, exceptions.PlatformUnavailableError),
        (429, exceptions.RateLimitedError),
        (412, exceptions.RevisionConflictError),
    ],
)
async def test_error_status_raises(
    store: platform_store.PlatformStore,
    client: store_client.StoreClient,
    status: int,
    error: type[Exception],
) -> None:
    store.status = status
    with pytest.raises(error):
        await client.get("a")


@pytest.mark.parametrize(
    "items",
    [
        [{"value": "", "revision": 3}],
        [{"key": "a", "value": "", "revision": "3"}],
        [{"key": "a", "value": "", "revision": 1e400}],
        [["key", "a"]],
        {"key": "a"},
        7,
    ],
)
async def test_malformed_items_raise_one_type_of_error(
    store: platform_store.PlatformStore,
    client: store_client.StoreClient,
    monkeypatch: pytest.MonkeyPatch,
    items: object,
) -> None:
    def respond(_query: object) -> messages.Response:
        return platform_store.answer(200, {"items": items, "at": 3})

    monkeypatch.setattr(store, "range", respond)
    with pytest.raises(exceptions.PlatformOutcomeUnknownError):
        await client.list_items("a")


async def test_timeout_is_unknown_outcome_and_closes_connection(
    store: platform_store.PlatformStore, client: store_client.StoreClient
) -> None:
    store.silent = True
    with pytest.raises(exceptions.PlatformOutcomeUnknownError):
        await client.call("get", "GET", "/kv-key?key=a", timeout_ms=20.0)
    assert_that(client.idle, matchers.Equals([]))


async def test_connection_refused_is_unavailable() -> None:
    client = store_client.StoreClient("127.0.0.1", 9)
    with pytest.raises(exceptions.PlatformUnavailableError):
        await client.get("a")
