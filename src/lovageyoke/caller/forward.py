"""Streams an upstream's response to the caller."""

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


class ResponseAbortedError(exceptions.UpstreamError):
    """A started response can't be completed; the connection must be closed."""


class Forwarder:
    """Forwards requests that are not claimed."""

    def __init__(self, dispatcher: dispatch.Dispatcher) -> None:
        self._dispatcher = dispatcher

    async def forward(self, call: call_module.Call, send: api.Send) -> None:
        """Forwards the request and returns the response to the caller.

        Raises:
            ResponseAbortedError: The response had already started.
            LovageyokeError: No byte of a response was sent.
        """
        response = await self._dispatcher.dispatch(call)
        if response.is_complete:
            response.end_complete()
            await send_head(response, send)
            await send_end(send, response.prefix)
            return
        download = resume.ResumableDownload.of(call.request, response.head)
        if download is None:
            await stream(response, send)
            return
        with _ended_on_error(response):
            await send_head(response, send)
        await self._download(call, download, response, send)

    async def _download(
        self,
        call: call_module.Call,
        download: resume.ResumableDownload,
        response: attempt.Response,
        send: api.Send,
    ) -> None:
        for _ in range(MAX_RESUMPTIONS):
            try:
                await _send_parts(response, send, download.advance)
            except ResponseAbortedError as error:
                response = await self._resume(call, download, error)
            else:
                break
        else:
            raise ResponseAbortedError(
                "the response exceeded the limit of resumptions"
            )
        await send_end(send)

    async def _resume(
        self,
        call: call_module.Call,
        download: resume.ResumableDownload,
        cause: ResponseAbortedError,
    ) -> attempt.Response:
        try:
            response = await self._dispatcher.dispatch_remainder(
                call, download.remaining_request()
            )
        except exceptions.LovageyokeError as error:
            raise cause from error
        if download.accepts(response.head):
            return response
        response.end(routing_api.Result.CANCELLED)
        raise cause


async def stream(response: attempt.Response, send: api.Send) -> None:
    """Streams a response that is not resumed.

    Raises:
        ResponseAbortedError: The upstream did not send the complete response.
    """
    with _ended_on_error(response):
        await send_head(response, send)
    await _send_parts(response, send, lambda _: None)
    await send_end(send)


@contextlib.contextmanager
def _ended_on_error(response: attempt.Response) -> Iterator[None]:
    """Ends the exchange of a response if the block raises."""
    try:
        yield
    except exceptions.UpstreamError as error:
        response.end(routing_api.Result.FAILED)
        raise ResponseAbortedError(error.detail, error.kind) from error
    except BaseException:
        response.end(routing_api.Result.CANCELLED)
        raise


async def _send_parts(
    response: attempt.Response,
    send: api.Send,
    on_sent: Callable[[int], None],
) -> None:
    with _ended_on_error(response):
        data = response.prefix
        if not data:
            data = await response.exchange.read()
        while data:
            await send_part(data, send)
            on_sent(len(data))
            data = await response.exchange.read()
    response.end_complete()


async def send_head(response: attempt.Response, send: api.Send) -> None:
    """Sends the status and headers of a response."""
    await send(
        {
            "type": "http.response.start",
            "status": response.head.status,
            "headers": response.headers(),
        }
    )


async def send_part(data: bytes, send: api.Send) -> None:
    """Sends a part of a response body."""
    await send({"type": "http.response.body", "body": data, "more_body": True})


async def send_end(send: api.Send, data: bytes = b"") -> None:
    """Sends the last part of a response body."""
    await send({"type": "http.response.body", "body": data})
