"""At-most-once log that stores each claim under a platform key."""

from __future__ import annotations

import enum

import attrs
from cattrs.preconf import cbor2 as cattrs_cbor2

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.idempotency import api
from lovageyoke.store import api as platform_api

KEY_PREFIX = "claims/key"
MAX_TRIES = 4
RETRY_DELAY_MS = 5.0

CONVERTER = cattrs_cbor2.make_converter()


class State(enum.Enum):
    """State of an identity."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


@attrs.frozen
class ClaimRecord:
    """Value of a claim's key.

    Attributes:
        attempt_id: The attempt that was granted the claim last.
        fingerprint: Fingerprint of that attempt's request.
        state: State of the identity.
        answer: The stored response, if any.
        spent: IDs of released attempts, which are never granted again.
    """

    attempt_id: str
    fingerprint: str
    state: State
    answer: api.StoredResponse | None = None
    spent: tuple[str, ...] = ()


class KeyPerClaimLog(api.ClaimLog):
    """Baseline that creates one key per claim and never deletes it."""

    def __init__(
        self, platform: platform_api.Platform, clock: clock_api.Clock
    ) -> None:
        self.platform = platform
        self.clock = clock

    async def claim(self, claim: api.Claim) -> api.ClaimResult:
        """Claims an identity by creating its key."""
        try:
            return await self._claim(claim)
        except exceptions.PlatformError as error:
            raise exceptions.ClaimError(
                f"the platform did not record the claim: {error}"
            ) from error

    async def complete(
        self, claim: api.Claim, response: api.StoredResponse | None
    ) -> None:
        """Records that the request ran; gives up after ``MAX_TRIES`` tries."""
        await self._finish_with_retries(claim, State.DONE, response)

    async def release(self, claim: api.Claim) -> None:
        """Releases a claim; gives up after ``MAX_TRIES`` tries."""
        await self._finish_with_retries(claim, State.RELEASED, None)

    async def _claim(self, claim: api.Claim) -> api.ClaimResult:
        key = _key(claim)
        new_record = ClaimRecord(
            claim.attempt_id, claim.fingerprint, State.CLAIMED
        )
        for _ in range(MAX_TRIES):
            stored = await self.platform.get(key)
            try:
                if stored is None:
                    await self.platform.create(key, _encode(new_record))
                    return api.ClaimResult(api.Verdict.GRANTED)
                record = _decode(stored.value)
                if record.state is not State.RELEASED:
                    return _verdict(record, claim)
                released = (*record.spent, record.attempt_id)
                if claim.attempt_id in released:
                    raise exceptions.ClaimError("the attempt was released")
                renewed = attrs.evolve(new_record, spent=released)
                await self.platform.compare_and_swap(
                    key, _encode(renewed), stored.revision
                )
                return api.ClaimResult(api.Verdict.GRANTED)
            except (
                exceptions.RevisionConflictError,
                exceptions.PlatformOutcomeUnknownError,
            ):
                # The next read shows which write took effect.
                await self.clock.sleep_ms(RETRY_DELAY_MS)
        raise exceptions.ClaimError("the claim could not be settled")

    async def _finish_with_retries(
        self,
        claim: api.Claim,
        state: State,
        response: api.StoredResponse | None,
    ) -> None:
        for _ in range(MAX_TRIES):
            try:
                if await self._finish_once(claim, state, response):
                    return
            except exceptions.PlatformError:
                await self.clock.sleep_ms(RETRY_DELAY_MS)

    async def _finish_once(
        self,
        claim: api.Claim,
        state: State,
        response: api.StoredResponse | None,
    ) -> bool:
        key = _key(claim)
        stored = await self.platform.get(key)
        if stored is None:
            return True
        record = _decode(stored.value)
        if record.attempt_id != claim.attempt_id:
            return True
        if record.state is not State.CLAIMED:
            return True
        finished = attrs.evolve(record, state=state, answer=response)
        await self.platform.compare_and_swap(
            key, _encode(finished), stored.revision
        )
        return True


def _key(claim: api.Claim) -> str:
    return f"{KEY_PREFIX}/{claim.scope}/{claim.identity}"


def _encode(record: ClaimRecord) -> bytes:
    return CONVERTER.dumps(record)


def _decode(data: bytes) -> ClaimRecord:
    return CONVERTER.loads(data, ClaimRecord)


def _verdict(record: ClaimRecord, claim: api.Claim) -> api.ClaimResult:
    if record.fingerprint != claim.fingerprint:
        return api.ClaimResult(api.Verdict.FINGERPRINT_DIFFERS)
    if record.state is State.CLAIMED:
        if record.attempt_id == claim.attempt_id:
            return api.ClaimResult(api.Verdict.GRANTED)
        return api.ClaimResult(api.Verdict.IN_PROGRESS)
    if record.answer is None:
        return api.ClaimResult(api.Verdict.OUTCOME_UNKNOWN)
    return api.ClaimResult(api.Verdict.ANSWERED, record.answer)
