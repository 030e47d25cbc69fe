"""Messages between entries about claims."""

from __future__ import annotations

import attrs

from lovageyoke.idempotency import api
from lovageyoke.idempotency import records
from lovageyoke.peer import api as peer_api


@attrs.frozen
class ClaimRequest(peer_api.Message):
    """Asks a shard's owner for a claim; may be repeated.

    Attributes:
        shard: The shard.
        claim: The claim.
    """

    shard: int
    claim: api.Claim


@attrs.frozen
class CompleteRequest(peer_api.Message):
    """Asks a shard's owner to record a completion; may be repeated.

    Attributes:
        shard: The shard.
        entry: The completion.
    """

    shard: int
    entry: records.CompleteEntry


@attrs.frozen
class ReleaseRequest(peer_api.Message):
    """Asks a shard's owner to record a release; may be repeated.

    Attributes:
        shard: The shard.
        entry: The release.
    """

    shard: int
    entry: records.ReleaseEntry


@attrs.frozen
class ClaimReply(peer_api.Message):
    """The verdict on a claim; GRANTED is durable.

    Attributes:
        result: The verdict.
    """

    result: api.ClaimResult


@attrs.frozen
class RecordedReply(peer_api.Message):
    """A completion or release is durable."""


@attrs.frozen
class MovedReply(peer_api.Message):
    """The shard belongs to another entry, which knows what was recorded.

    Attributes:
        owner: The entry to ask, or "" when unknown.
    """

    owner: str


@attrs.frozen
class RefusedReply(peer_api.Message):
    """The owner can't record the entry.

    Attributes:
        detail: Why.
        recorded: Whether the entry may be recorded none the less.
    """

    detail: str
    recorded: bool


REQUESTS = (ClaimRequest, CompleteRequest, ReleaseRequest)
REPLIES = (ClaimReply, RecordedReply, MovedReply, RefusedReply)
TYPES: tuple[type[peer_api.Message], ...] = REQUESTS + REPLIES

Request = ClaimRequest | CompleteRequest | ReleaseRequest
