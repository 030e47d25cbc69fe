"""Forwards requests with at-most-once semantics."""

from __future__ import annotations

import anyio
from loguru import logger

from lovageyoke.caller import api
from lovageyoke.caller import attempt
from lovageyoke.caller import call as call_module
from lovageyoke.caller import dispatch
from lovageyoke.caller import forward
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.errors import table
from lovageyoke.idempotency import api as claim_api

Kind = kinds.ErrorKind
Verdict = claim_api.Verdict

_VERDICT_ERRORS = {
    Verdict.IN_PROGRESS: Kind.DUPLICATE_IN_PROGRESS,
    Verdict.OUTCOME_UNKNOWN: Kind.DUPLICATE_OUTCOME_UNKNOWN,
    Verdict.FINGERPRINT_DIFFERS: Kind.IDENTITY_REUSED,
}


class ClaimedForwarder:
    """Claims a request, sends it once and stores its response.

    The exchange with the upstream continues after the caller disconnects, so
    that a retry of the request gets the stored response.
    """

    def __init__(
        self, dispatcher: dispatch.Dispatcher, claims: claim_api.ClaimLog
    ) -> None:
        self._dispatcher = dispatcher
        self._claims = claims

    async def forward(
        self, call: call_module.Call, claim: claim_api.Claim, send: api.Send
    ) -> None:
        """Responds to a request that requires a claim.

        Raises:
            ResponseAbortedError: The response had already started.
            LovageyokeError: No byte of a response was sent.
        """
        result = await self._claims.claim(claim)
        if result.verdict is Verdict.ANSWERED and result.answer is not None:
            await send_stored(result.answer, send)
            return
        if result.verdict is not Verdict.GRANTED:
            kind = _VERDICT_ERRORS.get(
                result.verdict, Kind.DUPLICATE_OUTCOME_UNKNOWN
            )
            raise exceptions.ClaimError("the identity is already claimed", kind)
        with anyio.CancelScope(shield=True):
            await self._run(call, claim, send)

    async def _run(
        self, call: call_module.Call, claim: claim_api.Claim, send: api.Send
    ) -> None:
        try:
            response = await self._dispatcher.dispatch(call)
        except exceptions.LovageyokeError as error:
            await self._resolve_claim(call, claim, error)
            raise
        except Exception:
            await self._complete(claim, None)
            raise
        if response.is_complete:
            response.end_complete()
            await self._complete_and_send(claim, _to_stored(response), send)
            return
        try:
            await forward.stream(response, send)
        finally:
            await self._complete(claim, None)

    async def _complete_and_send(
        self,
        claim: claim_api.Claim,
        stored: claim_api.StoredResponse,
        send: api.Send,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._complete, claim, stored)
            await send_stored(stored, send)

    async def _resolve_claim(
        self,
        call: call_module.Call,
        claim: claim_api.Claim,
        error: exceptions.LovageyokeError,
    ) -> None:
        not_run = error.response.outcome is table.Outcome.NOT_RUN
        if call.may_have_run or not not_run:
            await self._complete(claim, None)
            return
        try:
            await self._claims.release(claim)
        except exceptions.LovageyokeError as failure:
            logger.warning("claim release failed: {}", failure.detail)

    async def _complete(
        self, claim: claim_api.Claim, response: claim_api.StoredResponse | None
    ) -> None:
        try:
            await self._claims.complete(claim, response)
        except exceptions.LovageyokeError as failure:
            logger.warning("claim completion failed: {}", failure.detail)


def _to_stored(response: attempt.Response) -> claim_api.StoredResponse:
    kept = tuple(response.headers())
    return claim_api.StoredResponse(response.head.status, kept, response.prefix)


async def send_stored(
    response: claim_api.StoredResponse, send: api.Send
) -> None:
    """Sends a stored response."""
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": list(response.headers),
        }
    )
    await send({"type": "http.response.body", "body": response.body})
