"""What the segmented log writes to the platform."""

from __future__ import annotations

import enum
from typing import TypeVar

import attrs
from cattrs.preconf import cbor2 as cattrs_cbor2

from lovageyoke.errors import exceptions
from lovageyoke.idempotency import api

KEY_PREFIX = "claims/log"
TOKEN_BYTES = 16
RING_SLOTS = 64
RUN_SLOTS = 400
TOP_TIER = 9
MAX_BATCH_BYTES = 800_000
MAX_RUN_BYTES = 500_000
ENTRY_OVERHEAD_BYTES = 400

Key = tuple[str, str]
T = TypeVar("T")

CONVERTER = cattrs_cbor2.make_converter()


@attrs.frozen
class CompleteEntry:
    """A completion in a batch.

    Attributes:
        scope: Scope of the claim.
        identity: Identity of the claim.
        attempt_id: The attempt that ran.
        retention_ms: How long to remember the outcome, in milliseconds.
        answer: The answer to keep, if any.
    """

    scope: str
    identity: str
    attempt_id: str
    retention_ms: int
    answer: api.StoredAnswer | None


@attrs.frozen
class ReleaseEntry:
    """A release in a batch.

    Attributes:
        scope: Scope of the claim.
        identity: Identity of the claim.
        attempt_id: The attempt that has not run and never will.
        retention_ms: How long to refuse the attempt, in milliseconds.
    """

    scope: str
    identity: str
    attempt_id: str
    retention_ms: int


@attrs.frozen
class Segment:
    """One batch of a shard's log; it is written whole or not at all.

    Entries apply in the order claims, completions, releases.

    Attributes:
        number: Position in the log, from 1; the segment's slot in the ring is
            its number modulo ``RING_SLOTS``.
        epoch: Reign of the owner that wrote it; it never falls along the log.
        writer: The owner's entry id.
        log_time_ms: Time that owners have counted on their monotonic clocks.
        claims: Claims that are granted when the segment is written.
        completions: Completions.
        releases: Releases.
    """

    number: int
    epoch: int
    writer: str
    log_time_ms: int
    claims: tuple[api.Claim, ...] = ()
    completions: tuple[CompleteEntry, ...] = ()
    releases: tuple[ReleaseEntry, ...] = ()


class Status(enum.Enum):
    """Status of an identity."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


@attrs.frozen
class IdentityRecord:
    """What is remembered of an identity.

    Attributes:
        scope: Its scope.
        identity: The identity.
        fingerprint: Fingerprint of the last granted request.
        attempt_id: The attempt that holds or held the claim.
        status: Its status.
        expires_ms: Log time after which it is forgotten, in milliseconds.
        answer: The stored answer, if any.
        spent: Attempts that were released and are never granted again.
    """

    scope: str
    identity: str
    fingerprint: str
    attempt_id: str
    status: Status
    expires_ms: int
    answer: api.StoredAnswer | None = None
    spent: tuple[str, ...] = ()


@attrs.frozen
class Run:
    """Part of a snapshot.

    Attributes:
        records: Identities; those of later runs replace earlier ones.
    """

    records: tuple[IdentityRecord, ...]


@attrs.frozen
class RunRef:
    """Names the content of a run slot.

    Attributes:
        slot: The slot.
        token: Token of the write.
        tier: How often its records were merged; those of the top tier stay
            until they expire.
        expires_ms: Log time after which none of its records is needed.
    """

    slot: int
    token: bytes
    tier: int
    expires_ms: int


@attrs.frozen
class Head:
    """The root of a shard's log.

    Attributes:
        epoch: Reign that wrote it; each takeover adds one.
        writer: The owner's entry id.
        shard_count: Number of shards of the log; it never changes.
        covered: Number of the last segment that the snapshot includes.
        log_time_ms: Log time of that segment.
        runs: Runs of the snapshot, oldest first.
    """

    epoch: int
    writer: str
    shard_count: int
    covered: int = 0
    log_time_ms: int = 0
    runs: tuple[RunRef, ...] = ()


def head_key(shard: int) -> str:
    """Returns the key of a shard's head."""
    return f"{KEY_PREFIX}/{shard}/head"


def segment_key(shard: int, number: int) -> str:
    """Returns the key of the ring slot of a segment."""
    return f"{KEY_PREFIX}/{shard}/segment/{number % RING_SLOTS}"


def run_key(shard: int, slot: int) -> str:
    """Returns the key of a run slot."""
    return f"{KEY_PREFIX}/{shard}/run/{slot}"


def encode(token: bytes, value: Segment | Run | Head) -> bytes:
    """Returns a value after the token that tells its write from others."""
    return token + CONVERTER.dumps(value)


def token_of(data: bytes) -> bytes:
    """Returns the token of a value."""
    return data[:TOKEN_BYTES]


def decode(data: bytes, value_type: type[T]) -> T:
    """Returns the value in ``data``.

    Raises:
        DecodeError: The bytes are not a value of that type.
    """
    try:
        return CONVERTER.loads(data[TOKEN_BYTES:], value_type)
    except Exception as error:
        # The CBOR library raises many types on malformed bytes.
        raise exceptions.DecodeError(f"bad log value: {error}") from error


def answer_bytes(answer: api.StoredAnswer | None) -> int:
    """Returns the approximate size of a stored answer in bytes."""
    if answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return headers + len(answer.body)


def record_bytes(record: IdentityRecord) -> int:
    """Returns the approximate encoded size of a record in bytes."""
    spent = sum(len(attempt_id) + 2 for attempt_id in record.spent)
    return ENTRY_OVERHEAD_BYTES + spent + answer_bytes(record.answer)
