"""Data model of the settings of an entry VM process."""

from __future__ import annotations

import enum

import attrs

from lovageyoke.schema import checks

DEFAULT_PLATFORM_TIMEOUT_MS = 1_000
DEFAULT_ADDRESS_LIFETIME_MS = 30_000
DEFAULT_MAX_IN_FLIGHT = 1_024
DEFAULT_SHUTDOWN_MS = 600_000
DEFAULT_CLAIM_WRITES_PER_S = 160.0
DEFAULT_PLATFORM_CALLS_PER_S = 60.0
MAX_TIMEOUT_MS = 60_000
MAX_CALLS_PER_S = 10_000
MAX_IN_FLIGHT = 1_000_000
MS_PER_DAY = 86_400_000


class LogLevel(enum.Enum):
    """Minimum level of the log records that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(enum.Enum):
    """Output format of the log records."""

    TEXT = "text"
    JSON = "json"


class Role(enum.Enum):
    """Permissions of an operator within their scope."""

    READER = "reader"
    EDITOR = "editor"


@attrs.frozen
class Entry:
    """Identity and location of this entry VM.

    Attributes:
        entry_id: Id of the VM, as in the platform's VM list.
        failure_domain: Failure domain of the VM.
        region: Region of the VM, or "" if unset.
    """

    entry_id: str = checks.checked(checks.NAME)
    failure_domain: str = checks.checked(checks.NAME)
    region: str = checks.checked(checks.Optional(checks.NAME), default="")


@attrs.frozen
class Listen:
    """Addresses that this process listens on, as ``IP:PORT``.

    Port 0 selects a free port.

    Attributes:
        caller: Address for callers.
        operator: Address for operators and metrics.
        peer: Address for other entry VMs.
    """

    caller: str = checks.checked(
        checks.SocketAddress(), default="127.0.0.1:8080"
    )
    operator: str = checks.checked(
        checks.SocketAddress(), default="127.0.0.1:8081"
    )
    peer: str = checks.checked(checks.SocketAddress(), default="127.0.0.1:8082")


@attrs.frozen
class Tls:
    """TLS settings of one listener.

    Attributes:
        certificate: Path of the certificate chain in PEM format.
        key: Path of the private key in PEM format.
        authority: Path of the CA certificates that verify the remote side;
            "" uses the system's for outgoing connections.
    """

    certificate: str = ""
    key: str = ""
    authority: str = ""


@attrs.frozen
class TlsSettings:
    """TLS per listener; a listener without a certificate uses plain TCP."""

    caller: Tls = attrs.field(factory=Tls)
    operator: Tls = attrs.field(factory=Tls)
    peer: Tls = attrs.field(factory=Tls)


@attrs.frozen
class Platform:
    """Client settings for the platform's service.

    Attributes:
        url: Base URL, ``http://IP:PORT``.
        timeout_ms: Timeout of one call.
        calls_per_s: Maximum calls per second from this process.
        claim_writes_per_s: Maximum writes per second to the at-most-once
            log, shared by all entry VMs; all must use the same value.
    """

    url: str = checks.checked(checks.HttpUrl())
    timeout_ms: int = checks.checked(
        checks.Between(1, MAX_TIMEOUT_MS), default=DEFAULT_PLATFORM_TIMEOUT_MS
    )
    calls_per_s: float = checks.checked(
        checks.Between(1, MAX_CALLS_PER_S),
        default=DEFAULT_PLATFORM_CALLS_PER_S,
    )
    claim_writes_per_s: float = checks.checked(
        checks.Between(1, MAX_CALLS_PER_S), default=DEFAULT_CLAIM_WRITES_PER_S
    )


@attrs.frozen
class Limits:
    """Resource and time limits of this process.

    Attributes:
        max_in_flight: Maximum number of requests in flight.
        address_lifetime_ms: How long callers may cache an address answer.
        shutdown_ms: Time for requests in flight to finish during shutdown.
    """

    max_in_flight: int = checks.checked(
        checks.Between(1, MAX_IN_FLIGHT), default=DEFAULT_MAX_IN_FLIGHT
    )
    address_lifetime_ms: int = checks.checked(
        checks.Between(0, MS_PER_DAY), default=DEFAULT_ADDRESS_LIFETIME_MS
    )
    shutdown_ms: int = checks.checked(
        checks.Between(0, MS_PER_DAY), default=DEFAULT_SHUTDOWN_MS
    )


@attrs.frozen
class Operator:
    """An operator's token and its scope.

    Attributes:
        name: Operator name in the audit trail.
        token_sha256: SHA-256 of the token, in hexadecimal.
        role: Permissions that the token grants.
        teams: Teams in scope; ``*`` for all.
        services: Services in scope; ``*`` for all.
    """

    name: str = checks.checked(checks.NAME)
    token_sha256: str = checks.checked(
        checks.Matches(r"[0-9a-f]{64}", "64 lower-case hexadecimal digits"),
        secret=True,
    )
    role: Role = Role.EDITOR
    teams: tuple[str, ...] = ("*",)
    services: tuple[str, ...] = ("*",)


@attrs.frozen
class Peers:
    """Settings of connections to other entry VMs.

    Attributes:
        keys: Shared keys, newest first. All are accepted, so that keys can
            be rotated without downtime.
        static: Entry VMs to use while the platform's VM list can't be read,
            as ``ENTRY_ID=IP:PORT``.
    """

    keys: tuple[str, ...] = checks.checked(
        checks.Each(
            checks.Matches(r"\S{16,256}", "16 to 256 characters, no spaces")
        ),
        default=(),
        secret=True,
    )
    static: tuple[str, ...] = checks.checked(
        checks.Each(checks.Matches(r"[^=\s]+=[^=\s]+", "ENTRY_ID=IP:PORT")),
        default=(),
    )


@attrs.frozen
class Log:
    """Log settings.

    Attributes:
        level: Minimum level that is written.
        format: Output format of the records.
        requests: Whether each request is logged.
    """

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.TEXT
    requests: bool = False


@attrs.frozen
class Settings:
    """All settings of an entry VM process."""

    entry: Entry
    platform: Platform
    listen: Listen = attrs.field(factory=Listen)
    advertise: Listen | None = None
    tls: TlsSettings = attrs.field(factory=TlsSettings)
    limits: Limits = attrs.field(factory=Limits)
    peers: Peers = attrs.field(factory=Peers)
    log: Log = attrs.field(factory=Log)
    operators: tuple[Operator, ...] = ()
