"""The closed list of error kinds."""

from __future__ import annotations

import enum


class ErrorKind(enum.Enum):
    """Every way in which a request or an operator's command can fail."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    UNKNOWN_SERVICE = "unknown-service"
    IDENTITY_MISSING = "identity-missing"
    IDENTITY_REUSED = "identity-reused"
    DUPLICATE_IN_PROGRESS = "duplicate-in-progress"
    DUPLICATE_OUTCOME_UNKNOWN = "duplicate-outcome-unknown"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no-upstream"
    LEAVING = "leaving"
    DEADLINE_BEFORE_DISPATCH = "deadline-before-dispatch"
    DEADLINE_AFTER_DISPATCH = "deadline-after-dispatch"
    CONNECT_FAILED = "connect-failed"
    NOTHING_WRITTEN = "nothing-written"
    UPSTREAM_SHED = "upstream-shed"
    UPSTREAM_RESET = "upstream-reset"
    UPSTREAM_SILENT = "upstream-silent"
    UPSTREAM_PROTOCOL = "upstream-protocol"
    RESPONSE_TRUNCATED = "response-truncated"
    CALLER_GONE = "caller-gone"
    INTERNAL = "internal"
    INVALID_SETTINGS = "invalid-settings"
    INVALID_INTENT = "invalid-intent"
    PLAN_CONFLICT = "plan-conflict"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    RATE_LIMITED = "rate-limited"
    NOT_FOUND = "not-found"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    PLATFORM_OUTCOME_UNKNOWN = "platform-outcome-unknown"
    PEER_UNAVAILABLE = "peer-unavailable"
    DECODE = "decode"
