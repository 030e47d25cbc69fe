"""Claim protocol messages exchanged between entry VMs."""

from __future__ import annotations

import attrs

from lovageyoke.idempotency import api
from lovageyoke.idempotency import records
from lovageyoke.peer import api as peer_api


@attrs.frozen
class ClaimRequest(peer_api.Message):
    """Requests a claim from a shard's owner; safe to retry.

    Attributes:
        shard: The shard.
        claim: The claim.
    """

    shard: int
    claim: api.Claim


@attrs.frozen
class CompleteRequest(peer_api.Message):
    """Requests that a shard's owner record a completion; safe to retry.

    Attributes:
        shard: The shard.
        entry: The completion.
    """

    shard: int
    entry: records.Completion


@attrs.frozen
class ReleaseRequest(peer_api.Message):
    """Requests that a shard's owner record a release; safe to retry.

    Attributes:
        shard: The shard.
        entry: The release.
    """

    shard: int
    entry: records.Release


@attrs.frozen
class ClaimReply(peer_api.Message):
    """The result of a claim; GRANTED is durable.

    Attributes:
        result: The result.
    """

    result: api.ClaimResult


@attrs.frozen
class RecordedReply(peer_api.Message):
    """Confirms that a completion or release is durable."""


@attrs.frozen
class MovedReply(peer_api.Message):
    """Redirects to the shard's owner, which has its complete log.

    Attributes:
        owner: ID of the owning entry VM, or "" if unknown.
    """

    owner: str


@attrs.frozen
class RefusedReply(peer_api.Message):
    """Reports that the owner did not confirm the request.

    Attributes:
        detail: The reason.
        recorded: Whether the request may still be recorded.
    """

    detail: str
    recorded: bool


REQUESTS = (ClaimRequest, CompleteRequest, ReleaseRequest)
REPLIES = (ClaimReply, RecordedReply, MovedReply, RefusedReply)
TYPES: tuple[type[peer_api.Message], ...] = REQUESTS + REPLIES

Request = ClaimRequest | CompleteRequest | ReleaseRequest
