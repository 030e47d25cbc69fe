"""Times and versions as the platform writes them."""

from __future__ import annotations

import re

_TIME = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)(ms|s)\s*")
_VERSION = re.compile(r"r([0-9]{1,18})")
MS_PER_SECOND = 1_000.0


def milliseconds(text: object) -> float:
    """Returns the milliseconds of a time such as ``1500ms`` or ``2.5s``.

    Raises:
        ValueError: It is not such a text.
    """
    match = _TIME.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"not a time: {text!r}")
    factor = MS_PER_SECOND if match[2] == "s" else 1.0
    return float(match[1]) * factor


def time_text(duration_ms: float) -> str:
    """Returns a time as text, in whole milliseconds."""
    return f"{round(duration_ms)}ms"


def version_number(text: object) -> int:
    """Returns the number of a version such as ``r12``.

    Raises:
        ValueError: It is not such a text.
    """
    match = _VERSION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"not a version: {text!r}")
    return int(match[1])
