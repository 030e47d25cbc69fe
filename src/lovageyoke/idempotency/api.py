"""Interface of the at-most-once log."""

from __future__ import annotations

import abc
import enum

import attrs

MAX_STORED_ANSWER_BYTES = 16_384


@attrs.frozen
class StoredAnswer:
    """An answer that is kept for repeats of its request.

    Attributes:
        status: HTTP status code.
        headers: Response headers.
        body: The whole body, at most ``MAX_STORED_ANSWER_BYTES``.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@attrs.frozen
class Claim:
    """A request's claim to be the one that runs.

    Attributes:
        scope: Service and caller credential, hashed.
        identity: Identity of the request in its scope.
        fingerprint: Hash of method, target and body.
        attempt_id: Unique to this attempt; asking again with the same one
            settles a lost answer.
        retention_ms: How long the outcome is remembered, in milliseconds.
    """

    scope: str
    identity: str
    fingerprint: str
    attempt_id: str
    retention_ms: int


class Verdict(enum.Enum):
    """What a claim was answered."""

    GRANTED = "granted"
    ANSWERED = "answered"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    FINGERPRINT_DIFFERS = "fingerprint-differs"


@attrs.frozen
class ClaimResult:
    """The answer to a claim.

    Attributes:
        verdict: Whether the request may run.
        answer: The stored answer when the verdict is ANSWERED.
    """

    verdict: Verdict
    answer: StoredAnswer | None = None


class ClaimLog(abc.ABC):
    """Grants each identity at most one run, durably, before dispatch."""

    @abc.abstractmethod
    async def claim(self, claim: Claim) -> ClaimResult:
        """Claims an identity.

        Raises:
            ClaimError: Kind CLAIM_UNAVAILABLE; the request must not be sent.
        """

    @abc.abstractmethod
    async def complete(self, claim: Claim, answer: StoredAnswer | None) -> None:
        """Records that the request ran.

        Args:
            claim: The granted claim.
            answer: The answer to keep, or None when it is too large or
                unknown.
        """

    @abc.abstractmethod
    async def release(self, claim: Claim) -> None:
        """Gives up a granted claim whose request provably has not run."""
