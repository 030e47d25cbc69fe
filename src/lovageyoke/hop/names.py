"""Names of the headers that the process interprets."""

from __future__ import annotations

import attrs


@attrs.frozen
class HeaderNames:
    """Header names in lowercase.

    Attributes:
        request_id: ID of a request and of its response.
        deadline: Remaining time until the deadline in milliseconds.
        expected_upstream: The only upstream that may execute the request.
        answering_upstream: The upstream that sent a response.
        load: Load report of an upstream.
        rate_limit: Requests per second that an upstream accepts.
        not_executed: Present if the upstream did not execute the request.
        signature: The upstream's signature of a response.
        api_key: Key that identifies the client account of a request.
        account: Name of the client account, for the upstream.
        cold_time_left: Time for which an upstream is still cold, in ms.
    """

    request_id: bytes
    deadline: bytes
    expected_upstream: bytes
    answering_upstream: bytes
    load: bytes
    rate_limit: bytes
    not_executed: bytes
    signature: bytes
    api_key: bytes
    account: bytes
    cold_time_left: bytes
