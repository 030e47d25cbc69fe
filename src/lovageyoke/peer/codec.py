"""CBOR encoding of typed messages."""

from __future__ import annotations

from typing import Any

import cattrs
from cattrs.preconf import cbor2 as cattrs_cbor2

from lovageyoke.errors import exceptions
from lovageyoke.peer import api

TYPE_FIELD = "t"
BODY_FIELD = "b"

CONVERTER = cattrs_cbor2.make_converter()


class Codec:
    """Encodes and decodes a fixed set of message types.

    Attributes:
        types: The message types by name.
    """

    def __init__(self, types: tuple[type[api.Message], ...]) -> None:
        self.types = {each.__name__: each for each in types}

    def encode(self, message: api.Message) -> bytes:
        """Returns a message as CBOR.

        Raises:
            KeyError: The type is not registered.
        """
        name = type(message).__name__
        if name not in self.types:
            raise KeyError(name)
        body = CONVERTER.unstructure(message)
        return CONVERTER.dumps({TYPE_FIELD: name, BODY_FIELD: body})

    def decode(self, data: bytes) -> api.Message:
        """Returns the message in ``data``.

        Raises:
            DecodeError: The bytes are not a message of a registered type.
        """
        try:
            frame = CONVERTER.loads(data, dict[str, Any])
            message_type = self.types[frame[TYPE_FIELD]]
            return CONVERTER.structure(frame[BODY_FIELD], message_type)
        except (cattrs.BaseValidationError, KeyError) as error:
            raise exceptions.DecodeError(f"invalid message: {error}") from error
        except Exception as error:
            # The CBOR library raises many exception types on malformed input.
            raise exceptions.DecodeError(f"invalid CBOR: {error}") from error
