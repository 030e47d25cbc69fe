"""The part of a large service's upstreams that one entry VM uses."""

from __future__ import annotations

from lovageyoke.config import model
from lovageyoke.membership import rendezvous

MIN_UPSTREAMS = 64
COVERAGE = 4


def select(
    upstreams: tuple[model.Upstream, ...],
    own_entry_id: str,
    entry_ids: tuple[str, ...],
    coverage: int = COVERAGE,
) -> tuple[model.Upstream, ...]:
    """Returns the upstreams that an entry uses.

    Each upstream takes the ``coverage`` entries that come first in its
    rendezvous order. So each is used by the same number of entries, all
    entries agree without talking, and a change of members moves few.

    Args:
        upstreams: All upstreams of the service.
        own_entry_id: This entry.
        entry_ids: All entries, this one included.
        coverage: Entries that use one upstream.
    """
    if len(upstreams) <= MIN_UPSTREAMS or len(entry_ids) <= coverage:
        return upstreams
    return tuple(
        each
        for each in upstreams
        if own_entry_id
        in rendezvous.ranked(each.upstream_id, entry_ids)[:coverage]
    )
