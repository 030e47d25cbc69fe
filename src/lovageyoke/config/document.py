"""The document of a group: its services and their latest audit records."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import TypeVar
import zlib

import attrs
import cattrs
from cattrs.preconf import cbor2 as cattrs_cbor2
import cattrs.v

from lovageyoke.config import model
from lovageyoke.errors import exceptions
from lovageyoke.store import api

FORMAT = 1
COMPRESSION_LEVEL = 1
MAX_DECODED_BYTES = 16_000_000

Decoded = TypeVar("Decoded")


class Action(enum.Enum):
    """What a plan does to a service."""

    CREATE = "create"
    CHANGE = "change"
    REMOVE = "remove"
    UNDO = "undo"


@attrs.frozen
class FieldChange:
    """One field that a plan changes.

    Attributes:
        path: Name of the field.
        before: Its old value as text, "" if the field is added.
        after: Its new value as text, "" if the field is removed.
    """

    path: str
    before: str
    after: str


@attrs.frozen
class AuditRecord:
    """A confirmed change.

    Attributes:
        service: Name of the service.
        team: Team of the service after the change, or before its removal.
        version: Version that the change created.
        action: Kind of change.
        plan_id: Id of the confirmed plan.
        operator: Name of the operator who confirmed it.
        wall_ms: Time of confirmation, in milliseconds since the Unix epoch.
        changes: Changed fields, with old and new values.
        forced: Whether the plan had faults and was applied with force.
    """

    service: str
    team: str
    version: int
    action: Action
    plan_id: str
    operator: str
    wall_ms: int
    changes: tuple[FieldChange, ...]
    forced: bool = False


@attrs.frozen
class ServiceState:
    """The stored state of a service.

    Attributes:
        version: Number of confirmed changes of this name.
        sequence: Sequence of the document at the last change of the service.
        service: The content, or None if the service is removed.
        previous: The content before the last change, for undo.
    """

    version: int
    sequence: int
    service: model.Service | None
    previous: model.Service | None = None

    def versioned(self) -> model.VersionedService:
        """Returns the content with its version."""
        return model.VersionedService(self.version, self.service)


@attrs.frozen
class Document:
    """Value stored under a group's key.

    Attributes:
        sequence: Number of confirmed changes in the group.
        entries: Services by name, removed ones included.
        records: Audit records that are not yet archived, oldest first.
        segments: Number of segments of archived audit records.
        format: Version of the encoding.
    """

    sequence: int = 0
    entries: Mapping[str, ServiceState] = attrs.field(factory=dict)
    records: tuple[AuditRecord, ...] = ()
    segments: int = 0
    format: int = FORMAT

    def service_state(self, name: str) -> ServiceState:
        """Returns a service's state; version 0 if it never existed."""
        return self.entries.get(name) or ServiceState(0, 0, None)


@attrs.frozen
class Segment:
    """Archived audit records, oldest first."""

    records: tuple[AuditRecord, ...]
    format: int = FORMAT


CONVERTER = cattrs_cbor2.make_converter(forbid_extra_keys=True)


def encode(value: Document | Segment) -> bytes:
    """Returns a document or segment as compressed CBOR.

    Raises:
        IntentError: The result exceeds a size limit of the decoder or store.
    """
    plain = CONVERTER.dumps(value)
    compressed = zlib.compress(plain, COMPRESSION_LEVEL)
    if len(plain) > MAX_DECODED_BYTES or len(compressed) > api.MAX_VALUE_BYTES:
        problem = "the services that share the service's group are too large"
        raise exceptions.IntentError((problem,))
    return compressed


def decode_document(data: bytes) -> Document:
    """Returns the document in ``data``.

    Raises:
        DecodeError: The bytes are not a document of a known format.
    """
    document = _decode(data, Document)
    _require_format(document.format)
    for name, service_state in document.entries.items():
        if (
            service_state.service is not None
            and service_state.service.name != name
        ):
            raise exceptions.DecodeError(
                f"service stored as {name!r} has a different name"
            )
    return document


def decode_segment(data: bytes) -> Segment:
    """Returns the audit records in ``data``.

    Raises:
        DecodeError: The bytes are not a segment of a known format.
    """
    segment = _decode(data, Segment)
    _require_format(segment.format)
    return segment


def _decode(data: bytes, data_type: type[Decoded]) -> Decoded:
    try:
        return CONVERTER.loads(_decompress(data), data_type)
    except cattrs.BaseValidationError as error:
        lines = "; ".join(
            cattrs.transform_error(error, format_exception=_format)
        )
        raise exceptions.DecodeError(f"malformed document: {lines}") from error
    except exceptions.DecodeError:
        raise
    except Exception as error:
        # The CBOR library raises many exception types on malformed input.
        raise exceptions.DecodeError(f"malformed CBOR: {error}") from error


def _format(error: BaseException, data_type: type | None) -> str:
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        # The library joins the keys as text, but CBOR allows other types.
        keys = ", ".join(sorted(repr(each) for each in error.extra_fields))
        return f"unknown fields: {keys}"
    return cattrs.v.format_exception(error, data_type)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    decoded = decompressor.decompress(data, MAX_DECODED_BYTES)
    if not decompressor.eof:
        raise exceptions.DecodeError(
            f"data is truncated or decompresses to more than "
            f"{MAX_DECODED_BYTES} bytes"
        )
    return decoded


def _require_format(found: int) -> None:
    if found != FORMAT:
        raise exceptions.DecodeError(
            f"format {found} is not supported; expected format {FORMAT}"
        )
