"""Checks a settings file."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from lovageyoke.cli import exits
from lovageyoke.cli import settings as settings_group
from lovageyoke.errors import exceptions
from lovageyoke.settings import load


@settings_group.SETTINGS.command("check")
def check(
    file: Annotated[pathlib.Path, typer.Argument(help="The settings file.")],
) -> None:
    """Check a settings file and report every problem at once."""
    try:
        load.load(file)
    except exceptions.SettingsError as error:
        exits.fail(error)
    typer.echo(f"{file}: ok")
