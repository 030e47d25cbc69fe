"""Tells a request's story from logs."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from lovageyoke.cli import app
from lovageyoke.cli import exits
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.explain import timeline


@app.APP.command("explain")
def explain(
    request_id: Annotated[str, typer.Argument(help="The request's id.")],
    logs: Annotated[
        list[pathlib.Path], typer.Argument(help="Logs of processes.")
    ],
) -> None:
    """Tell what the logs of processes say of a request, in time order."""
    lines: list[str] = []
    for path in logs:
        try:
            lines += path.read_text(encoding="utf-8").splitlines()
        except (OSError, ValueError) as error:
            exits.fail(
                exceptions.ValidationError(
                    (f"{path}: {error}",), kinds.ErrorKind.NOT_FOUND
                )
            )
    for line in timeline.explain(timeline.parse(lines), request_id):
        typer.echo(line)
