"""State of a log shard, derived only from its segments."""

from __future__ import annotations

from collections.abc import Iterable
import heapq

from lovageyoke.errors import exceptions
from lovageyoke.idempotency import api
from lovageyoke.idempotency import records

MAX_IDENTITIES = 100_000
MAX_RESPONSES_BYTES = 16_000_000
MAX_RELEASED_ATTEMPTS = 32
MIN_RETENTION_MS = 600_000
RETENTION_MARGIN_MS = 60_000
CLOCK_DRIFT_DIVISOR = 100


class ShardState:
    """Identities of a shard as of the last applied segment.

    Attributes:
        records: Records of the retained identities.
        changed: Keys that segments changed since the last snapshot.
        applied: Number of the last applied segment.
        epoch: Highest epoch seen.
        log_time_ms: Log time of the last applied segment.
        responses_bytes: Total size of the stored responses.
    """

    def __init__(self) -> None:
        self.records: dict[records.IdentityKey, records.IdentityRecord] = {}
        self.changed: dict[records.IdentityKey, None] = {}
        self.applied = 0
        self.epoch = 0
        self.log_time_ms = 0
        self.responses_bytes = 0
        self._expiries: list[tuple[int, records.IdentityKey]] = []

    def load(self, head: records.Head, runs: Iterable[records.Run]) -> None:
        """Loads the state from a snapshot."""
        self.applied = head.covered
        self.log_time_ms = head.log_time_ms
        for run in runs:
            for record in run.records:
                self._put(record)
        self.changed = {}
        self._remove_expired()

    def apply(self, segment: records.Segment) -> None:
        """Applies the next segment.

        Raises:
            ValueError: The segment number or epoch is out of sequence.
        """
        if segment.number != self.applied + 1 or segment.epoch < self.epoch:
            raise ValueError(
                f"segment {segment.number} (epoch {segment.epoch}) can't "
                f"follow segment {self.applied} (epoch {self.epoch})"
            )
        self.applied = segment.number
        self.epoch = segment.epoch
        self.log_time_ms = max(self.log_time_ms, segment.log_time_ms)
        for claim in segment.claims:
            self._apply_claim(claim)
        for completion in segment.completions:
            self._apply_completion(completion)
        for release in segment.releases:
            self._apply_release(release)
        self._remove_expired()

    def lookup(self, claim: api.Claim) -> api.ClaimResult | None:
        """Returns the verdict on a claim, or None if it may be granted.

        Raises:
            ClaimError: The attempt was released, or the shard is full.
        """
        record = self.records.get((claim.scope, claim.identity))
        if record is None:
            if len(self.records) >= MAX_IDENTITIES:
                raise exceptions.ClaimError("the claim log is full")
            return None
        if claim.attempt_id in record.spent:
            raise exceptions.ClaimError("the attempt was released")
        if record.status is records.Status.RELEASED:
            return None
        return verdict_of(record, claim)

    def take_changed(self) -> list[records.IdentityRecord]:
        """Returns the identities changed since the last call."""
        changed, self.changed = self.changed, {}
        return [self.records[key] for key in changed if key in self.records]

    def _apply_claim(self, claim: api.Claim) -> None:
        key = (claim.scope, claim.identity)
        previous = self.records.get(key)
        released: tuple[str, ...] = ()
        if previous is not None:
            released = previous.spent
            if previous.status is not records.Status.RELEASED:
                return
        if claim.attempt_id in released:
            return
        self._put(
            records.IdentityRecord(
                scope=claim.scope,
                identity=claim.identity,
                fingerprint=claim.fingerprint,
                attempt_id=claim.attempt_id,
                status=records.Status.CLAIMED,
                expires_ms=self._expiry(claim.retention_ms),
                spent=released,
            )
        )

    def _apply_completion(self, completion: records.Completion) -> None:
        record = self.records.get((completion.scope, completion.identity))
        if record is None or record.attempt_id != completion.attempt_id:
            return
        if record.status is not records.Status.CLAIMED:
            return
        response = completion.answer
        size_bytes = records.response_bytes(response)
        if self.responses_bytes + size_bytes > MAX_RESPONSES_BYTES:
            response = None
        self._put(
            records.IdentityRecord(
                scope=completion.scope,
                identity=completion.identity,
                fingerprint=record.fingerprint,
                attempt_id=completion.attempt_id,
                status=records.Status.DONE,
                expires_ms=self._expiry(completion.retention_ms),
                answer=response,
                spent=record.spent,
            )
        )

    def _apply_release(self, release: records.Release) -> None:
        record = self.records.get((release.scope, release.identity))
        released: tuple[str, ...] = ()
        if record is not None:
            released = record.spent
            is_holder = record.attempt_id == release.attempt_id
            is_claimed = record.status is records.Status.CLAIMED
            if release.attempt_id in released or (is_holder and not is_claimed):
                return
            if not is_holder and record.status is not records.Status.RELEASED:
                self._put_released(record, release.attempt_id)
                return
        self._put(
            records.IdentityRecord(
                scope=release.scope,
                identity=release.identity,
                fingerprint="",
                attempt_id=release.attempt_id,
                status=records.Status.RELEASED,
                expires_ms=self._expiry(release.retention_ms),
                spent=_append_released(released, release.attempt_id),
            )
        )

    def _put_released(
        self, record: records.IdentityRecord, attempt_id: str
    ) -> None:
        self._put(
            records.IdentityRecord(
                scope=record.scope,
                identity=record.identity,
                fingerprint=record.fingerprint,
                attempt_id=record.attempt_id,
                status=record.status,
                expires_ms=record.expires_ms,
                answer=record.answer,
                spent=_append_released(record.spent, attempt_id),
            )
        )

    def _expiry(self, retention_ms: int) -> int:
        """Returns the log time at which the retention has surely elapsed.

        Log time runs ahead of real time only by clock drift. The margin
        covers this drift and the delay of slow batch writes.
        """
        retention_ms = max(retention_ms, MIN_RETENTION_MS)
        drift_ms = retention_ms // CLOCK_DRIFT_DIVISOR
        return self.log_time_ms + retention_ms + drift_ms + RETENTION_MARGIN_MS

    def _put(self, record: records.IdentityRecord) -> None:
        key = (record.scope, record.identity)
        self._remove(key)
        self.records[key] = record
        self.changed[key] = None
        self.responses_bytes += records.response_bytes(record.answer)
        heapq.heappush(self._expiries, (record.expires_ms, key))

    def _remove(self, key: records.IdentityKey) -> None:
        previous = self.records.pop(key, None)
        if previous is not None:
            self.responses_bytes -= records.response_bytes(previous.answer)

    def _remove_expired(self) -> None:
        while self._expiries and self._expiries[0][0] <= self.log_time_ms:
            _, key = heapq.heappop(self._expiries)
            record = self.records.get(key)
            if record is not None and record.expires_ms <= self.log_time_ms:
                self._remove(key)


def verdict_of(
    record: records.IdentityRecord, claim: api.Claim
) -> api.ClaimResult:
    """Returns the verdict on a claim for an identity that is not released."""
    if record.fingerprint != claim.fingerprint:
        return api.ClaimResult(api.Verdict.FINGERPRINT_DIFFERS)
    if record.status is records.Status.CLAIMED:
        if record.attempt_id == claim.attempt_id:
            return api.ClaimResult(api.Verdict.GRANTED)
        return api.ClaimResult(api.Verdict.IN_PROGRESS)
    if record.answer is None:
        return api.ClaimResult(api.Verdict.OUTCOME_UNKNOWN)
    return api.ClaimResult(api.Verdict.ANSWERED, record.answer)


def _append_released(
    released: tuple[str, ...], attempt_id: str
) -> tuple[str, ...]:
    return (*released, attempt_id)[-MAX_RELEASED_ATTEMPTS:]
