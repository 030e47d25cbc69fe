"""Entry VM of a run: claims, sends to the upstream, completes, releases."""

from __future__ import annotations

from collections.abc import Callable
import random

import anyio
import anyio.abc
import attrs

from lovageyoke.config import follower as follower_lib
from lovageyoke.config import store
from lovageyoke.errors import exceptions
from lovageyoke.idempotency import api
from lovageyoke.idempotency import service
from lovageyoke.membership import static
from lovageyoke.soak import change_invariants
from lovageyoke.soak import gate as gate_lib
from lovageyoke.soak import invariants
from lovageyoke.soak import trace as trace_lib

SCOPE = "caller"
RETENTION_MS = 600_000
CONNECT_FAILED_SHARE = 0.15
ANSWER_LOST_SHARE = 0.1
ABANDON_SHARE = 0.1
MAX_ABANDON_MS = 400.0
MAX_RUN_MS = 60.0
SLOW_SHARE = 0.15
MAX_SLOW_RUN_MS = 4_000.0
MS_PER_SECOND = 1_000.0


@attrs.frozen
class Request:
    """A caller's request.

    Attributes:
        identity: Its identity.
        fingerprint: Its fingerprint.
        attempt_id: This attempt, unique.
    """

    identity: str
    fingerprint: str
    attempt_id: str


class SoakEntry:
    """One incarnation of an entry.

    Attributes:
        name: Its entry id.
        incarnation: Its incarnation.
        gate: Pauses it.
        log: The log under test.
        view: Its view of the members.
        config: Its way to plan and confirm changes.
        follower: Keeps its configuration current.
        scope: Cancelled when it crashes.
        on_not_run: Called with the identity of each request answered not-run.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        gate: gate_lib.Gate,
        log: service.SegmentedClaimLog,
        *,
        view: static.StaticMembership,
        config: store.ConfigStore,
        follower: follower_lib.ConfigFollower,
        rng: random.Random,
        ledger: invariants.Ledger,
        trace: trace_lib.Trace,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.gate = gate
        self.log = log
        self.view = view
        self.config = config
        self.follower = follower
        self.scope = anyio.CancelScope()
        self.on_not_run: Callable[[str], None] = _ignore
        self.tasks: anyio.abc.TaskGroup | None = None
        self._rng = rng
        self._ledger = ledger
        self._trace = trace

    async def run(self) -> None:
        """Runs until it crashes."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                tasks.start_soon(self.follower.run)
                tasks.start_soon(self._report_versions)
                await self.log.run()

    async def _report_versions(self) -> None:
        view = self.follower.view
        subscription = view.subscribe()
        while True:
            change = await subscription.receive()
            await self.gate.wait_until_open()
            for name in sorted(change.names):
                service = view.service(name)
                if service is not None:
                    self._observe_version(name, service.version)

    def _observe_version(self, service: str, version: int) -> None:
        incarnation = f"{self.name} {self.incarnation}"
        self._trace.step("in force", incarnation, service, version)
        self._ledger.observe(
            change_invariants.VersionInForce(incarnation, service, version)
        )

    def crash(self) -> None:
        """Ends it at once; what it sent to others goes on."""
        self.tasks = None
        self.gate.end()
        self.scope.cancel()

    def start(self, request: Request) -> None:
        """Starts to serve a request, unless the entry has crashed."""
        if self.tasks is not None:
            self.tasks.start_soon(self.serve, request)

    async def serve(self, request: Request) -> None:
        """Serves a request."""
        self._trace.step("request", self.name, request)
        claim = api.Claim(
            SCOPE,
            request.identity,
            request.fingerprint,
            request.attempt_id,
            RETENTION_MS,
        )
        result = await self._claim(claim)
        await self.gate.wait_until_open()
        verdict = result.verdict if result else None
        self._trace.step("verdict", request.attempt_id, verdict)
        if result is None:
            self._answer_not_run(claim)
        elif result.verdict is api.Verdict.GRANTED:
            await self._dispatch(claim)
        elif result.verdict is api.Verdict.FINGERPRINT_DIFFERS:
            self._answer_not_run(claim)
        elif result.answer is not None:
            self._answer(claim, result.answer)

    async def _claim(self, claim: api.Claim) -> api.ClaimResult | None:
        timeout_s = None
        if self._rng.random() < ABANDON_SHARE:
            timeout_s = self._rng.uniform(0, MAX_ABANDON_MS) / MS_PER_SECOND
        with anyio.move_on_after(timeout_s):
            try:
                return await self.log.claim(claim)
            except exceptions.ClaimError:
                return None
        self._trace.fault("caller abandons", claim.attempt_id)
        return None

    async def _dispatch(self, claim: api.Claim) -> None:
        draw = self._rng.random()
        slow = self._rng.random() < SLOW_SHARE
        max_run_ms = MAX_SLOW_RUN_MS if slow else MAX_RUN_MS
        await anyio.sleep(self._rng.uniform(0, max_run_ms) / MS_PER_SECOND)
        await self.gate.wait_until_open()
        if draw < CONNECT_FAILED_SHARE:
            self._trace.fault("connect failed", claim.attempt_id)
            self._answer_not_run(claim)
            await self.log.release(claim)
            return
        answer = self.run_on_upstream(claim)
        await self.gate.wait_until_open()
        if draw < CONNECT_FAILED_SHARE + ANSWER_LOST_SHARE:
            self._trace.fault("upstream answer lost", claim.attempt_id)
            await self.log.complete(claim, None)
            return
        self._answer(claim, answer)
        await self.log.complete(claim, answer)

    def run_on_upstream(self, claim: api.Claim) -> api.StoredResponse:
        """Runs the request; this is what must not happen twice."""
        body = f"{claim.identity} {claim.attempt_id}".encode()
        answer = api.StoredResponse(201, (), body)
        self._trace.step("run", claim.identity, claim.attempt_id)
        self._ledger.observe(
            invariants.RequestRan(claim.identity, claim.attempt_id, answer)
        )
        return answer

    def _answer(self, claim: api.Claim, answer: api.StoredResponse) -> None:
        self._trace.step("answer", claim.attempt_id)
        self._ledger.observe(invariants.AnswerReturned(claim.identity, answer))

    def _answer_not_run(self, claim: api.Claim) -> None:
        self._trace.step("not-run", claim.attempt_id)
        self._ledger.observe(
            invariants.NotRunAnswered(claim.identity, claim.attempt_id)
        )
        self.on_not_run(claim.identity)


def _ignore(identity: str) -> None:
    """Does nothing."""
