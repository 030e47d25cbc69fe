"""Each answer of the store counts in the era that it states."""

from __future__ import annotations

import contextlib

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import platform_store
from fakes import positions
from lovageyoke.errors import exceptions
from lovageyoke.hop import messages
from lovageyoke.platform import eras
from lovageyoke.platform import store_client

pytestmark = pytest.mark.anyio


def respond_with(era: bytes | None) -> messages.Response:
    headers = [] if era is None else [(b"store-era", era)]
    return messages.Response(200, b"-", headers)


async def test_positions_are_of_the_era_of_the_answer(
    store: platform_store.PlatformStore, client: store_client.StoreClient
) -> None:
    store.put("a", b"1")
    store.era = 4
    listing = await client.list_items("")
    changes = await client.watch("", positions.at(1, 4), 20.0)
    expected = positions.at(2, 4)
    assert_that(listing.position, matchers.Equals(expected))
    assert_that(listing.items[0].position, matchers.Equals(expected))
    assert_that(changes.position, matchers.Equals(expected))
    assert_that(changes.events[0].position, matchers.Equals(expected))
    assert_that(client.era, matchers.Equals(4))


@pytest.mark.parametrize("status", [404, 410, 412, 429, 503])
async def test_an_error_tells_of_a_new_era(
    store: platform_store.PlatformStore,
    client: store_client.StoreClient,
    status: int,
) -> None:
    await client.list_items("")
    store.era = 2
    store.status = status
    with contextlib.suppress(exceptions.PlatformError):
        await client.watch("", positions.at(1), 20.0)
    assert_that(client.era, matchers.Equals(2))


async def test_an_answer_of_an_earlier_era_is_dropped(
    store: platform_store.PlatformStore, client: store_client.StoreClient
) -> None:
    # Guards against an answer that was sent before the store's return.
    store.era = 3
    await client.list_items("")
    store.era = 2
    with pytest.raises(exceptions.ObsoleteResponseError):
        await client.list_items("")
    store.status = 503
    with pytest.raises(exceptions.PlatformUnavailableError):
        await client.list_items("")
    assert_that(client.era, matchers.Equals(3))


async def test_a_listing_whose_pages_differ_in_era_begins_again(
    store: platform_store.PlatformStore,
    client: store_client.StoreClient,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against entries of two histories in one listing.
    for index in range(platform_store.PAGE + 1):
        store.put(f"servers/{index:03}", b"x")
    await client.list_items("servers/")
    respond = store.range

    def return_after_a_page(query: dict[str, str]) -> messages.Response:
        if "after" in query and store.era == 1:
            store.era = 2
            store.remove("servers/000")
        return respond(query)

    monkeypatch.setattr(store, "range", return_after_a_page)
    listing = await client.list_items("servers/")
    assert_that(listing.items, matchers.HasLength(platform_store.PAGE))
    assert_that(listing.position.era, matchers.Equals(2))


@pytest.mark.parametrize("era", [b"two", b"-1", b"0", b"", b"1.5", b"9" * 40])
def test_an_invalid_era_is_rejected(era: bytes) -> None:
    tracker = eras.EraTracker()
    with pytest.raises(exceptions.PlatformOutcomeUnknownError):
        tracker.check(respond_with(era))
    assert_that(tracker.highest, matchers.Equals(0))


@pytest.mark.parametrize("era", [None, b"%d" % (eras.MAX_STEP + 4)])
def test_an_era_that_is_missing_or_far_off_is_rejected(
    era: bytes | None,
) -> None:
    # Guards against a damaged header that hides all later answers.
    tracker = eras.EraTracker()
    tracker.check(respond_with(b"3"))
    with pytest.raises(exceptions.PlatformOutcomeUnknownError):
        tracker.check(respond_with(era))
    assert_that(tracker.check(respond_with(b"4")), matchers.Equals(4))


def test_a_store_without_eras_is_in_era_0() -> None:
    tracker = eras.EraTracker()
    assert_that(tracker.check(respond_with(None)), matchers.Equals(0))
