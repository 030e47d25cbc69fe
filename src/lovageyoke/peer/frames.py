"""Wire format of frames, which match replies to requests."""

from __future__ import annotations

import enum
import struct

import attrs

from lovageyoke.errors import exceptions

HEADER_FORMAT = ">BI"
HEADER_BYTES = struct.calcsize(HEADER_FORMAT)
MAX_CORRELATION = 2**32


class FrameKind(enum.IntEnum):
    """The kind of a frame."""

    SEND = 0
    REQUEST = 1
    REPLY = 2
    ERROR = 3


@attrs.frozen
class Frame:
    """A frame on a peer connection.

    Attributes:
        kind: The kind of the frame.
        correlation: Id that a request and its reply share; 0 for sends.
        data: An encoded message, or the text of an error.
    """

    kind: FrameKind
    correlation: int
    data: bytes


def encode(frame: Frame) -> bytes:
    """Returns the encoded frame."""
    header = struct.pack(HEADER_FORMAT, frame.kind, frame.correlation)
    return header + frame.data


def decode(data: bytes) -> Frame:
    """Returns the frame in ``data``.

    Raises:
        DecodeError: The bytes are not a valid frame.
    """
    if len(data) < HEADER_BYTES:
        raise exceptions.DecodeError("frame is shorter than its header")
    kind, correlation = struct.unpack_from(HEADER_FORMAT, data)
    try:
        return Frame(FrameKind(kind), correlation, data[HEADER_BYTES:])
    except ValueError as error:
        raise exceptions.DecodeError(f"unknown frame kind {kind}") from error
