"""Upstreams and routes as used for forwarding."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen
class Upstream:
    """One incarnation of a server that serves a service's requests.

    Attributes:
        upstream_id: Id of this incarnation; usually changes on a restart.
        started_ms: Unix start time in milliseconds, 0 if unknown;
            distinguishes incarnations that share an id.
        service: The service that it belongs to.
        host: IP address.
        port: TCP port.
        failure_domain: Where it runs.
        slots: Requests that it serves concurrently.
        draining: Whether it accepts no new requests.
        cold_ms: Remaining warm-up time in milliseconds.
        sequence: Number of the heartbeat that stated this; increases with
            each heartbeat of one incarnation.
        evacuated: Whether its failure domain is being evacuated. It is
            derived by each process and not part of the upstream's entry.
    """

    upstream_id: str
    started_ms: int
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    draining: bool = False
    cold_ms: float = 0.0
    sequence: int = 0
    evacuated: bool = False

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be sent to it."""
        return not (self.draining or self.evacuated)

    @property
    def key(self) -> tuple[str, int]:
        """Key of this incarnation."""
        return self.upstream_id, self.started_ms

    def is_older_than(self, other: Upstream) -> bool:
        """Returns whether this is an earlier heartbeat of the same incarnation.

        Incarnations without a start time can't be told apart.
        """
        same = self.started_ms > 0 and self.key == other.key
        return same and self.sequence < other.sequence


@attrs.frozen
class Evacuation:
    """An operator's request to send nothing more to a failure domain.

    Attributes:
        failure_domain: The failure domain.
    """

    failure_domain: str


class RepeatRule(enum.Enum):
    """Whether the requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@attrs.frozen
class Target:
    """A weighted destination of a route.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other targets.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """A rule that maps requests to services.

    Attributes:
        name: Name of the route.
        host: Host to match, in lower case.
        prefix: Path prefix to match; ends with a slash.
        repeat: Whether a request may run more than once.
        targets: The services, at least one.
        timeout_ms: Time limit for the final response, in milliseconds.
        target_latency_ms: Latency target in milliseconds.
        max_attempts: Maximum number of upstreams tried per request.
        priority: Priority under overload; 0 is served first.
        anonymous: Whether callers need no API key.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatRule
    targets: tuple[Target, ...]
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    priority: int
    anonymous: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeat is RepeatRule.IDEMPOTENT


@attrs.frozen
class Service:
    """A service of the configuration.

    Attributes:
        name: Its name.
        health_path: Path of its health check.
        max_connections: Connections that one upstream accepts in total.
        cold_rate_per_s: Requests per second that a cold upstream accepts from
            all processes together, None for no limit.
    """

    name: str
    health_path: str
    max_connections: int
    cold_rate_per_s: float | None = None


@attrs.frozen
class ClientAccount:
    """A client account of the configuration.

    Attributes:
        name: Its name, as upstreams see it.
        api_keys: The keys that identify its requests.
        priority: Priority of its requests, None for that of their routes.
        rate_per_s: Requests per second that all processes together accept, 0
            for no limit.
        burst: Requests accepted in addition after a time of little use.
    """

    name: str
    api_keys: tuple[str, ...] = attrs.field(repr=False)  # Secrets.
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@attrs.frozen
class CallerLimits:
    """Limits on caller requests and connections.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_timeout_ms: Time limit for the request head, in milliseconds.
        idle_timeout_ms: Time limit for an idle connection, in milliseconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Version number; increases monotonically.
        routes: All routes.
        services: Services by name.
        limits: Limits on callers.
        accounts: The client accounts. With an empty tuple, no API key is
            valid; with None, callers need none.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    accounts: tuple[ClientAccount, ...] | None = None
