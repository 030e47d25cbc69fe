"""Moves old audit records out of a group's document.

For a given segment number, the oldest records of a document are always the
same: records are only appended, and are removed only in the write that
increments the segment count. A segment that was created before a crash
therefore holds exactly what a retry would write, and the retry accepts it. A
segment counts as archived once the document's segment count includes it.
"""

from __future__ import annotations

import attrs

from lovageyoke.config import document
from lovageyoke.config import groups
from lovageyoke.errors import exceptions
from lovageyoke.store import api

SEGMENT_RECORDS = 16
MAX_DOCUMENT_RECORDS = 32


def is_due(current: document.Document) -> bool:
    """Returns whether records should be archived before the next change."""
    return len(current.records) >= MAX_DOCUMENT_RECORDS


def next_segment(current: document.Document) -> document.Segment:
    """Returns the next segment, which holds the oldest records."""
    return document.Segment(current.records[:SEGMENT_RECORDS])


def without_oldest(current: document.Document) -> document.Document:
    """Returns the document without the records of its next segment."""
    return attrs.evolve(
        current,
        records=current.records[SEGMENT_RECORDS:],
        segments=current.segments + 1,
    )


async def move_oldest(
    platform: api.Platform, group: int, current: document.Document
) -> document.Document:
    """Creates the next segment and returns the shortened document.

    The caller writes the shortened document by compare-and-swap.

    Raises:
        PlatformError: The segment could not be confirmed to exist.
        DecodeError: The segment's key holds a different value.
    """
    key = groups.segment_key(group, current.segments)
    segment = next_segment(current)
    try:
        await platform.create(key, document.encode(segment))
    except (
        exceptions.RevisionConflictError,
        exceptions.PlatformOutcomeUnknownError,
    ):
        await _require_segment(platform, key, segment)
    return without_oldest(current)


async def read_segment(
    platform: api.Platform, group: int, segment: int
) -> document.Segment:
    """Returns an archived segment.

    Raises:
        PlatformError: The platform call failed.
        DecodeError: The segment is absent or malformed.
    """
    key = groups.segment_key(group, segment)
    record = await platform.get(key)
    if record is None:
        raise exceptions.DecodeError(f"audit segment {key!r} is absent")
    return document.decode_segment(record.value)


async def _require_segment(
    platform: api.Platform, key: str, segment: document.Segment
) -> None:
    record = await platform.get(key)
    if record is None:
        raise exceptions.PlatformUnavailableError(
            f"audit segment {key!r} was not created"
        )
    if document.decode_segment(record.value) != segment:
        raise exceptions.DecodeError(
            f"audit segment {key!r} holds different records"
        )
