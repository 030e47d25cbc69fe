"""Updates of a group, exchanged between entry VMs."""

from __future__ import annotations

import attrs

from lovageyoke.config import document
from lovageyoke.config import model


@attrs.frozen
class ServiceUpdate:
    """The state of one service.

    Attributes:
        name: Its name.
        version: Its version.
        sequence: Sequence of its group at its last change.
        service: Its content, or None if it is removed.
    """

    name: str
    version: int
    sequence: int
    service: model.Service | None

    def versioned(self) -> model.VersionedService:
        """Returns the content with its version."""
        return model.VersionedService(self.version, self.service)


@attrs.frozen
class GroupUpdate:
    """All changes of a group between two sequences.

    Attributes:
        group: The group.
        base: Sequence before the update.
        sequence: Sequence after the update.
        services: Services that changed after ``base``.
    """

    group: int
    base: int
    sequence: int
    services: tuple[ServiceUpdate, ...]


def from_document(
    group: int, current: document.Document, base: int = 0
) -> GroupUpdate:
    """Returns the update from ``base`` to a document."""
    services = tuple(
        ServiceUpdate(
            name,
            service_state.version,
            service_state.sequence,
            service_state.service,
        )
        for name, service_state in sorted(current.entries.items())
        if service_state.sequence > base
    )
    return GroupUpdate(group, base, current.sequence, services)
