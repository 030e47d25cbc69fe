"""Where the store keeps what a process follows."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from lovageyoke.routing import model


@attrs.frozen
class Layout:
    """Where the store keeps what, and how it is read.

    Attributes:
        upstream_prefix: Start of the keys of upstreams' entries.
        configuration_key: Key of the configuration.
        watch_prefix: Start of all keys that are watched.
        decode_upstream: Returns the upstream of a key and value.
        decode_configuration: Returns the configuration of a value.
    """

    upstream_prefix: str
    configuration_key: str
    watch_prefix: str
    decode_upstream: Callable[[str, bytes], model.Upstream]
    decode_configuration: Callable[[bytes], model.Configuration]
