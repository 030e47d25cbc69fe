"""Base class of the handlers that don't forward requests."""

from __future__ import annotations

from lovageyoke.hop import api as hop_api
from lovageyoke.hop import messages
from lovageyoke.node import state as node_state
from lovageyoke.routing import model

# These requests need no body.
LIMITS = model.CallerLimits(body_bytes=1_024)


class InternalHandler(hop_api.RequestHandler):
    """Handles requests that are addressed to this process itself.

    Attributes:
        node: Shared state of the process.
    """

    def __init__(self, node: node_state.NodeState) -> None:
        self.node = node

    def report_error(self, request: messages.Request, error: Exception) -> None:
        """Logs an internal error of this process."""
        self.node.log.event("fault", path=request.path, error=repr(error))

    def limits(self) -> model.CallerLimits:
        """Returns the default limits, with hardly any body."""
        return LIMITS

    def may_cancel(self, request: messages.Request) -> bool:
        """Returns True: these requests may always be cancelled."""
        del request
        return True

    def leaving(self) -> bool:
        """Returns whether to close connections after the next response."""
        return self.node.leaving
