"""Configuration of structured logging."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import TextIO

from loguru import logger
import orjson

from lovageyoke.settings import model

if TYPE_CHECKING:
    import loguru

TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {name} {message} {extra}"
    "\n{exception}"
)


def configure(settings: model.Log, stream: TextIO | None = None) -> None:
    """Replaces the log sinks of this process.

    Args:
        settings: Level and format of the log records.
        stream: Output stream; standard error by default.
    """
    sink = stream or sys.stderr
    logger.remove()
    level = settings.level.value.upper()
    if settings.format is model.LogFormat.JSON:
        logger.add(
            sink,
            level=level,
            format=_json_line,
            backtrace=False,
            diagnose=False,
        )
        return
    # Tracebacks that include variable values would reveal secrets.
    logger.add(
        sink, level=level, format=TEXT_FORMAT, backtrace=False, diagnose=False
    )


def _json_line(record: loguru.Record) -> str:
    line: dict[str, object] = {
        "time": record["time"].isoformat(),
        "level": record["level"].name.lower(),
        "logger": record["name"],
        "message": record["message"],
    }
    line.update(record["extra"])
    if record["exception"] is not None:
        line["error"] = repr(record["exception"].value)
    encoded = orjson.dumps(line, default=str).decode()
    record["extra"]["encoded"] = encoded
    return "{extra[encoded]}\n"
