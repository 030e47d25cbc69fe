"""Rendezvous hashing (D. G. Thaler and C. V. Ravishankar, 1998)."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score(key: str, entry_id: str) -> int:
    """Returns the 64-bit score of an entry VM for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{entry_id}".encode())


def ranked(key: str, entry_ids: Iterable[str]) -> list[str]:
    """Returns entry ids by descending score for ``key``.

    Removing an entry VM keeps the order of the others, so only the keys for
    which it ranked first move.
    """
    return sorted(entry_ids, key=lambda each: (-score(key, each), each))


def owner(key: str, entry_ids: Iterable[str]) -> str | None:
    """Returns the entry id with the highest score, or None if empty."""
    return max(
        entry_ids, key=lambda each: (score(key, each), each), default=None
    )
