"""Reconstructs the history of a request from log lines.

The output includes the state that the process acted on at that time. This
module does no I/O. Lines may have a prefix added by a log collector;
everything before the first brace is skipped.
"""

from __future__ import annotations

from collections.abc import Iterable
import json
from typing import Any

import attrs

STATE_EVENTS = (
    "configuration",
    "upstreams",
    "store-lost",
    "store-regained",
    "store-returned",
)
ACCOUNT_EVENTS = ("quota-limited", "quota-limiting-ended")
UPSTREAM_EVENTS = (
    "upstream-health",
    "upstream-silent",
    "upstream-cold",
    "rate-limit",
)


@attrs.frozen
class Event:
    """One line of a process's log.

    Attributes:
        wall_ms: Unix time of the VM in milliseconds.
        vm: Name of the VM.
        kind: Kind of the event.
        fields: All fields of the line.
    """

    wall_ms: int
    vm: str
    kind: str
    fields: dict[str, Any]

    def concerns(self, request_id: str) -> bool:
        """Returns whether the event is about a request."""
        return self.fields.get("request") == request_id


def parse(lines: Iterable[str]) -> list[Event]:
    """Returns the events in log lines; other lines are skipped."""
    events = []
    for line in lines:
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            raw = json.loads(line[begin:])
        except ValueError:
            continue
        if isinstance(raw, dict) and "event" in raw and "wall_ms" in raw:
            events.append(
                Event(
                    int(raw["wall_ms"]),
                    str(raw.get("vm", "?")),
                    str(raw["event"]),
                    raw,
                )
            )
    return sorted(events, key=lambda each: each.wall_ms)


def explain(events: list[Event], request_id: str) -> list[str]:
    """Returns a request's events with the process state at each of them.

    Args:
        events: The events of all processes, oldest first.
        request_id: Identity of the request.
    """
    own = [each for each in events if each.concerns(request_id)]
    if not own:
        return [f"no line of these logs is about request {request_id}"]
    lines: list[str] = []
    for event in own:
        lines.extend(_state_before(events, event))
        lines.append(_line(event))
        lines.extend(f"    {step}" for step in event.fields.get("story", []))
    return lines


def _state_before(events: list[Event], event: Event) -> list[str]:
    """Returns the latest state events on the event's VM before an event."""
    latest: dict[str, Event] = {}
    steps = " ".join(event.fields.get("story", []))
    for other in events:
        if other.vm != event.vm or other.wall_ms > event.wall_ms:
            continue
        upstream = str(other.fields.get("upstream", ""))
        if other.kind in STATE_EVENTS:
            kind = "store" if other.kind.startswith("store") else other.kind
            latest[kind] = other
        elif other.kind == "evacuation-begun":
            latest[f"evacuation {other.fields.get('domain')}"] = other
        elif other.kind == "evacuation-ended":
            latest.pop(f"evacuation {other.fields.get('domain')}", None)
        elif other.kind in ACCOUNT_EVENTS:
            if other.fields.get("account") == event.fields.get("account"):
                latest["quota"] = other
        elif other.kind == "upstream-warm":
            latest.pop("upstream-cold" + upstream, None)
        elif other.kind in UPSTREAM_EVENTS and upstream in steps:
            latest[other.kind + upstream] = other
    ordered = sorted(latest.values(), key=lambda each: each.wall_ms)
    return [
        f"  believed for {event.wall_ms - each.wall_ms} ms: {_line(each)}"
        for each in ordered
    ]


def _line(event: Event) -> str:
    hidden = {"wall_ms", "at_ms", "vm", "event", "story", "request"}
    fields = " ".join(
        f"{name}={value}"
        for name, value in event.fields.items()
        if name not in hidden
    )
    return f"{event.wall_ms} {event.vm} {event.kind} {fields}"
