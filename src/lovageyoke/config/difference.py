"""Field-by-field difference between two states of a service."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

import attrs

from lovageyoke.config import document
from lovageyoke.config import model

Change = document.FieldChange


@attrs.frozen
class FlatService:
    """A service's fields as text, by path.

    Attributes:
        values: Scalar fields by path.
        items: Fields of each upstream and rule, by the item's path.
    """

    values: Mapping[str, str] = attrs.field(factory=dict)
    items: Mapping[str, Mapping[str, str]] = attrs.field(factory=dict)


def changes(
    before: model.Service | None, after: model.Service | None
) -> tuple[document.FieldChange, ...]:
    """Returns the fields that differ, sorted by path."""
    old = _flatten(before)
    new = _flatten(after)
    found = list(_value_changes("", old.values, new.values))
    for path in old.items.keys() | new.items.keys():
        found.extend(
            _item_changes(path, old.items.get(path), new.items.get(path))
        )
    return tuple(sorted(found, key=lambda each: each.path))


def describe(change: document.FieldChange) -> str:
    """Returns a one-line, human-readable description of a change."""
    if not change.before:
        return f"add {change.path} = {change.after}"
    if not change.after:
        return f"remove {change.path} (was {change.before})"
    return f"change {change.path}: {change.before} -> {change.after}"


def _value_changes(
    prefix: str, old: Mapping[str, str], new: Mapping[str, str]
) -> Iterator[document.FieldChange]:
    for key in old.keys() | new.keys():
        before = old.get(key, "")
        after = new.get(key, "")
        if before != after:
            yield Change(f"{prefix}{key}", before, after)


def _item_changes(
    path: str, old: Mapping[str, str] | None, new: Mapping[str, str] | None
) -> Iterator[document.FieldChange]:
    if old is not None and new is not None:
        yield from _value_changes(f"{path}.", old, new)
    else:
        yield Change(path, _join_texts(old or {}), _join_texts(new or {}))


def _flatten(service: model.Service | None) -> FlatService:
    if service is None:
        return FlatService()
    table = document.CONVERTER.unstructure(service)
    items: dict[str, Mapping[str, str]] = {}
    for upstream in table.pop("upstreams"):
        path = f"upstreams[{upstream.pop('upstream_id')}]"
        items[path] = _field_texts(upstream)
    for index, rule in enumerate(table.pop("unrepeatable")):
        items[f"unrepeatable[{index}]"] = _field_texts(rule)
    return FlatService(dict(_leaf_values("", table)), items)


def _leaf_values(
    path: str, table: Mapping[str, Any]
) -> Iterator[tuple[str, str]]:
    for key, value in table.items():
        full_path = f"{path}{key}"
        if isinstance(value, Mapping):
            yield from _leaf_values(f"{full_path}.", value)
        elif _text(value):
            yield full_path, _text(value)


def _field_texts(table: Mapping[str, Any]) -> dict[str, str]:
    return {key: _text(value) for key, value in table.items() if _text(value)}


def _join_texts(texts: Mapping[str, str]) -> str:
    return ", ".join(f"{key} {text}" for key, text in texts.items())


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return " ".join(str(item) for item in value)
    return str(value)
