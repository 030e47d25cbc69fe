"""Records and keys of the segmented log on the platform."""

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
RECORD_OVERHEAD_BYTES = 400

IdentityKey = tuple[str, str]
T = TypeVar("T")

CONVERTER = cattrs_cbor2.make_converter()


@attrs.frozen
class Completion:
    """A completion in a batch.

    Attributes:
        scope: Scope of the claim.
        identity: Identity of the claim.
        attempt_id: The attempt that ran.
        retention_ms: How long to retain the outcome, in milliseconds.
        answer: The response to store, if any.
    """

    scope: str
    identity: str
    attempt_id: str
    retention_ms: int
    answer: api.StoredResponse | None


@attrs.frozen
class Release:
    """A release in a batch.

    Attributes:
        scope: Scope of the claim.
        identity: Identity of the claim.
        attempt_id: The attempt, which has not run and never will.
        retention_ms: How long to reject the attempt, in milliseconds.
    """

    scope: str
    identity: str
    attempt_id: str
    retention_ms: int


@attrs.frozen
class Segment:
    """One batch of a shard's log, written atomically.

    Records apply in the order claims, completions, releases.

    Attributes:
        number: Position in the log, from 1; the segment's slot in the ring is
            its number modulo ``RING_SLOTS``.
        epoch: Epoch of the owner that wrote it; never decreases in the log.
        writer: Entry ID of the owner.
        log_time_ms: Accumulated monotonic clock time of all owners.
        claims: Claims that are granted once the segment is written.
        completions: Completions.
        releases: Releases.
    """

    number: int
    epoch: int
    writer: str
    log_time_ms: int
    claims: tuple[api.Claim, ...] = ()
    completions: tuple[Completion, ...] = ()
    releases: tuple[Release, ...] = ()


class Status(enum.Enum):
    """Status of an identity."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


@attrs.frozen
class IdentityRecord:
    """Retained state of an identity.

    Attributes:
        scope: Its scope.
        identity: The identity.
        fingerprint: Fingerprint of the last granted request.
        attempt_id: The attempt that was granted or released last.
        status: Its status.
        expires_ms: Log time at which the record expires, in milliseconds.
        answer: The stored response, if any.
        spent: IDs of released attempts, which are never granted again.
    """

    scope: str
    identity: str
    fingerprint: str
    attempt_id: str
    status: Status
    expires_ms: int
    answer: api.StoredResponse | None = None
    spent: tuple[str, ...] = ()


@attrs.frozen
class Run:
    """Part of a snapshot.

    Attributes:
        records: Identity records; those of later runs supersede earlier ones.
    """

    records: tuple[IdentityRecord, ...]


@attrs.frozen
class RunRef:
    """References the content of a run slot.

    Attributes:
        slot: The slot.
        token: Write token of the run.
        tier: Number of merges its records went through; runs of the top tier
            are kept until they expire.
        expires_ms: Log time at which all of its records have expired.
    """

    slot: int
    token: bytes
    tier: int
    expires_ms: int


@attrs.frozen
class Head:
    """The root of a shard's log.

    Attributes:
        epoch: Epoch of the owner; each takeover increments it.
        writer: Entry ID of the owner.
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
    """Returns an encoded value, prefixed by its write token."""
    return token + CONVERTER.dumps(value)


def write_token_of(data: bytes) -> bytes:
    """Returns the write token of an encoded value."""
    return data[:TOKEN_BYTES]


def decode(data: bytes, value_type: type[T]) -> T:
    """Returns the value that ``data`` encodes.

    Raises:
        DecodeError: The bytes don't encode a value of that type.
    """
    try:
        return CONVERTER.loads(data[TOKEN_BYTES:], value_type)
    except Exception as error:
        # The CBOR library raises various types on malformed bytes.
        raise exceptions.DecodeError(f"malformed log value: {error}") from error


def response_bytes(response: api.StoredResponse | None) -> int:
    """Returns the approximate size of a stored response in bytes."""
    if response is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in response.headers)
    return headers + len(response.body)


def record_bytes(record: IdentityRecord) -> int:
    """Returns the approximate encoded size of a record in bytes."""
    spent_bytes = sum(len(attempt_id) + 2 for attempt_id in record.spent)
    return RECORD_OVERHEAD_BYTES + spent_bytes + response_bytes(record.answer)
