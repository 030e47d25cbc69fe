"""Keys and decoders of the store entries that a process follows."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from lovageyoke.routing import model


@attrs.frozen
class Layout:
    """Key layout of the store and the decoders of its values.

    Attributes:
        upstream_prefix: Key prefix of upstream entries.
        configuration_key: Key of the configuration.
        evacuation_prefix: Key prefix of the evacuations of failure domains.
        operator_prefix: Key prefix that covers the configuration and the
            evacuations, so that one call reads both.
        watch_prefix: Key prefix that covers all watched keys.
        decode_upstream: Decodes an upstream from its key and value.
        decode_evacuation: Decodes an evacuation from its key.
        decode_configuration: Decodes a configuration.
    """

    upstream_prefix: str
    configuration_key: str
    evacuation_prefix: str
    operator_prefix: str
    watch_prefix: str
    decode_upstream: Callable[[str, bytes], model.Upstream]
    decode_evacuation: Callable[[str], model.Evacuation]
    decode_configuration: Callable[[bytes], model.Configuration]

    def is_entry(self, key: str) -> bool:
        """Returns whether a key is that of an upstream or an evacuation."""
        return key.startswith((self.upstream_prefix, self.evacuation_prefix))

    def decode_entry(
        self, key: str, value: bytes
    ) -> model.Upstream | model.Evacuation:
        """Decodes an upstream or an evacuation.

        Raises:
            DecodeError: The entry is malformed.
        """
        if key.startswith(self.evacuation_prefix):
            return self.decode_evacuation(key)
        return self.decode_upstream(key, value)
