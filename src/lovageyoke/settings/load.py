"""Loads and validates a settings file."""

from __future__ import annotations

from collections.abc import Iterator
import pathlib

from lovageyoke.errors import exceptions
from lovageyoke.schema import structure
from lovageyoke.settings import model


def load(path: pathlib.Path) -> model.Settings:
    """Loads and validates a settings file.

    Args:
        path: The TOML file.

    Returns:
        The validated settings.

    Raises:
        SettingsError: The file is unreadable or invalid. Each problem names
            the file, and where they apply the key, the rejected value
            (unless it is secret) and what is allowed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError((f"{path}: {error}",)) from None
    try:
        settings = parse(text)
    except exceptions.ValidationError as error:
        problems = tuple(f"{path}: {each}" for each in error.problems)
        raise exceptions.SettingsError(problems) from None
    return settings


def parse(text: str) -> model.Settings:
    """Parses and validates settings from TOML text.

    Raises:
        ValidationError: The text is not valid TOML, or a setting is invalid;
            each problem with a setting names its key.
    """
    data = structure.parse_toml(text)
    settings = structure.structure(data, model.Settings)
    problems = tuple(_cross_field_problems(settings))
    if problems:
        raise exceptions.SettingsError(problems)
    return settings


def _cross_field_problems(settings: model.Settings) -> Iterator[str]:
    yield from _duplicate_operators(settings)
    if not settings.peers.keys:
        yield "peers.keys: at least one key is needed"
    for name in ("caller", "operator", "peer"):
        tls: model.Tls = getattr(settings.tls, name)
        if bool(tls.certificate) != bool(tls.key):
            yield f"tls.{name}: certificate and key must be set together"
        for field in ("certificate", "key", "authority"):
            path = getattr(tls, field)
            if path and not pathlib.Path(path).is_file():
                yield f"tls.{name}.{field}: {path!r} is not a file"


def _duplicate_operators(settings: model.Settings) -> Iterator[str]:
    names = [each.name for each in settings.operators]
    tokens = [each.token_sha256 for each in settings.operators]
    for index, each in enumerate(settings.operators):
        if each.name in names[:index]:
            yield f"operators[{index}].name: {each.name!r} is used twice"
        if each.token_sha256 in tokens[:index]:
            yield f"operators[{index}].token_sha256: is used twice"
