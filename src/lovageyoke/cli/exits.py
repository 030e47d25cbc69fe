"""Exit codes of the command line."""

from __future__ import annotations

import enum
from typing import NoReturn

import typer

from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_INPUT = 3
    CONFLICT = 4
    REFUSED = 5
    UNAVAILABLE = 6
    BROKEN_PROMISE = 7


EXIT_CODES: dict[kinds.ErrorKind, ExitCode] = {
    kinds.ErrorKind.INVALID_SETTINGS: ExitCode.INVALID_INPUT,
    kinds.ErrorKind.INVALID_INTENT: ExitCode.INVALID_INPUT,
    kinds.ErrorKind.BAD_REQUEST: ExitCode.INVALID_INPUT,
    kinds.ErrorKind.DECODE: ExitCode.INVALID_INPUT,
    kinds.ErrorKind.PLAN_CONFLICT: ExitCode.CONFLICT,
    kinds.ErrorKind.UNAUTHENTICATED: ExitCode.REFUSED,
    kinds.ErrorKind.FORBIDDEN: ExitCode.REFUSED,
    kinds.ErrorKind.RATE_LIMITED: ExitCode.REFUSED,
    kinds.ErrorKind.PLATFORM_UNAVAILABLE: ExitCode.UNAVAILABLE,
    kinds.ErrorKind.PLATFORM_OUTCOME_UNKNOWN: ExitCode.UNAVAILABLE,
    kinds.ErrorKind.PEER_UNAVAILABLE: ExitCode.UNAVAILABLE,
}


def fail(error: exceptions.LovageyokeError) -> NoReturn:
    """Prints an error and ends the command with the code of its kind."""
    if isinstance(error, exceptions.ValidationError):
        for problem in error.problems:
            typer.echo(problem, err=True)
    else:
        typer.echo(error.detail, err=True)
    raise typer.Exit(EXIT_CODES.get(error.kind, ExitCode.FAILED))
