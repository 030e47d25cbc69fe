"""At-most-once log with group commit, shared by all entry VMs."""

from __future__ import annotations

import random

import anyio
import anyio.abc
import attrs
from loguru import logger

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.idempotency import api
from lovageyoke.idempotency import messages
from lovageyoke.idempotency import records
from lovageyoke.idempotency import shards as shards_lib
from lovageyoke.membership import api as membership_api
from lovageyoke.peer import api as peer_api
from lovageyoke.store import api as platform_api

CLAIM_TIMEOUT_MS = 2_000.0
REQUEST_TIMEOUT_MS = 500.0
MIN_RETRY_DELAY_MS = 10.0
MAX_RETRY_DELAY_MS = 200.0
MAX_DELIVERY_DELAY_MS = 5_000.0
DELIVERY_TIMEOUT_MS = 600_000.0
MAX_DELIVERIES = 10_000
DRAIN_POLL_MS = 10.0
MS_PER_SECOND = 1_000.0


@attrs.define
class Stats:
    """Counters of the log's client on this entry VM.

    Attributes:
        claims: Claims requested.
        granted: Claims granted.
        unavailable: Claims that failed without a verdict.
        requests_sent: Requests sent to owners, including retries.
        undelivered: Completions and releases that were dropped.
    """

    claims: int = 0
    granted: int = 0
    unavailable: int = 0
    requests_sent: int = 0
    undelivered: int = 0


