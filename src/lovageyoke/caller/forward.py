"""Streams an upstream's answer to the caller."""

from __future__ import annotations

from lovageyoke.caller import api
from lovageyoke.caller import call as call_module
from lovageyoke.caller import dispatch
from lovageyoke.caller import headers
from lovageyoke.errors import exceptions
from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api as transport_api


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
        try:
            await send_head(answer.head, send)
        except BaseException:
            answer.end(routing_api.Result.CANCELLED)
            raise
        await stream_rest(answer, send)


async def stream_rest(answer: dispatch.Answer, send: api.Send) -> None:
    """Streams what is left of an answer's body.

    Raises:
        AnswerAbortedError: The upstream didn't send the whole answer.
    """
    try:
        while data := await answer.exchange.read():
            await send_part(data, send)
        answer.end_whole()
        await send_end(send)
    except exceptions.UpstreamError as error:
        answer.end(routing_api.Result.FAILED)
        raise AnswerAbortedError(error.detail, error.kind) from error
    finally:
        answer.end(routing_api.Result.CANCELLED)


async def send_head(head: transport_api.ResponseHead, send: api.Send) -> None:
    """Sends the status and headers of an answer."""
    await send(
        {
            "type": "http.response.start",
            "status": head.status,
            "headers": headers.to_caller(head.headers),
        }
    )


async def send_part(data: bytes, send: api.Send) -> None:
    """Sends a part of an answer's body."""
    await send({"type": "http.response.body", "body": data, "more_body": True})


async def send_end(send: api.Send) -> None:
    """Ends an answer."""
    await send({"type": "http.response.body", "body": b""})
