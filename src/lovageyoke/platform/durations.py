"""Durations and version numbers in the platform's text format."""

from __future__ import annotations

import re

# The number of digits keeps a duration finite.
_DURATION = re.compile(r"\s*([0-9]{1,12}(?:\.[0-9]{1,12})?)(ms|s)\s*")
_VERSION = re.compile(r"r([0-9]{1,18})")
MS_PER_SECOND = 1_000.0


def parse_duration_ms(text: object) -> float:
    """Parses a duration such as ``1500ms`` or ``2.5s`` into milliseconds.

    Raises:
        ValueError: The value is not a valid duration.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"invalid duration: {text!r}")
    factor = MS_PER_SECOND if match[2] == "s" else 1.0
    return float(match[1]) * factor


def format_duration(duration_ms: float) -> str:
    """Formats a duration, rounded to whole milliseconds."""
    return f"{round(duration_ms)}ms"


def parse_version(text: object) -> int:
    """Parses the number of a version such as ``r12``.

    Raises:
        ValueError: The value is not a valid version.
    """
    match = _VERSION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"invalid version: {text!r}")
    return int(match[1])