class SegmentedClaimLog(api.ClaimLog):
    """Routes each request to the owner of the identity's shard.

    An attempt ID must be used for only one call of ``claim``: if the call
    raises, the attempt is released and never granted.

    Attributes:
        shards: The shards that this entry VM owns.
        stats: Counters.
    """

    def __init__(
        self,
        shards: shards_lib.OwnedShards,
        peers: peer_api.PeerChannel,
    ) -> None:
        self.shards = shards
        self.peers = peers
        self.membership = shards.membership
        self.clock = shards.clock
        self.rng = shards.rng
        self.stats = Stats()
        self._deliveries = 0
        self._tasks: anyio.abc.TaskGroup | None = None
        for message_type in messages.REQUESTS:
            peers.handle(message_type, shards.handle)

    async def run(self) -> None:
        """Serves the shards of this entry VM until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await self.shards.run()
            finally:
                self._tasks = None

    async def claim(self, claim: api.Claim) -> api.ClaimResult:
        """Claims an identity; a returned GRANTED is durable."""
        self.stats.claims += 1
        request = messages.ClaimRequest(self._shard(claim), claim)
        resolved = False
        try:
            reply, in_doubt = await self._request_with_retries(
                request, CLAIM_TIMEOUT_MS
            )
            resolved = not in_doubt
        finally:
            if not resolved:
                self._release_in_background(claim)
        if isinstance(reply, messages.ClaimReply):
            granted = reply.result.verdict is api.Verdict.GRANTED
            self.stats.granted += granted
            return reply.result
        self.stats.unavailable += 1
        raise exceptions.ClaimError(_refusal_detail(reply))

    async def complete(
        self, claim: api.Claim, response: api.StoredResponse | None
    ) -> None:
        """Records in the background that the request ran."""
        if response is not None:
            size_bytes = records.response_bytes(response)
            if size_bytes > api.MAX_STORED_RESPONSE_BYTES:
                response = None
        completion = records.Completion(
            scope=claim.scope,
            identity=claim.identity,
            attempt_id=claim.attempt_id,
            retention_ms=claim.retention_ms,
            answer=response,
        )
        self._deliver_in_background(
            messages.CompleteRequest(self._shard(claim), completion)
        )

    async def release(self, claim: api.Claim) -> None:
        """Releases a claim; on failure retries in the background."""
        request = self._release_request(claim)
        recorded = False
        try:
            reply, _ = await self._request_with_retries(
                request, REQUEST_TIMEOUT_MS
            )
            recorded = isinstance(reply, messages.RecordedReply)
        finally:
            if not recorded:
                self._deliver_in_background(request)

    async def drain(self) -> None:
        """Waits until pending completions and releases are done or dropped."""
        while self._deliveries:
            await self.clock.sleep_ms(DRAIN_POLL_MS)

    def _shard(self, claim: api.Claim) -> int:
        count = self.shards.options.shard_count
        return shards_lib.shard_of(claim.scope, claim.identity, count)

    def _release_request(self, claim: api.Claim) -> messages.ReleaseRequest:
        release = records.Release(
            scope=claim.scope,
            identity=claim.identity,
            attempt_id=claim.attempt_id,
            retention_ms=claim.retention_ms,
        )
        return messages.ReleaseRequest(self._shard(claim), release)

    def _release_in_background(self, claim: api.Claim) -> None:
        """Releases, in the background, an attempt that may yet be granted."""
        self._deliver_in_background(self._release_request(claim))

    def _deliver_in_background(self, request: messages.Request) -> None:
        if self._tasks is None or self._deliveries >= MAX_DELIVERIES:
            self.stats.undelivered += 1
            return
        self._deliveries += 1
        self._tasks.start_soon(self._deliver, request)

    async def _deliver(self, request: messages.Request) -> None:
        try:
            reply, _ = await self._request_with_retries(
                request, DELIVERY_TIMEOUT_MS
            )
        finally:
            self._deliveries -= 1
        if not isinstance(reply, messages.RecordedReply):
            self.stats.undelivered += 1
            logger.warning(
                "dropped {} that was not recorded before its deadline",
                type(request).__name__,
            )

    async def _request_with_retries(
        self, request: messages.Request, timeout_ms: float
    ) -> tuple[peer_api.Message | None, bool]:
        """Retries a request until the shard's owner replies or time is up.

        Returns:
            The last reply, and whether a copy of the request may still take
            effect.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        max_delay_ms = MAX_RETRY_DELAY_MS
        if timeout_ms > CLAIM_TIMEOUT_MS:
            max_delay_ms = MAX_DELIVERY_DELAY_MS
        delay_ms = MIN_RETRY_DELAY_MS
        in_doubt = False
        redirect = ""
        reply: peer_api.Message | None = None
        while True:
            target = redirect or self.membership.owner(request.shard)
            remaining_ms = deadline_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                return reply, in_doubt
            reply = None
            if target is not None:
                reply = await self._request_once(target, request, remaining_ms)
            if isinstance(reply, messages.ClaimReply | messages.RecordedReply):
                return reply, False
            redirect = ""
            if isinstance(reply, messages.MovedReply):
                redirect = "" if reply.owner == target else reply.owner
            elif isinstance(reply, messages.RefusedReply):
                in_doubt = in_doubt or reply.recorded
                if _is_final(request, reply):
                    return reply, in_doubt
            else:
                in_doubt = in_doubt or target is not None
            await self.clock.sleep_ms(delay_ms * self.rng.uniform(0.5, 1.0))
            delay_ms = min(max_delay_ms, delay_ms * 2)

    async def _request_once(
        self, target: str, request: messages.Request, remaining_ms: float
    ) -> peer_api.Message | None:
        self.stats.requests_sent += 1
        timeout_ms = min(REQUEST_TIMEOUT_MS, remaining_ms)
        if target != self.membership.self_id():
            try:
                return await self.peers.request(target, request, timeout_ms)
            except exceptions.PeerError:
                return None
        with anyio.move_on_after(timeout_ms / MS_PER_SECOND):
            return await self.shards.handle(target, request)
        return None


def create(
    platform: platform_api.Platform,
    membership: membership_api.MembershipView,
    peers: peer_api.PeerChannel,
    clock: clock_api.Clock,
    *,
    rng: random.Random | None = None,
    options: shards_lib.Options | None = None,
) -> SegmentedClaimLog:
    """Returns a log that grants claims while its ``run`` is running.

    Args:
        platform: The platform's service.
        membership: Membership view of this entry VM.
        peers: Channel to the peers; its codec must include ``messages.TYPES``.
        clock: The clock.
        rng: Source of write tokens and jitter; by default the system's.
        options: Options of the log.
    """
    shards = shards_lib.OwnedShards(
        platform,
        membership,
        clock,
        rng or random.SystemRandom(),
        options or shards_lib.Options(),
    )
    return SegmentedClaimLog(shards, peers)


def _is_final(request: messages.Request, reply: messages.RefusedReply) -> bool:
    claiming = isinstance(request, messages.ClaimRequest)
    return claiming and not reply.recorded


def _refusal_detail(reply: peer_api.Message | None) -> str:
    if isinstance(reply, messages.RefusedReply):
        return reply.detail
    return "the owner of the identity's shard did not answer"
