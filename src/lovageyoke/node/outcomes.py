"""How a request ends, told truthfully.

Only errors that prove that nothing ran are answered with a status that
promises so.
"""

from __future__ import annotations

import attrs

from lovageyoke.errors import kinds
from lovageyoke.errors import table
from lovageyoke.hop import messages

Kind = kinds.ErrorKind


@attrs.frozen
class Outcome:
    """The end of a request.

    Attributes:
        response: An upstream's response, None if there is none to pass on.
        kind: The error to answer with if there is no response.
    """

    response: messages.Response | None
    kind: kinds.ErrorKind | None = None


def at_deadline(may_have_run: bool) -> Outcome:
    """Returns the outcome of a request whose deadline has passed.

    Args:
        may_have_run: Whether an upstream may have run it, or still does.
    """
    if may_have_run:
        return Outcome(None, Kind.DEADLINE_AFTER_DISPATCH)
    return Outcome(None, Kind.OVERLOADED)


def after_failures(
    kind: kinds.ErrorKind,
    failure: messages.Response | None,
    may_have_run: bool,
) -> Outcome:
    """Returns the outcome of a request that is not sent again.

    Args:
        kind: Error of the last attempt.
        failure: An upstream's own failure, if one answered with it.
        may_have_run: Whether an upstream may have run the request.
    """
    if failure is not None:
        return Outcome(failure)
    proves_not_run = table.answer_for(kind).outcome is table.Outcome.NOT_RUN
    if not proves_not_run:
        return Outcome(None, kind)
    if may_have_run:
        # The last attempt didn't run it, but an earlier one may have.
        return Outcome(None, Kind.UPSTREAM_RESET)
    return Outcome(None, Kind.OVERLOADED)
