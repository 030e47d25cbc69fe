"""The HTTP response for each error kind."""

from __future__ import annotations

import enum

import attrs

from lovageyoke.errors import kinds

Kind = kinds.ErrorKind

OUTCOME_HEADER = "lovageyoke-outcome"
RETRY_AFTER_S = 1


class Outcome(enum.Enum):
    """Whether a failed request may have been executed.

    With NOT_RUN, the request has provably not been executed by an upstream;
    with UNKNOWN, it may have been.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Retry(enum.Enum):
    """Which requests may be retried on another upstream after the error."""

    ANY = "any"
    REPEATABLE = "repeatable"
    NEVER = "never"


@attrs.frozen
class ErrorResponse:
    """HTTP response and retry rule of an error kind.

    Attributes:
        status: HTTP status code.
        title: Short human-readable description.
        outcome: Whether the request may have been executed.
        retry: Which requests this system may retry.
        retry_after_s: Value of Retry-After in seconds, or None for no header.
    """

    status: int
    title: str
    outcome: Outcome
    retry: Retry
    retry_after_s: int | None = None


def _not_run(
    status: int,
    title: str,
    retry: Retry = Retry.NEVER,
    retry_after_s: int | None = None,
) -> ErrorResponse:
    return ErrorResponse(status, title, Outcome.NOT_RUN, retry, retry_after_s)


def _unknown(
    status: int, title: str, retry: Retry = Retry.NEVER
) -> ErrorResponse:
    return ErrorResponse(status, title, Outcome.UNKNOWN, retry)


ERROR_RESPONSES: dict[kinds.ErrorKind, ErrorResponse] = {
    Kind.BAD_REQUEST: _not_run(400, "The request is malformed"),
    Kind.BODY_TOO_LARGE: _not_run(413, "The request body is too large"),
    Kind.HEAD_TOO_LARGE: _not_run(431, "The request head is too large"),
    Kind.REQUEST_TIMEOUT: _not_run(408, "The request came too slowly"),
    Kind.NOT_CONFIGURED: _not_run(
        503, "No configuration is known yet", Retry.NEVER, RETRY_AFTER_S
    ),
    Kind.UNKNOWN_SERVICE: _not_run(404, "No service matches the request"),
    Kind.UNKNOWN_ACCOUNT: _not_run(401, "A valid API key is needed"),
    Kind.QUOTA_USED_UP: _not_run(
        429, "The account's quota is used up", Retry.NEVER, RETRY_AFTER_S
    ),
    Kind.IDENTITY_MISSING: _not_run(
        400, "The request needs an idempotency identity"
    ),
    Kind.IDENTITY_REUSED: _not_run(
        409, "The identity was used by a different request"
    ),
    Kind.DUPLICATE_IN_PROGRESS: _unknown(
        409, "A request with this identity is in progress"
    ),
    Kind.DUPLICATE_OUTCOME_UNKNOWN: _unknown(
        409, "The outcome of the request with this identity is unknown"
    ),
    Kind.CLAIM_UNAVAILABLE: _not_run(
        503, "The request could not be claimed", Retry.NEVER, RETRY_AFTER_S
    ),
    Kind.OVERLOADED: _not_run(
        503, "The service has no capacity", Retry.NEVER, RETRY_AFTER_S
    ),
    Kind.NO_UPSTREAM: _not_run(
        503, "No upstream is available", Retry.NEVER, RETRY_AFTER_S
    ),
    Kind.LEAVING: _not_run(
        503, "This entry VM is leaving", Retry.NEVER, RETRY_AFTER_S
    ),
    Kind.DEADLINE_BEFORE_DISPATCH: _not_run(
        504, "The deadline passed before the request was sent"
    ),
    Kind.DEADLINE_AFTER_DISPATCH: _unknown(
        504, "The deadline passed while waiting for the upstream"
    ),
    Kind.CONNECT_FAILED: _not_run(
        502, "The upstream could not be reached", Retry.ANY, RETRY_AFTER_S
    ),
    Kind.NOTHING_WRITTEN: _not_run(
        502, "The connection ended before the request was sent", Retry.ANY
    ),
    Kind.UPSTREAM_SHED: _not_run(
        503, "The upstream shed the request", Retry.ANY, RETRY_AFTER_S
    ),
    Kind.UPSTREAM_MISDIRECTED: _not_run(
        503, "Another upstream has the address", Retry.ANY, RETRY_AFTER_S
    ),
    Kind.UPSTREAM_FAILED: _unknown(
        502, "The upstream failed", Retry.REPEATABLE
    ),
    Kind.UPSTREAM_RESET: _unknown(
        502, "The upstream closed the connection", Retry.REPEATABLE
    ),
    Kind.STOPPED_UNFINISHED: _unknown(
        502, "This entry VM stopped before the upstream responded"
    ),
    Kind.UPSTREAM_SILENT: _unknown(
        504, "The upstream connection went silent", Retry.REPEATABLE
    ),
    Kind.UPSTREAM_PROTOCOL: _unknown(
        502, "The upstream sent a malformed response", Retry.REPEATABLE
    ),
    Kind.RESPONSE_TRUNCATED: _unknown(
        502, "The upstream response was truncated", Retry.REPEATABLE
    ),
    Kind.CALLER_GONE: _unknown(499, "The caller disconnected"),
    Kind.INTERNAL: _unknown(500, "An internal error occurred"),
    Kind.INVALID_SETTINGS: _not_run(422, "The settings are invalid"),
    Kind.INVALID_INTENT: _not_run(422, "The intent is invalid"),
    Kind.PLAN_CONFLICT: _not_run(409, "The plan's base version has changed"),
    Kind.UNAUTHENTICATED: _not_run(401, "A valid operator token is needed"),
    Kind.FORBIDDEN: _not_run(403, "The token's scope does not allow this"),
    Kind.RATE_LIMITED: _not_run(
        429, "Too many failed attempts", Retry.NEVER, RETRY_AFTER_S
    ),
    Kind.NOT_FOUND: _not_run(404, "There is no such resource"),
    Kind.PLATFORM_UNAVAILABLE: _not_run(
        503, "The platform service is unavailable", Retry.NEVER, RETRY_AFTER_S
    ),
    Kind.PLATFORM_OUTCOME_UNKNOWN: _unknown(
        504, "The platform did not confirm the write"
    ),
    Kind.PEER_UNAVAILABLE: _not_run(
        503, "The peer entry VM is unavailable", Retry.NEVER, RETRY_AFTER_S
    ),
    Kind.DECODE: _not_run(400, "The message could not be decoded"),
}


def response_for(kind: kinds.ErrorKind) -> ErrorResponse:
    """Returns the response for an error kind."""
    return ERROR_RESPONSES[kind]
