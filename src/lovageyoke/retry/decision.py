"""Decides whether a failed attempt is retried."""

from __future__ import annotations

import enum

from lovageyoke.errors import kinds
from lovageyoke.errors import table
from lovageyoke.retry import budget as retry_budget
from lovageyoke.retry import marks as call_marks

MAX_ATTEMPTS = 3


class Verdict(enum.Enum):
    """Whether to retry, or why not."""

    RETRY = "retry"
    NOT_ALLOWED = "not-allowed"
    MARKED = "marked"
    ATTEMPTS_EXHAUSTED = "attempts-exhausted"
    DEADLINE = "deadline"
    BUDGET = "budget"


def permits(kind: kinds.ErrorKind, repeatable: bool) -> bool:
    """Returns whether the error table permits a retry after an error kind.

    Args:
        kind: How the attempt failed.
        repeatable: Whether the request is safe to execute twice.
    """
    retry = table.response_for(kind).retry
    if retry is table.Retry.ANY:
        return True
    return retry is table.Retry.REPEATABLE and repeatable


def decide(
    kind: kinds.ErrorKind,
    repeatable: bool,
    attempt: int,
    now_ms: float,
    deadline_ms: float,
    *,
    marks: call_marks.CallMarks,
    budget: retry_budget.RetryBudget,
    expected_ms: float = 0.0,
    max_attempts: int = MAX_ATTEMPTS,
) -> Verdict:
    """Decides whether to retry; a retry spends a budget token.

    Args:
        kind: How the attempt failed.
        repeatable: Whether the request is safe to execute twice.
        attempt: Index of the failed attempt, from 0.
        now_ms: Current time in milliseconds.
        deadline_ms: Monotonic time of the request's deadline.
        marks: Marks received with the request.
        budget: The service's retry budget.
        expected_ms: Minimum duration of another attempt.
        max_attempts: Maximum attempts per request on one entry VM.
    """
    if not permits(kind, repeatable):
        return Verdict.NOT_ALLOWED
    if marks.no_retry or marks.attempt > 0:
        return Verdict.MARKED
    if attempt + 1 >= max_attempts:
        return Verdict.ATTEMPTS_EXHAUSTED
    if now_ms + expected_ms >= deadline_ms:
        return Verdict.DEADLINE
    if not budget.try_spend(now_ms):
        return Verdict.BUDGET
    return Verdict.RETRY
