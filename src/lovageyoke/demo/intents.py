"""The demonstration's services, like those of the brief's bookings firm."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

TEAM = "squares"
DOMAINS = ("dk-east-a", "dk-east-b", "dk-east-c")
PROBES_PER_S = 12.0


@attrs.frozen
class Place:
    """Where a stand-in upstream listens.

    Attributes:
        upstream_id: Its id.
        port: Its port on loopback.
    """

    upstream_id: str
    port: int


BOOKING_RULES = """
[[unrepeatable]]
methods = ["POST"]
path_prefix = "/bookings"
identity_header = "idempotency-key"
missing = "refuse"
"""


def booking(places: Iterable[Place]) -> str:
    """Returns the intent of the booking service."""
    return _intent("booking", "/bookings", places) + BOOKING_RULES


def maps(places: Iterable[Place]) -> str:
    """Returns the intent of the map service."""
    return _intent("maps", "/maps", places)


def scans(places: Iterable[Place]) -> str:
    """Returns the intent of the scan archive."""
    return _intent("scans", "/scans", places)


def _intent(name: str, prefix: str, places: Iterable[Place]) -> str:
    lines = [
        f'name = "{name}"',
        f'team = "{TEAM}"',
        f'path_prefixes = ["{prefix}"]',
        "[routing]",
        f"probes_per_s = {PROBES_PER_S}",
    ]
    for index, place in enumerate(places):
        lines += [
            "[[upstreams]]",
            f'upstream_id = "{place.upstream_id}"',
            'address = "127.0.0.1"',
            f"port = {place.port}",
            f'failure_domain = "{DOMAINS[index % len(DOMAINS)]}"',
        ]
    return "\n".join(lines) + "\n"
