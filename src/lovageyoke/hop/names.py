"""The headers that have a meaning to the process, by what they hold."""

from __future__ import annotations

import attrs


@attrs.frozen
class HeaderNames:
    """Header names in lower case.

    Attributes:
        request_id: Identity of a request and of its response.
        deadline: Milliseconds that the sender still waits.
        expected_upstream: The only upstream that may run the request.
        answering_upstream: The upstream that sent a response.
        load: Load report of an upstream.
        not_executed: Tells that the upstream did not run the request.
        signature: The upstream's receipt for a response.
    """

    request_id: bytes
    deadline: bytes
    expected_upstream: bytes
    answering_upstream: bytes
    load: bytes
    not_executed: bytes
    signature: bytes
