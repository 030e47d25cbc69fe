"""Forwards requests that run at most once."""

from __future__ import annotations

import uuid

import anyio
from loguru import logger

from lovageyoke.caller import api
from lovageyoke.caller import call as call_module
from lovageyoke.caller import dispatch
from lovageyoke.caller import forward
from lovageyoke.caller import headers
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.errors import table
from lovageyoke.idempotency import api as claim_api
from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api as transport_api

Kind = kinds.ErrorKind
Verdict = claim_api.Verdict

_REFUSALS = {
    Verdict.IN_PROGRESS: Kind.DUPLICATE_IN_PROGRESS,
    Verdict.OUTCOME_UNKNOWN: Kind.DUPLICATE_OUTCOME_UNKNOWN,
    Verdict.FINGERPRINT_DIFFERS: Kind.IDENTITY_REUSED,
}


class ClaimedForwarder:
    """Claims a request, runs it once, and keeps its answer.

    The exchange with the upstream goes on when the caller leaves, so that a
    repeat of the request finds its answer.
    """

    def __init__(
        self, dispatcher: dispatch.Dispatcher, claims: claim_api.ClaimLog
    ) -> None:
        self._dispatcher = dispatcher
        self._claims = claims

    async def forward(
        self, call: call_module.Call, claim: claim_api.Claim, send: api.Send
    ) -> None:
        """Answers a claimed request.

        Raises:
            AnswerAbortedError: The answer had begun.
            LovageyokeError: No byte of an answer was sent.
        """
        result = await self._claims.claim(claim)
        if result.verdict is Verdict.ANSWERED and result.answer is not None:
            await send_stored(result.answer, send)
            return
        if result.verdict is not Verdict.GRANTED:
            kind = _REFUSALS.get(
                result.verdict, Kind.DUPLICATE_OUTCOME_UNKNOWN
            )
            raise exceptions.ClaimError("the identity is taken", kind)
        with anyio.CancelScope(shield=True):
            await self._run(call, claim, send)

    async def _run(
        self, call: call_module.Call, claim: claim_api.Claim, send: api.Send
    ) -> None:
        try:
            attempt = await self._dispatcher.dispatch(call)
        except exceptions.LovageyokeError as error:
            await self._settle(call, claim, error)
            raise
        answer = _Answer(attempt)
        try:
            await answer.read_start()
            async with anyio.create_task_group() as tasks:
                if answer.is_whole:
                    tasks.start_soon(self._complete, claim, answer.stored())
                await answer.stream(send)
        except* exceptions.UpstreamError as group:
            call.may_have_run = True
            raise _first(group) from None
        finally:
            attempt.end(answer.result)
            if not answer.is_whole:
                await self._complete(claim, None)

    async def _settle(
        self,
        call: call_module.Call,
        claim: claim_api.Claim,
        error: exceptions.LovageyokeError,
    ) -> None:
        not_run = error.answer.outcome is table.Outcome.NOT_RUN
        if call.may_have_run or not not_run:
            await self._complete(claim, None)
            return
        try:
            await self._claims.release(claim)
        except exceptions.LovageyokeError as failure:
            logger.warning("claim release failed: {}", failure.detail)

    async def _complete(
        self, claim: claim_api.Claim, answer: claim_api.StoredAnswer | None
    ) -> None:
        try:
            await self._claims.complete(claim, answer)
        except exceptions.LovageyokeError as failure:
            logger.warning("claim completion failed: {}", failure.detail)


def _first(
    group: BaseExceptionGroup[exceptions.UpstreamError],
) -> exceptions.UpstreamError:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, exceptions.UpstreamError)
    return error


class _Answer:
    """An upstream's answer, kept while it is small."""

    def __init__(self, attempt: dispatch.Attempt) -> None:
        assert attempt.exchange is not None
        self.exchange: transport_api.Exchange = attempt.exchange
        self.result = routing_api.Result.FAILED
        self.is_whole = False
        self.start = b""

    async def read_start(self) -> None:
        """Reads up to the size that is kept."""
        while len(self.start) <= claim_api.MAX_STORED_ANSWER_BYTES:
            data = await self.exchange.read()
            if not data:
                self.is_whole = True
                self.result = dispatch.result_of(self.exchange.head)
                return
            self.start += data

    def stored(self) -> claim_api.StoredAnswer:
        """Returns the answer for repeats of the request."""
        head = self.exchange.head
        return claim_api.StoredAnswer(
            head.status, tuple(headers.to_caller(head.headers)), self.start
        )

    async def stream(self, send: api.Send) -> None:
        """Sends the answer to the caller."""
        if self.is_whole:
            await send_stored(self.stored(), send)
            return
        await forward.send_head(self.exchange.head, send)
        await forward.send_part(self.start, send)
        try:
            while data := await self.exchange.read():
                await forward.send_part(data, send)
        except exceptions.UpstreamError as error:
            raise forward.AnswerAbortedError(
                error.detail, error.kind
            ) from error
        self.result = dispatch.result_of(self.exchange.head)
        await forward.send_end(send)


def claim_of(call: call_module.Call) -> claim_api.Claim | None:
    """Returns the claim of a request, None when it needs none."""
    identified = call.identified
    if identified is None or identified.identity is None:
        return None
    return claim_api.Claim(
        scope=identified.scope,
        identity=identified.identity,
        fingerprint=identified.fingerprint,
        attempt_id=uuid.uuid4().hex,
        retention_ms=identified.rule.retention_ms,
    )


async def send_stored(answer: claim_api.StoredAnswer, send: api.Send) -> None:
    """Sends an answer that is kept whole."""
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": list(answer.headers),
        }
    )
    await send({"type": "http.response.body", "body": answer.body})
