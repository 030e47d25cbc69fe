"""Settings of one process."""

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
    """Lowest level of the records that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(enum.Enum):
    """Form of the log records."""

    TEXT = "text"
    JSON = "json"


class Role(enum.Enum):
    """What an operator may do in their scope."""

    READER = "reader"
    EDITOR = "editor"


@attrs.frozen
class Entry:
    """Identity and place of this entry VM.

    Attributes:
        entry_id: Its id, as in the platform's VM list.
        region: Its region.
        failure_domain: Its failure domain.
    """

    entry_id: str = checks.checked(checks.NAME)
    failure_domain: str = checks.checked(checks.NAME)
    region: str = checks.checked(checks.Optional(checks.NAME), default="")


@attrs.frozen
class Listen:
    """Addresses that this process listens on, as ``IP:PORT``.

    Port 0 takes a free port.

    Attributes:
        caller: For callers.
        operator: For operators and metrics.
        peer: For other entry VMs.
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
    """TLS of one listener.

    Attributes:
        certificate: Path of the certificate chain, PEM.
        key: Path of the private key, PEM.
        authority: Path of the certificates that peers are checked against;
            "" for the system's.
    """

    certificate: str = ""
    key: str = ""
    authority: str = ""


@attrs.frozen
class TlsSettings:
    """TLS by listener; a listener without a certificate speaks plain TCP."""

    caller: Tls = attrs.field(factory=Tls)
    operator: Tls = attrs.field(factory=Tls)
    peer: Tls = attrs.field(factory=Tls)


@attrs.frozen
class Platform:
    """How the platform's service is reached.

    Attributes:
        url: Base address, ``http://IP:PORT``.
        timeout_ms: Time that one call may take.
        calls_per_s: Calls a second that this process may make.
        claim_writes_per_s: Writes a second that all entry VMs together may
            make for the at-most-once log; all must agree.
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
    """Bounds on this process.

    Attributes:
        max_in_flight: Requests in progress.
        address_lifetime_ms: How long callers may keep an address answer.
        shutdown_ms: Time that requests in flight have after a stop.
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
        name: Name in the audit trail.
        token_sha256: SHA-256 of the token, in hexadecimal.
        role: What the token may do.
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
    """Channels to other entry VMs.

    Attributes:
        keys: Shared keys, the newest first; all are accepted, so that a key
            is replaced without a gap.
        static: Entries to use while the platform's list can't be read, as
            ``ENTRY_ID=IP:PORT``.
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
    """Log records.

    Attributes:
        level: Lowest level that is written.
        format: Form of the records.
        requests: Whether each request is logged.
    """

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.TEXT
    requests: bool = False


@attrs.frozen
class Settings:
    """All settings of one process."""

    entry: Entry
    platform: Platform
    listen: Listen = attrs.field(factory=Listen)
    advertise: Listen | None = None
    tls: TlsSettings = attrs.field(factory=TlsSettings)
    limits: Limits = attrs.field(factory=Limits)
    peers: Peers = attrs.field(factory=Peers)
    log: Log = attrs.field(factory=Log)
    operators: tuple[Operator, ...] = ()
