"""Streams an upstream's answer to the caller."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from lovageyoke.caller import api
from lovageyoke.caller import attempt
from lovageyoke.caller import call as call_module
from lovageyoke.caller import dispatch
from lovageyoke.caller import resume
from lovageyoke.errors import exceptions
from lovageyoke.routing import api as routing_api

MAX_RESUMPTIONS = 16


class AnswerAbortedError(exceptions.UpstreamError):
    """An answer that had begun can't be completed; the caller must be cut."""


class Forwarder:
    """Forwards requests that are not claimed."""

    def __init__(self, dispatcher: dispatch.Dispatcher) -> None:
        self._dispatcher = dispatcher

    async def forward(self, call: call_module.Call, send: api.Send) -> None:
        """Sends the request on and the answer back.

        Raises:
            AnswerAbortedError: The answer had begun.
            LovageyokeError: No byte of an answer was sent.
        """
        answer = await self._dispatcher.dispatch(call)
        if answer.is_whole:
            answer.end_whole()
            await send_head(answer, send)
            await send_end(send, answer.start)
            return
        splice = resume.Splice.of(call.request, answer.head)
        if splice is None:
            await stream(answer, send)
            return
        with _ending(answer):
            await send_head(answer, send)
        await self._download(call, splice, answer, send)

    async def _download(
        self,
        call: call_module.Call,
        splice: resume.Splice,
        answer: attempt.Answer,
        send: api.Send,
    ) -> None:
        for _ in range(MAX_RESUMPTIONS):
            try:
                await _send_parts(answer, send, splice.advance)
            except AnswerAbortedError as error:
                answer = await self._resume(call, splice, error)
            else:
                break
        else:
            raise AnswerAbortedError("the answer was interrupted too often")
        await send_end(send)

    async def _resume(
        self,
        call: call_module.Call,
        splice: resume.Splice,
        cause: AnswerAbortedError,
    ) -> attempt.Answer:
        try:
            answer = await self._dispatcher.dispatch_rest(
                call, splice.next_request()
            )
        except exceptions.LovageyokeError as error:
            raise cause from error
        if splice.accepts(answer.head):
            return answer
        answer.end(routing_api.Result.CANCELLED)
        raise cause


async def stream(answer: attempt.Answer, send: api.Send) -> None:
    """Streams an answer that is not resumed.

    Raises:
        AnswerAbortedError: The upstream didn't send the whole answer.
    """
    with _ending(answer):
        await send_head(answer, send)
    await _send_parts(answer, send, lambda _: None)
    await send_end(send)


@contextlib.contextmanager
def _ending(answer: attempt.Answer) -> Iterator[None]:
    """Ends the exchange of an answer if the block raises."""
    try:
        yield
    except exceptions.UpstreamError as error:
        answer.end(routing_api.Result.FAILED)
        raise AnswerAbortedError(error.detail, error.kind) from error
    except BaseException:
        answer.end(routing_api.Result.CANCELLED)
        raise


async def _send_parts(
    answer: attempt.Answer,
    send: api.Send,
    on_sent: Callable[[int], None],
) -> None:
    with _ending(answer):
        data = answer.start
        if not data:
            data = await answer.exchange.read()
        while data:
            await send_part(data, send)
            on_sent(len(data))
            data = await answer.exchange.read()
    answer.end_whole()


async def send_head(answer: attempt.Answer, send: api.Send) -> None:
    """Sends the status and headers of an answer."""
    await send(
        {
            "type": "http.response.start",
            "status": answer.head.status,
            "headers": answer.headers(),
        }
    )


async def send_part(data: bytes, send: api.Send) -> None:
    """Sends a part of an answer's body."""
    await send({"type": "http.response.body", "body": data, "more_body": True})


async def send_end(send: api.Send, data: bytes = b"") -> None:
    """Sends the last part of an answer's body."""
    await send({"type": "http.response.body", "body": data})
