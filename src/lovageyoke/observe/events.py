"""Rate-limited structured event log that never blocks the event loop."""

from __future__ import annotations

import json
import os
import traceback
from typing import Any

from lovageyoke.clock import api as clock_api

LINES_PER_S = 40.0  # Limit per event kind; excess lines are only counted.
BURST_LINES = 80.0
MAX_ERROR_CHARS = 300
MAX_TRACEBACK_CHARS = 600
STDOUT = 1


class EventLog:
    """Writes one JSON line per event.

    Each event kind has a token bucket. Lines that exceed the rate, and lines
    that can't be written because the reader is too slow, are dropped and
    counted; the next line of that kind reports the count.

    Attributes:
        clock: Source of time.
        node_id: Id of the VM, included in every line.
        descriptor: File descriptor that lines are written to; it is set to
            non-blocking.
        dropped: Lines dropped by kind since that kind's last written line.
        written: Lines written since the start.
        unsent: Remainder of a partially written line.
    """

    def __init__(
        self, clock: clock_api.Clock, node_id: str, descriptor: int = STDOUT
    ) -> None:
        self.clock = clock
        self.node_id = node_id
        self.descriptor = descriptor
        self.tokens: dict[str, tuple[float, float]] = {}
        self.dropped: dict[str, int] = {}
        self.written = 0
        self.unsent = b""
        os.set_blocking(descriptor, False)

    def event(self, kind: str, /, **fields: Any) -> None:  # noqa: ANN401
        """Writes an event.

        Args:
            kind: Event kind.
            **fields: Cause and outcome of the event.
        """
        now_ms = self.clock.now_ms()
        if not self.take_token(kind, now_ms):
            self.dropped[kind] = self.dropped.get(kind, 0) + 1
            return
        line = {
            "wall_ms": self.clock.wall_ms(),
            "at_ms": round(now_ms, 1),
            "vm": self.node_id,
            "event": kind,
        }
        line.update(fields)
        dropped = self.dropped.pop(kind, 0)
        if dropped:
            line["dropped_before"] = dropped
        encoded = json.dumps(line, separators=(",", ":"), default=str)
        if self.write(encoded.encode() + b"\n"):
            self.written += 1
        else:
            # The reader is slow or has closed the pipe; requests must not wait
            # for it.
            self.dropped[kind] = self.dropped.get(kind, 0) + dropped + 1

    def failure(
        self,
        kind: str,
        error: Exception,
        /,
        **fields: Any,  # noqa: ANN401
    ) -> None:
        """Writes an event about an unexpected error, with its traceback.

        Args:
            kind: Event kind.
            error: The error, which must have been caught.
            **fields: What the process was doing.
        """
        lines = traceback.format_exception(error)
        self.event(
            kind,
            error=repr(error)[:MAX_ERROR_CHARS],
            where="".join(lines)[-MAX_TRACEBACK_CHARS:],
            **fields,
        )

    def write(self, line: bytes) -> bool:
        """Writes a line after the remainder of a partially written one.

        Returns:
            Whether any part of the line was written. The remainder is written
            before the next line, so that each line in the log is complete.
        """
        try:
            if self.unsent:
                written_bytes = os.write(self.descriptor, self.unsent)
                self.unsent = self.unsent[written_bytes:]
            if self.unsent:
                return False
            written_bytes = os.write(self.descriptor, line)
        except OSError:
            return False
        self.unsent = line[written_bytes:]
        return True

    def take_token(self, kind: str, now_ms: float) -> bool:
        """Takes a token from the kind's bucket; returns False if empty."""
        tokens, updated_ms = self.tokens.get(kind, (BURST_LINES, now_ms))
        added = (now_ms - updated_ms) / 1_000.0 * LINES_PER_S
        tokens = min(BURST_LINES, tokens + added)
        admitted = tokens >= 1.0
        self.tokens[kind] = (tokens - 1.0 if admitted else tokens, now_ms)
        return admitted
