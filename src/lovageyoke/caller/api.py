"""Interfaces that the caller application depends on."""

from __future__ import annotations

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from typing import Any

from lovageyoke.config import model
from lovageyoke.routing import api as routing_api

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
DrainListener = Callable[[str, str], None]
PolicyFactory = Callable[[model.Service], routing_api.RoutingPolicy]


class ServiceDirectory(abc.ABC):
    """Looks up services of the current configuration."""

    @abc.abstractmethod
    def service_for(
        self, host: str, path: str
    ) -> model.VersionedService | None:
        """Returns the service that matches a host and path, None if none."""
