"""Interface of the at-most-once log."""

from __future__ import annotations

import abc
import enum

import attrs

MAX_STORED_RESPONSE_BYTES = 16_384


@attrs.frozen
class StoredResponse:
    """A response that is stored and replayed to repeats of its request.

    Attributes:
        status: HTTP status code.
        headers: Response headers.
        body: The complete body, at most ``MAX_STORED_RESPONSE_BYTES``.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@attrs.frozen
class Claim:
    """A request for the right to run an identity.

    Attributes:
        scope: Hash of the service and the caller's credential.
        identity: Idempotency key of the request, unique within its scope.
        fingerprint: Hash of method, target and body.
        attempt_id: Unique ID of this attempt; repeating the claim with the
            same ID resolves a lost reply.
        retention_ms: How long the outcome is retained, in milliseconds.
    """

    scope: str
    identity: str
    fingerprint: str
    attempt_id: str
    retention_ms: int


class Verdict(enum.Enum):
    """Outcome of a claim."""

    GRANTED = "granted"
    ANSWERED = "answered"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    FINGERPRINT_DIFFERS = "fingerprint-differs"


@attrs.frozen
class ClaimResult:
    """The result of a claim.

    Attributes:
        verdict: Whether the request may run.
        answer: The stored response if the verdict is ANSWERED.
    """

    verdict: Verdict
    answer: StoredResponse | None = None


class ClaimLog(abc.ABC):
    """Durably grants each identity at most one execution before dispatch."""

    @abc.abstractmethod
    async def claim(self, claim: Claim) -> ClaimResult:
        """Claims an identity.

        Raises:
            ClaimError: Kind CLAIM_UNAVAILABLE; the request must not be sent.
        """

    @abc.abstractmethod
    async def complete(
        self, claim: Claim, response: StoredResponse | None
    ) -> None:
        """Records that the request ran.

        Args:
            claim: The granted claim.
            response: The response to store, or None if it is too large or
                unknown.
        """

    @abc.abstractmethod
    async def release(self, claim: Claim) -> None:
        """Releases a granted claim whose request is known not to have run."""
