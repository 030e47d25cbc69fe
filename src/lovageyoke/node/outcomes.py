"""Outcomes of requests.

A status that promises that the request did not run is returned only for
errors that prove it.
"""

from __future__ import annotations

import attrs

from lovageyoke.errors import kinds
from lovageyoke.errors import table
from lovageyoke.hop import messages

Kind = kinds.ErrorKind


@attrs.frozen
class Outcome:
    """The outcome of a request.

    Attributes:
        response: The upstream's response to forward, if there is one.
        kind: The error to respond with if there is no response.
    """

    response: messages.Response | None
    kind: kinds.ErrorKind | None = None


def at_deadline(may_have_run: bool) -> Outcome:
    """Returns the outcome of a request whose deadline has passed.

    Args:
        may_have_run: Whether an upstream may have run it or be running it.
    """
    if may_have_run:
        return Outcome(None, Kind.DEADLINE_AFTER_DISPATCH)
    return Outcome(None, Kind.OVERLOADED)


def at_stop(may_have_run: bool) -> Outcome:
    """Returns the outcome of a request that is unfinished when a stop ends.

    Args:
        may_have_run: Whether an upstream may have run it or be running it.
    """
    return Outcome(
        None, Kind.STOPPED_UNFINISHED if may_have_run else Kind.LEAVING
    )


def after_failures(
    kind: kinds.ErrorKind,
    failure: messages.Response | None,
    may_have_run: bool,
) -> Outcome:
    """Returns the outcome of a request that is not retried.

    Args:
        kind: Error of the last attempt.
        failure: An upstream's error response, if there was one.
        may_have_run: Whether an upstream may have run the request.
    """
    if failure is not None:
        return Outcome(failure)
    proves_not_run = table.response_for(kind).outcome is table.Outcome.NOT_RUN
    if not proves_not_run:
        return Outcome(None, kind)
    if may_have_run:
        # The last attempt didn't run it, but an earlier one may have.
        return Outcome(None, Kind.UPSTREAM_RESET)
    return Outcome(None, Kind.OVERLOADED)


def permits_retry(
    kind: kinds.ErrorKind, repeatable: bool, may_have_run: bool
) -> bool:
    """Returns whether a request may be sent again after an error.

    Args:
        kind: The error.
        repeatable: Whether the request may run more than once.
        may_have_run: Whether an upstream may have run the request.
    """
    if may_have_run and not repeatable:
        return False
    retry = table.response_for(kind).retry
    if retry is table.Retry.ANY:
        return True
    return retry is table.Retry.REPEATABLE and repeatable
