"""Intents: TOML that describes the desired state of one service."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

import attrs
import cattrs
import tomli_w

from lovageyoke.config import model
from lovageyoke.errors import exceptions
from lovageyoke.routing import registry
from lovageyoke.schema import checks
from lovageyoke.schema import structure

MAX_INTENT_BYTES = 1_000_000
MAX_UPSTREAMS = 2_000
REMOVE_KEY = "remove"


@attrs.frozen
class Intent:
    """The desired state of a service.

    Attributes:
        name: Name of the service.
        service: Its content, or None to remove it.
    """

    name: str
    service: model.Service | None


@attrs.frozen
class Removal:
    """An intent that removes a service.

    Attributes:
        name: Name of the service.
        remove: True.
    """

    name: str = checks.checked(checks.NAME)
    remove: bool = False


def parse(text: str | bytes) -> Intent:
    """Parses an intent from TOML.

    Raises:
        IntentError: Lists every problem that was found.
    """
    try:
        intent = _parse(text)
    except exceptions.ValidationError as error:
        raise exceptions.IntentError(error.problems) from error
    except RecursionError as error:
        problem = "the intent is nested too deeply"
        raise exceptions.IntentError((problem,)) from error
    if intent.service is not None:
        problems = cross_field_problems(intent.service)
        if problems:
            raise exceptions.IntentError(problems)
    return intent


def render(intent: Intent) -> str:
    """Returns an intent as TOML that ``parse`` accepts."""
    if intent.service is None:
        return tomli_w.dumps({"name": intent.name, REMOVE_KEY: True})
    return tomli_w.dumps(cattrs.unstructure(intent.service))


def cross_field_problems(service: model.Service) -> tuple[str, ...]:
    """Returns problems of fields that are valid alone but not together."""
    return tuple(_cross_field_problems(service))


def _parse(text: str | bytes) -> Intent:
    if len(text) > MAX_INTENT_BYTES:
        problem = f"the intent exceeds {MAX_INTENT_BYTES} bytes"
        raise exceptions.ValidationError((problem,))
    try:
        decoded = text.decode() if isinstance(text, bytes) else text
    except UnicodeDecodeError as error:
        problem = f"the intent is not UTF-8: {error}"
        raise exceptions.ValidationError((problem,)) from error
    table = structure.parse_toml(decoded)
    if table.get(REMOVE_KEY) is True:
        removal = structure.structure(table, Removal)
        return Intent(removal.name, None)
    service = structure.structure(table, model.Service)
    return Intent(service.name, service)


def _cross_field_problems(service: model.Service) -> Iterator[str]:
    if not service.hosts and not service.path_prefixes:
        yield "hosts: is missing; a service needs hosts or path_prefixes"
    yield from _duplicates("hosts", service.hosts)
    yield from _duplicates("path_prefixes", service.path_prefixes)
    yield from _upstream_problems(service.upstreams)
    for index, rule in enumerate(service.unrepeatable):
        yield from _rule_problems(f"unrepeatable[{index}]", rule)
    if service.routing.policy not in registry.NAMES:
        allowed = ", ".join(registry.NAMES)
        yield (
            f"routing.policy: {service.routing.policy!r} is not allowed; "
            f"expected one of {allowed}"
        )


def _upstream_problems(
    upstreams: tuple[model.Upstream, ...],
) -> Iterator[str]:
    if len(upstreams) > MAX_UPSTREAMS:
        yield (
            f"upstreams: {len(upstreams)} is not allowed; expected at most "
            f"{MAX_UPSTREAMS}"
        )
    ids = (each.upstream_id for each in upstreams)
    yield from _duplicates("upstreams", ids, ".upstream_id")
    sockets = (f"{each.address} port {each.port}" for each in upstreams)
    yield from _duplicates("upstreams", sockets, ".address")


def _rule_problems(path: str, rule: model.UnrepeatableRule) -> Iterator[str]:
    if not rule.methods:
        yield f"{path}.methods: () is not allowed; expected one method or more"
    if rule.identity_header and rule.identity_fields:
        yield (
            f"{path}.identity_header: {rule.identity_header!r} is not allowed; "
            "expected '' where identity_fields are given"
        )
    if not rule.identity_header and not rule.identity_fields:
        yield (
            f"{path}.identity_header: '' is not allowed; expected a header "
            "name, or identity_fields"
        )


def _duplicates(
    path: str, values: Iterable[str], suffix: str = ""
) -> Iterator[str]:
    seen = set()
    for index, value in enumerate(values):
        if value in seen:
            yield (
                f"{path}[{index}]{suffix}: {value!r} is not allowed; each may "
                "appear only once"
            )
        seen.add(value)
