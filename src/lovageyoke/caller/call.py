"""One request of a caller on its way through this entry."""

from __future__ import annotations

import attrs

from lovageyoke.caller import routes
from lovageyoke.idempotency import identity
from lovageyoke.transport import api as transport_api


@attrs.define
class Call:
    """A request with what decides its way.

    Attributes:
        route: Routing state of its service.
        request: The request as it goes to upstreams.
        identified: The identity of an unrepeatable request, None for others.
        deadline_ms: Monotonic time after which it is given up.
        may_have_run: Whether an attempt's outcome is unknown.
        excluded: Upstreams that were tried.
    """

    route: routes.Route
    request: transport_api.Request
    identified: identity.Identified | None
    deadline_ms: float
    may_have_run: bool = False
    excluded: set[str] = attrs.field(factory=set)
