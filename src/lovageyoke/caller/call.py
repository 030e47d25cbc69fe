"""State of one caller's request on this entry VM."""

from __future__ import annotations

import attrs

from lovageyoke.caller import routes
from lovageyoke.idempotency import api as claim_api
from lovageyoke.retry import marks as call_marks
from lovageyoke.transport import api as transport_api


@attrs.define
class Call:
    """A request and the state of its processing.

    Attributes:
        route: Routing state of its service.
        request: The request as sent to upstreams.
        claim: Claim to obtain before sending the request, None if not needed.
        deadline_ms: Monotonic deadline.
        accepts_chunked: Whether the caller supports chunked responses; if not,
            it takes the end of the connection for that of the response.
        marks: Deadline and retry state of its call chain.
        attempts: Number of attempts started.
        may_have_run: Whether an attempt's outcome is unknown.
        excluded: Upstreams already tried.
    """

    route: routes.Route
    request: transport_api.Request
    claim: claim_api.Claim | None
    deadline_ms: float
    accepts_chunked: bool = True
    marks: call_marks.CallMarks = attrs.field(factory=call_marks.CallMarks)
    attempts: int = 0
    may_have_run: bool = False
    excluded: set[str] = attrs.field(factory=set)
