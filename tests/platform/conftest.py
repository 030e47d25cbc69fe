"""Fixtures: a fake of the platform's store and a client of it."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from fakes import handlers
from fakes import platform_store
from lovageyoke.platform import store_client


@pytest.fixture
def store() -> platform_store.PlatformStore:
    return platform_store.PlatformStore()


@pytest.fixture
async def client(
    store: platform_store.PlatformStore,
) -> AsyncIterator[store_client.StoreClient]:
    async with handlers.Listener(handlers.Handler(store.respond)) as listener:
        client = store_client.StoreClient("127.0.0.1", listener.port)
        yield client
        client.close()
