"""Rendezvous hashing: D. G. Thaler and C. V. Ravishankar, 1998."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score(key: str, entry_id: str) -> int:
    """Returns the score of an entry for a key, a 64-bit number."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{entry_id}".encode())


def ranked(key: str, entry_ids: Iterable[str]) -> list[str]:
    """Returns entries by falling score for ``key``.

    Removing an entry keeps the order of the others, so only the keys that it
    came first for move.
    """
    return sorted(entry_ids, key=lambda each: (-score(key, each), each))


def owner(key: str, entry_ids: Iterable[str]) -> str | None:
    """Returns the entry with the highest score, or None without entries."""
    return max(
        entry_ids, key=lambda each: (score(key, each), each), default=None
    )
