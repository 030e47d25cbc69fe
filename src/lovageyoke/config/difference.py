"""The difference between two contents of a service, in words."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from lovageyoke.config import document
from lovageyoke.config import model

Change = document.FieldChange


def changes(
    before: model.Service | None, after: model.Service | None
) -> tuple[document.FieldChange, ...]:
    """Returns the fields that differ, in order of their names."""
    old = dict(_flatten(before))
    new = dict(_flatten(after))
    return tuple(
        Change(path, old.get(path, ""), new.get(path, ""))
        for path in sorted(old.keys() | new.keys())
        if old.get(path, "") != new.get(path, "")
    )


def words(change: document.FieldChange) -> str:
    """Returns a change as one line for people."""
    if not change.before:
        return f"add {change.path} = {change.after}"
    if not change.after:
        return f"remove {change.path} (was {change.before})"
    return f"change {change.path}: {change.before} -> {change.after}"


def _flatten(service: model.Service | None) -> Iterator[tuple[str, str]]:
    if service is None:
        return
    table = document.CONVERTER.unstructure(service)
    for upstream in table.pop("upstreams"):
        path = f"upstreams[{upstream.pop('upstream_id')}]"
        yield path, _compact(upstream)
    for index, rule in enumerate(table.pop("unrepeatable")):
        yield f"unrepeatable[{index}]", _compact(rule)
    yield from _leaves("", table)


def _leaves(path: str, value: Any) -> Iterator[tuple[str, str]]:  # noqa: ANN401
    if isinstance(value, Mapping):
        for key, item in value.items():
            yield from _leaves(f"{path}.{key}" if path else key, item)
        return
    text = _text(value)
    if text:
        yield path, text


def _compact(table: Mapping[str, Any]) -> str:
    parts = (f"{key} {_text(value)}" for key, value in table.items())
    return ", ".join(parts)


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return " ".join(str(item) for item in value)
    return str(value)
