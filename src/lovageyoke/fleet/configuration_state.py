"""The configuration that a process follows.

Configurations are ordered by their versions alone, whatever the position of
the store at which they were read: the version in force never goes back.
"""

from __future__ import annotations

from collections.abc import Callable
import zlib

from lovageyoke.errors import exceptions
from lovageyoke.fleet import messages
from lovageyoke.observe import events
from lovageyoke.routing import model

MAX_UPDATE_BYTES = 30_000  # A datagram holds twice as much.
MAX_CONFIGURATION_BYTES = 8_000_000


class ConfigurationState:
    """The newest configuration of this process, and what peers have.

    Attributes:
        decode: Decodes a configuration from its value in the store.
        log: Receives new and rejected configurations.
        on_configuration: Called with each newer configuration.
        broadcast: Sends a configuration to other processes. The second argument
            is whether it was received from a peer.
        current: The newest configuration, None before the first.
        packed: Its compressed value in the store.
        revision: The store's revision of that value.
        newest_version: Newest configuration version of any peer.
        outdated_ms: When a peer was first seen with a newer configuration;
            None if there is none.
    """

    def __init__(
        self,
        decode: Callable[[bytes], model.Configuration],
        log: events.EventLog,
        on_configuration: Callable[[model.Configuration], None],
        broadcast: Callable[[messages.ConfigurationUpdate, bool], None],
    ) -> None:
        self.decode = decode
        self.log = log
        self.on_configuration = on_configuration
        self.broadcast = broadcast
        self.current: model.Configuration | None = None
        self.packed = b""
        self.revision = 0
        self.newest_version = 0
        self.outdated_ms: float | None = None

    @property
    def version(self) -> int:
        """Version of the configuration, 0 before the first."""
        return self.current.version if self.current else 0

    def record_version(self, version: int) -> None:
        """Records the version that a peer follows."""
        self.newest_version = max(self.newest_version, version)

    def outdated_since_ms(self, now_ms: float) -> float | None:
        """Returns since when a peer has a newer version, None if none has."""
        if self.newest_version <= self.version:
            self.outdated_ms = None
        elif self.outdated_ms is None:
            self.outdated_ms = now_ms
        return self.outdated_ms

    def update(self) -> messages.ConfigurationUpdate | None:
        """Returns the configuration as a message, None if it is too large."""
        if self.current is None or len(self.packed) > MAX_UPDATE_BYTES:
            return None
        return messages.ConfigurationUpdate(
            self.version, self.revision, self.packed
        )

    def apply_update(self, update: messages.ConfigurationUpdate) -> None:
        """Applies a configuration received from a peer."""
        if self.current is not None and update.version <= self.version:
            return
        try:
            unpacker = zlib.decompressobj()
            value = unpacker.decompress(update.packed, MAX_CONFIGURATION_BYTES)
        except zlib.error as error:
            self.log.event("configuration-rejected", detail=str(error))
            return
        self.apply(value, update.revision, from_peer=True)

    def apply(
        self, value: bytes, revision: int, from_peer: bool = False
    ) -> None:
        """Applies a configuration and forwards it if it is newer.

        Args:
            value: Its value in the store.
            revision: The store's revision of the value.
            from_peer: Whether it was received from a peer.
        """
        try:
            configuration = self.decode(value)
        except exceptions.DecodeError as error:
            self.log.event(
                "configuration-rejected", detail=error.detail, revision=revision
            )
            return
        if self.current is not None and configuration.version <= self.version:
            return
        self.current = configuration
        self.packed = zlib.compress(value)
        self.revision = revision
        self.record_version(configuration.version)
        self.log.event(
            "configuration",
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
            accounts=None
            if configuration.accounts is None
            else len(configuration.accounts),
        )
        self.on_configuration(configuration)
        update = self.update()
        if update is not None:
            self.broadcast(update, from_peer)
