"""Log records that are pending for the next segment of a shard."""

from __future__ import annotations

import anyio
import attrs

from lovageyoke.errors import exceptions
from lovageyoke.idempotency import api
from lovageyoke.idempotency import records

AttemptKey = tuple[str, str, str]


@attrs.define
class Batch:
    """Log records that are committed in one segment.

    Attributes:
        claims: Claims by scope and identity; one attempt per identity.
        completions: Completions by scope, identity and attempt.
        releases: Releases by scope, identity and attempt.
        size_bytes: Approximate encoded size.
        done: Set once the batch was written or has failed.
        error: Why the write failed; None on success or before ``done``.
    """

    claims: dict[records.IdentityKey, api.Claim] = attrs.field(factory=dict)
    completions: dict[AttemptKey, records.Completion] = attrs.field(
        factory=dict
    )
    releases: dict[AttemptKey, records.Release] = attrs.field(factory=dict)
    size_bytes: int = 0
    done: anyio.Event = attrs.field(factory=anyio.Event)
    error: exceptions.ClaimError | None = None

    def is_empty(self) -> bool:
        """Returns whether the batch has no records."""
        return not (self.claims or self.completions or self.releases)

    def is_urgent(self) -> bool:
        """Returns whether a caller may be waiting for the commit."""
        return bool(self.claims or self.releases)

    def add_claim(self, claim: api.Claim) -> None:
        """Adds a claim.

        Raises:
            ClaimError: The batch is full.
        """
        self._reserve(records.RECORD_OVERHEAD_BYTES)
        self.claims[(claim.scope, claim.identity)] = claim

    def add_completion(self, completion: records.Completion) -> None:
        """Adds a completion; omits its response if the batch is half full.

        Raises:
            ClaimError: The batch is full.
        """
        key = (completion.scope, completion.identity, completion.attempt_id)
        if key in self.completions:
            return
        size_bytes = records.response_bytes(completion.answer)
        if self.size_bytes + size_bytes > records.MAX_BATCH_BYTES // 2:
            completion = attrs.evolve(completion, answer=None)
            size_bytes = 0
        self._reserve(records.RECORD_OVERHEAD_BYTES + size_bytes)
        self.completions[key] = completion

    def add_release(self, release: records.Release) -> None:
        """Adds a release.

        Raises:
            ClaimError: The batch is full.
        """
        key = (release.scope, release.identity, release.attempt_id)
        if key not in self.releases:
            self._reserve(records.RECORD_OVERHEAD_BYTES)
            self.releases[key] = release

    def finish(self, error: exceptions.ClaimError | None = None) -> None:
        """Marks the batch as done and wakes its waiters."""
        if not self.done.is_set():
            self.error = error
            self.done.set()

    async def wait(self) -> None:
        """Waits until the batch is written.

        Raises:
            ClaimError: The write failed.
        """
        await self.done.wait()
        if self.error is not None:
            raise self.error

    def _reserve(self, size_bytes: int) -> None:
        if self.size_bytes + size_bytes > records.MAX_BATCH_BYTES:
            raise exceptions.ClaimError("the shard's next batch is full")
        self.size_bytes += size_bytes
