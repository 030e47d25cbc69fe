"""The HTTP protocol of the platform's service.

A record is sent as the raw body, with its revision in a header. A response
states in the result header that a call had no effect; an error status without
that header, as a gateway might send, leaves the outcome unknown.
"""

from __future__ import annotations

import json
from typing import TypeVar

import cattrs

from lovageyoke.errors import exceptions
from lovageyoke.store import api

RECORD_PATH = "/v1/record"
WATCH_PATH = "/v1/watch"
LEASES_PATH = "/v1/leases"
VMS_PATH = "/v1/vms"

REVISION_HEADER = "platform-revision"
RESULT_HEADER = "platform-answer"
RESULT_ABSENT = "absent"
RESULT_CONFLICT = "conflict"
RESULT_NO_EFFECT = "no-effect"
RESULT_UNCHANGED = "unchanged"

Decoded = TypeVar("Decoded")

CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def encode(value: object) -> bytes:
    """Returns an attrs instance, or a tuple of them, as JSON."""
    return json.dumps(CONVERTER.unstructure(value)).encode()


def decode_vms(data: bytes) -> tuple[api.Vm, ...]:
    """Returns the VM list in ``data``.

    Raises:
        DecodeError: The bytes are not a VM list.
    """
    return _decode(data, tuple[api.Vm, ...])


def decode_lease(data: bytes) -> api.Lease:
    """Returns the lease in ``data``.

    Raises:
        DecodeError: The bytes are not a lease.
    """
    return _decode(data, api.Lease)


def _decode(data: bytes, data_type: type[Decoded]) -> Decoded:
    try:
        return CONVERTER.structure(json.loads(data), data_type)
    except (
        ValueError,
        TypeError,
        KeyError,
        RecursionError,
        cattrs.BaseValidationError,
    ) as error:
        raise exceptions.DecodeError(
            f"malformed response from the platform: {error}"
        ) from error
