"""Maps services to a fixed number of groups and platform keys."""

from __future__ import annotations

import xxhash

GROUP_COUNT = 64


def group_of(service_name: str) -> int:
    """Returns the group number of a service, from 0."""
    return xxhash.xxh64_intdigest(service_name.encode()) % GROUP_COUNT


def document_key(group: int) -> str:
    """Returns the key of a group's document."""
    return f"config/{group:02d}"


def segment_key(group: int, segment: int) -> str:
    """Returns the key of a segment of a group's archived audit records."""
    return f"audit/{group:02d}/{segment:08d}"
