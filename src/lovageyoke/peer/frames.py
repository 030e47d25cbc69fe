"""Frames that carry messages and match replies to requests."""

from __future__ import annotations

import enum
import struct

import attrs

from lovageyoke.errors import exceptions

HEADER_FORMAT = ">BI"
HEADER_BYTES = struct.calcsize(HEADER_FORMAT)
MAX_CORRELATION = 2**32


class FrameKind(enum.IntEnum):
    """What a frame is."""

    SEND = 0
    REQUEST = 1
    REPLY = 2
    ERROR = 3


@attrs.frozen
class Frame:
    """One frame.

    Attributes:
        kind: What it is.
        correlation: Number of the request, the same in its reply; 0 in sends.
        data: An encoded message, or the text of an error.
    """

    kind: FrameKind
    correlation: int
    data: bytes


def encode(frame: Frame) -> bytes:
    """Returns a frame's bytes."""
    header = struct.pack(HEADER_FORMAT, frame.kind, frame.correlation)
    return header + frame.data


def decode(data: bytes) -> Frame:
    """Returns the frame in ``data``.

    Raises:
        DecodeError: The bytes are no frame.
    """
    if len(data) < HEADER_BYTES:
        raise exceptions.DecodeError("a frame is too short")
    kind, correlation = struct.unpack_from(HEADER_FORMAT, data)
    try:
        return Frame(FrameKind(kind), correlation, data[HEADER_BYTES:])
    except ValueError as error:
        raise exceptions.DecodeError(f"bad frame kind {kind}") from error
