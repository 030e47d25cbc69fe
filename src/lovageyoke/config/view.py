"""The active configuration of this entry VM."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Mapping
import types

import anyio
import attrs

from lovageyoke.config import groups
from lovageyoke.config import model
from lovageyoke.config import routes
from lovageyoke.config import updates


@attrs.frozen
class ConfigChanged:
    """Notifies a subscriber that services have changed.

    Attributes:
        names: Names of the changed services; ConfigView holds the content.
    """

    names: frozenset[str]


class Subscription:
    """Changes for one subscriber; pending changes are merged."""

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._changed = anyio.Event()

    def publish(self, names: frozenset[str]) -> None:
        """Adds changes."""
        self._names |= names
        self._changed.set()

    async def receive(self) -> ConfigChanged:
        """Waits for changes and returns all that are pending."""
        await self._changed.wait()
        self._changed = anyio.Event()
        names, self._names = frozenset(self._names), set()
        return ConfigChanged(names)

    async def __aiter__(self) -> AsyncIterator[ConfigChanged]:
        while True:
            yield await self.receive()


class ConfigView:
    """Services by name, with versions that never decrease.

    Attributes:
        sequences: For each group, the sequence up to which all changes are
            known.
    """

    def __init__(self) -> None:
        self.sequences = [0] * groups.GROUP_COUNT
        self._groups: list[dict[str, updates.ServiceUpdate]] = [
            {} for _ in range(groups.GROUP_COUNT)
        ]
        self._services: dict[str, model.VersionedService] = {}
        self._routes = routes.RouteIndex()
        self._subscriptions: list[Subscription] = []

    def apply(self, update: updates.GroupUpdate) -> bool:
        """Applies the service versions that are newer than the known ones.

        Args:
            update: Changes of a group. The group's sequence advances only if
                there is no gap between it and the update.

        Returns:
            Whether any part of the update was new.
        """
        changed = frozenset(
            each.name
            for each in update.services
            if self._apply_service(update.group, each)
        )
        known = self.sequences[update.group]
        advanced = update.base <= known < update.sequence
        if advanced:
            self.sequences[update.group] = update.sequence
        if changed:
            for subscription in self._subscriptions:
                subscription.publish(changed)
        return advanced or bool(changed)

    def update_since(self, group: int, base: int) -> updates.GroupUpdate:
        """Returns the changes of a group after a sequence."""
        services = tuple(
            each
            for _, each in sorted(self._groups[group].items())
            if each.sequence > base
        )
        return updates.GroupUpdate(group, base, self.sequences[group], services)

    def services(self) -> Mapping[str, model.VersionedService]:
        """Returns all services by name, including removed ones."""
        return types.MappingProxyType(self._services)

    def service(self, name: str) -> model.VersionedService | None:
        """Returns a service, or None if it never existed."""
        return self._services.get(name)

    def service_for(
        self, host: str, path: str
    ) -> model.VersionedService | None:
        """Returns the service that matches a request, or None.

        Args:
            host: Value of the Host header.
            path: Path of the request, without its query.
        """
        name = self._routes.find(host, path)
        return None if name is None else self._services[name]

    def services_with_same_selector(self, service: model.Service) -> set[str]:
        """Returns the names of other services that share a selector."""
        return self._routes.services_with_same_selector(service)

    def subscribe(self) -> Subscription:
        """Returns a new subscription to changes from now on."""
        subscription = Subscription()
        self._subscriptions.append(subscription)
        return subscription

    def unsubscribe(self, subscription: Subscription) -> None:
        """Ends a subscription."""
        self._subscriptions.remove(subscription)

    def _apply_service(self, group: int, update: updates.ServiceUpdate) -> bool:
        known = self._services.get(update.name)
        if known is not None:
            if known.version >= update.version:
                return False
            if known.service is not None:
                self._routes.remove(known.service)
        if update.service is not None:
            self._routes.add(update.service)
        self._groups[group][update.name] = update
        self._services[update.name] = update.versioned()
        return True
