"""The ASGI application that serves callers."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import urllib.parse

from lovageyoke.addresses import answer as answer_lib
from lovageyoke.caller import api
from lovageyoke.clock import api as clock_api
from lovageyoke.entry import observer as observer_lib

ADDRESSES_PATH = "/.well-known/lovageyoke/addresses"
ALLOWED_METHODS = frozenset(("GET", "HEAD"))
MS_PER_SECOND = 1_000

App = Callable[[api.Scope, api.Receive, api.Send], Awaitable[None]]


class CallerFrontend:
    """Serves address queries and passes other requests to the services.

    Attributes:
        app: Forwards requests to the services.
        address_selector: Chooses addresses.
        observer: Observes every response.
    """

    def __init__(
        self,
        app: App,
        address_selector: answer_lib.AddressSelector,
        observer: observer_lib.RequestObserver,
        clock: clock_api.Clock,
    ) -> None:
        self.app = app
        self.address_selector = address_selector
        self.observer = observer
        self._clock = clock

    async def __call__(
        self, scope: api.Scope, receive: api.Receive, send: api.Send
    ) -> None:
        """Serves one ASGI connection scope."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        observed = self.observer.observe(scope, send)
        if scope["path"] == ADDRESSES_PATH:
            await self._answer(scope, observed)
        else:
            await self.app(scope, receive, observed)

    async def _answer(self, scope: api.Scope, send: api.Send) -> None:
        if scope["method"] not in ALLOWED_METHODS:
            allowed = ", ".join(sorted(ALLOWED_METHODS)).encode()
            await _respond(send, 405, ((b"allow", allowed),), b"")
            return
        caller = caller_of(scope)
        found = self.address_selector.answer(caller, self._clock.now_ms())
        max_age = f"private, max-age={found.lifetime_ms // MS_PER_SECOND}"
        fields = (
            (b"content-type", b"application/json"),
            (b"cache-control", max_age.encode()),
        )
        await _respond(send, 200, fields, found.to_json())


def caller_of(scope: api.Scope) -> answer_lib.Caller:
    """Returns the caller's address and region as given by a request."""
    client = scope.get("client") or ("unknown", 0)
    query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
    region = query.get("region", [""])[0]
    return answer_lib.Caller(client[0], region)


async def _respond(
    send: api.Send,
    status: int,
    fields: tuple[tuple[bytes, bytes], ...],
    body: bytes,
) -> None:
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*fields, length],
        }
    )
    await send({"type": "http.response.body", "body": body})
