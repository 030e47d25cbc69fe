"""Converts parsed TOML to attrs classes and reports every problem."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import enum
import tomllib
from typing import Any
from typing import TypeVar

import attrs
import cattrs
import cattrs.gen

from lovageyoke.errors import exceptions
from lovageyoke.schema import checks

T = TypeVar("T")

HIDDEN_VALUE = "the value (not shown)"
MAX_SHOWN_CHARACTERS = 60
TYPE_NAMES = {
    bool: "true or false",
    int: "an integer",
    float: "a number",
    str: "a string",
}


class FieldError(ValueError):
    """A value is not allowed.

    Attributes:
        shown: The value as shown in messages.
        allowed: Description of allowed values.
    """

    def __init__(self, shown: str, allowed: str) -> None:
        super().__init__(f"{shown} is not allowed; expected {allowed}")
        self.shown = shown
        self.allowed = allowed


def structure(data: Mapping[str, Any], cls: type[T]) -> T:
    """Converts a parsed document to an attrs class.

    Args:
        data: The document.
        cls: The class; its fields may carry checks.

    Returns:
        The object.

    Raises:
        ValidationError: Lists every problem with its key.
    """
    try:
        return CONVERTER.structure(data, cls)
    except cattrs.BaseValidationError as error:
        problems = tuple(_problems(error, ""))
        raise exceptions.ValidationError(problems) from None
    except (FieldError, TypeError, ValueError) as error:
        raise exceptions.ValidationError((str(error),)) from None


def parse_toml(text: str) -> dict[str, Any]:
    """Parses TOML.

    Raises:
        ValidationError: The text is not valid TOML; gives line and column.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise exceptions.ValidationError(
            (f"not valid TOML: {error}",)
        ) from None


def _problems(error: BaseException, path: str) -> Iterator[str]:
    if isinstance(error, cattrs.BaseValidationError):
        for each in error.exceptions:
            yield from _problems(each, path + _path_component(each))
        return
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            known = ", ".join(each.name for each in attrs.fields(error.cl))
            yield f"{_join(path, key)}: unknown key; known keys are {known}"
        return
    if isinstance(error, KeyError):
        yield f"{path.lstrip('.')}: is missing"
        return
    yield f"{path.lstrip('.') or 'document'}: {error}"


def _path_component(error: BaseException) -> str:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, cattrs.AttributeValidationNote):
            return f".{note.name}"
        if isinstance(note, cattrs.IterableValidationNote):
            return f"[{note.index}]"
    return ""


def _join(path: str, key: str) -> str:
    return f"{path}.{key}".lstrip(".")


def _abbreviate(value: Any) -> str:
    text = repr(value)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[:MAX_SHOWN_CHARACTERS] + "..."
    return text


def _structure_primitive(value: Any, cls: type) -> Any:
    if cls is float and type(value) is int:
        return float(value)
    if type(value) is not cls:
        raise FieldError(_abbreviate(value), TYPE_NAMES[cls])
    return value


def _structure_enum(value: Any, cls: type[enum.Enum]) -> enum.Enum:
    for member in cls:
        if member.value == value:
            return member
    allowed = ", ".join(repr(member.value) for member in cls)
    raise FieldError(_abbreviate(value), f"one of {allowed}")


def _checked_hook(
    converter: cattrs.Converter, attribute: attrs.Attribute[Any]
) -> Callable[[Any, Any], Any]:
    check: checks.Check = attribute.metadata[checks.CHECK]
    secret: bool = attribute.metadata[checks.REDACTED]

    def hook(value: Any, cls: Any) -> Any:
        shown = HIDDEN_VALUE if secret else _abbreviate(value)
        try:
            result = converter.structure(value, cls)
        except FieldError:
            raise FieldError(shown, check.allowed) from None
        except cattrs.BaseValidationError:
            if secret:
                raise FieldError(shown, check.allowed) from None
            raise
        if not check.accepts(result):
            raise FieldError(shown, check.allowed)
        return result

    return hook


def _class_hook(cls: type, converter: cattrs.Converter) -> Any:
    attrs.resolve_types(cls)
    overrides: dict[str, Any] = {
        attribute.name: cattrs.gen.override(
            struct_hook=_checked_hook(converter, attribute)
        )
        for attribute in attrs.fields(cls)
        if checks.CHECK in attribute.metadata
    }
    inner: Any = cattrs.gen.make_dict_structure_fn(
        cls,
        converter,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
        **overrides,
    )

    def hook(value: Any, target: Any) -> Any:
        if not isinstance(value, Mapping):
            raise FieldError(_abbreviate(value), "a table")
        return inner(value, target)

    return hook


def _sequence_hook(cls: Any, converter: cattrs.Converter) -> Any:
    item_type = cls.__args__[0]

    def hook(value: Any, target: Any) -> tuple[Any, ...]:
        if not isinstance(value, (list, tuple)):
            raise FieldError(_abbreviate(value), "a list")
        items: list[Any] = []
        errors: list[Exception] = []
        for index, each in enumerate(value):
            try:
                items.append(converter.structure(each, item_type))
            except Exception as error:
                note = cattrs.IterableValidationNote(
                    f"item {index}", index, item_type
                )
                error.add_note(note)
                errors.append(error)
        if errors:
            raise cattrs.IterableValidationError("items", errors, target)
        return tuple(items)

    return hook


def _is_homogeneous_tuple(cls: Any) -> bool:
    is_tuple = getattr(cls, "__origin__", None) is tuple
    return is_tuple and cls.__args__[-1] is Ellipsis


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True)
    for cls in TYPE_NAMES:
        converter.register_structure_hook(cls, _structure_primitive)
    converter.register_structure_hook_func(
        lambda cls: isinstance(cls, type) and issubclass(cls, enum.Enum),
        _structure_enum,
    )
    converter.register_structure_hook_factory(
        attrs.has, lambda cls: _class_hook(cls, converter)
    )
    converter.register_structure_hook_factory(
        _is_homogeneous_tuple, lambda cls: _sequence_hook(cls, converter)
    )
    return converter


CONVERTER = _make_converter()
