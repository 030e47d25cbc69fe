"""Derives the identity of a non-idempotent request."""

from __future__ import annotations

import hashlib
import json
import posixpath
from typing import Any
import unicodedata
import urllib.parse

import attrs

from lovageyoke.config import model
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds

DIGEST_BYTES = 16
MAX_IDENTITY_BYTES = 256

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Request:
    """The parts of a request that the identity rules use.

    Attributes:
        method: HTTP method.
        target: Path and query as received.
        headers: Pairs of lowercase header name and value.
        body: The complete body.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@attrs.frozen
class IdentifiedRequest:
    """An unrepeatable request and the parts of its claim.

    Attributes:
        rule: The rule that matched.
        scope: Hash of the service and the caller's credential.
        identity: Hash of the identity, or None if the request has none and
            the rule allows it to run once without a claim.
        fingerprint: Hash of method, target and body.
    """

    rule: model.UnrepeatableRule
    scope: str
    identity: str | None
    fingerprint: str


def identify(
    service: str,
    rules: tuple[model.UnrepeatableRule, ...],
    request: Request,
    credential: bytes,
) -> IdentifiedRequest | None:
    """Returns the identity of a request, or None if it may be repeated.

    Args:
        service: Name of the service.
        rules: The service's rules; the first matching rule applies.
        request: The request.
        credential: The caller's credential, or b"" if there is none.

    Raises:
        CallerError: The identity is missing (IDENTITY_MISSING) or malformed
            (BAD_REQUEST); the request must not be sent.
    """
    rule = matching_rule(rules, request.method, request.target)
    if rule is None:
        return None
    identity = _identity(rule, request)
    if identity is None and rule.missing is model.MissingIdentity.REFUSE:
        raise exceptions.CallerError(
            f"the request needs {_identity_source(rule)}",
            kinds.ErrorKind.IDENTITY_MISSING,
        )
    return IdentifiedRequest(
        rule=rule,
        scope=digest(service.encode(), credential),
        identity=identity,
        fingerprint=digest(request.method, request.target, request.body),
    )


def credential_of(headers: Headers) -> bytes:
    """Returns the value of the Authorization header, or b""."""
    return b"\0".join(_header_values(headers, b"authorization"))


def matching_rule(
    rules: tuple[model.UnrepeatableRule, ...], method: bytes, target: bytes
) -> model.UnrepeatableRule | None:
    """Returns the first rule that applies to a request, or None.

    Both the received and the normalized path are matched, so that an
    equivalent spelling of a path can't bypass its rule.
    """
    name = method.decode("latin-1").upper()
    raw = target.decode("latin-1").split("?", 1)[0]
    paths = (raw, normalized_path(raw))
    for rule in rules:
        if name not in rule.methods:
            continue
        if any(path.startswith(rule.path_prefix) for path in paths):
            return rule
    return None


def normalized_path(path: str) -> str:
    """Resolves percent-encoding, dot segments and repeated slashes."""
    unquoted = urllib.parse.unquote(path.split("?", 1)[0])
    normal = posixpath.normpath("/" + unquoted.lstrip("/"))
    if unquoted.endswith("/") and normal != "/":
        return normal + "/"
    return normal


def digest(*parts: bytes) -> str:
    """Returns a collision-resistant hash of a sequence of byte strings.

    Each part is hashed with its length, so that moving bytes between
    adjacent parts changes the hash.
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()


def _identity_source(rule: model.UnrepeatableRule) -> str:
    if rule.identity_header:
        return f"the header {rule.identity_header}"
    return "the body fields " + ", ".join(rule.identity_fields)


def _identity(rule: model.UnrepeatableRule, request: Request) -> str | None:
    if rule.identity_header:
        return _header_identity(rule.identity_header, request.headers)
    return _field_identity(rule.identity_fields, request.body)


def _header_values(headers: Headers, name: bytes) -> list[bytes]:
    return [value for key, value in headers if key.lower() == name]


def _header_identity(header: str, headers: Headers) -> str | None:
    values = _header_values(headers, header.lower().encode("latin-1"))
    distinct = {value.strip() for value in values}
    if len(distinct) > 1:
        raise exceptions.CallerError(f"several values of the header {header}")
    value = distinct.pop() if distinct else b""
    if len(value) > MAX_IDENTITY_BYTES:
        raise exceptions.CallerError(
            f"the header {header} exceeds {MAX_IDENTITY_BYTES} bytes"
        )
    return digest(b"header", value) if value else None


def _field_identity(fields: tuple[str, ...], body: bytes) -> str | None:
    if not fields:
        return None
    try:
        document = json.loads(body, object_pairs_hook=_unique_keys)
    except (ValueError, RecursionError) as error:
        raise exceptions.CallerError(
            f"the body is not valid JSON: {error}"
        ) from error
    values = [_field(document, name) for name in fields]
    if any(value in {None, ""} for value in values):
        return None
    return digest(b"fields", *(str(value).encode() for value in values))


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError("an object repeats a key")
    return result


def _field(document: object, name: str) -> str | None:
    """Returns a scalar field as text; 7, 7.0 and "7" yield the same text."""
    value: Any = document
    for part in name.split("."):
        if not isinstance(value, dict):
            return None
        value = value.get(part)
    if value is None:
        return None
    if isinstance(value, (dict, list)):
        raise exceptions.CallerError(f"the body field {name} is not a scalar")
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    try:
        text = unicodedata.normalize("NFC", str(value))
        text.encode()
    except ValueError as error:
        raise exceptions.CallerError(
            f"the body field {name} is not valid text"
        ) from error
    return text
