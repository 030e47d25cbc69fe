"""Configuration of a service."""

from __future__ import annotations

import enum

import attrs

from lovageyoke.schema import checks

DEFAULT_SLOTS = 6
DEFAULT_CONNECTIONS = 240
DEFAULT_DEADLINE_MS = 10_000
DEFAULT_MAX_QUEUE = 256
DEFAULT_QUEUE_TIMEOUT_MS = 500
DEFAULT_MAX_BODY_BYTES = 8_000_000
DEFAULT_RETENTION_MS = 24 * 3_600 * 1_000
DEFAULT_RETRY_RATIO = 0.1
DEFAULT_PROBE_PATH = "/-/load"
DEFAULT_PROBES_PER_S = 20.0

MAX_PORT = 65_535
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_DURATION_MS = 24 * 3_600 * 1_000
MIN_RETENTION_MS = 1_000
MAX_RETENTION_MS = 30 * 24 * 3_600 * 1_000
MAX_QUEUE = 100_000
MAX_BODY_BYTES = 1_000_000_000
MAX_PROBES_PER_S = 100_000.0
MAX_RETRY_RATIO = 1.0

HOST = checks.Matches(
    r"(?=.{1,253}$)[a-z0-9-]{1,63}(\.[a-z0-9-]{1,63})*",
    "a host name in lower case without a port",
)
PATH_PREFIX = checks.Matches(
    r"/(?!(.*/)?\.\.(/|$))[!\"$->@-~]{0,1023}",
    "a path that starts with '/', without '?', '#', '..' or spaces",
)
METHOD = checks.Matches(
    "GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS",
    "one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS",
)
HEADER = checks.Matches(
    r"[a-z0-9!#$%&'*+.^_`|~-]{1,100}", "a header name in lower case"
)
BODY_FIELD = checks.Matches(
    r"[^\x00-\x1f\x7f\ud800-\udfff]{1,100}", "the name of a body field"
)


class MissingIdentity(enum.Enum):
    """How to handle an unrepeatable request without an identity."""

    REFUSE = "refuse"
    RUN_ONCE = "run-once"


class Preset(enum.Enum):
    """Trade-off between probing cost and tail latency."""

    PROBE_COST = "probe-cost"
    TAIL_LATENCY = "tail-latency"


@attrs.frozen
class Upstream:
    """A server that requests of a service are sent to.

    Attributes:
        upstream_id: Identifier, unique in the service.
        address: IP address.
        port: TCP port.
        failure_domain: Failure domain in which it runs.
        slots: Maximum number of concurrent requests.
        connections: Maximum number of connections.
        draining: Whether the operator has excluded it from new requests.
    """

    upstream_id: str = checks.checked(checks.NAME)
    address: str = checks.checked(checks.IpAddress())
    port: int = checks.checked(checks.Between(1, MAX_PORT))
    failure_domain: str = checks.checked(checks.NAME)
    slots: int = checks.checked(
        checks.Between(1, MAX_SLOTS), default=DEFAULT_SLOTS
    )
    connections: int = checks.checked(
        checks.Between(1, MAX_CONNECTIONS), default=DEFAULT_CONNECTIONS
    )
    draining: bool = False


@attrs.frozen
class UnrepeatableRule:
    """Selects requests that run at most once, and locates their identity.

    Attributes:
        methods: HTTP methods that the rule applies to.
        path_prefix: Prefix of the path that the rule applies to.
        identity_header: Header that holds the identity, or "".
        identity_fields: Fields of a JSON body that form the identity, used
            when ``identity_header`` is empty.
        missing: How to handle a request that has no identity.
        retention_ms: How long an outcome is kept, in milliseconds.
    """

    methods: tuple[str, ...] = checks.checked(checks.Each(METHOD))
    path_prefix: str = checks.checked(PATH_PREFIX, default="/")
    identity_header: str = checks.checked(
        checks.Optional(HEADER), default="idempotency-key"
    )
    identity_fields: tuple[str, ...] = checks.checked(
        checks.Each(BODY_FIELD), default=()
    )
    missing: MissingIdentity = MissingIdentity.REFUSE
    retention_ms: int = checks.checked(
        checks.Between(MIN_RETENTION_MS, MAX_RETENTION_MS),
        default=DEFAULT_RETENTION_MS,
    )


@attrs.frozen
class Routing:
    """Routing of a service's requests and probing of its upstreams.

    Attributes:
        policy: Name of the routing policy.
        preset: Trade-off between probing cost and tail latency.
        probes_per_s: Maximum probes per second of the whole fleet for this
            service.
        probe_path: Path at which upstreams report their load.
    """

    policy: str = "pool"
    preset: Preset = Preset.TAIL_LATENCY
    probes_per_s: float = checks.checked(
        checks.Between(0, MAX_PROBES_PER_S), default=DEFAULT_PROBES_PER_S
    )
    probe_path: str = checks.checked(PATH_PREFIX, default=DEFAULT_PROBE_PATH)


@attrs.frozen
class Limits:
    """Limits on a service's requests.

    Attributes:
        deadline_ms: Default deadline of a request that does not carry one.
        max_queue: Maximum queued requests on each entry VM.
        queue_timeout_ms: Maximum time a request waits for an upstream.
        max_body_bytes: Maximum size of a request body.
        retry_ratio: Maximum ratio of retries and hedges to requests.
    """

    deadline_ms: int = checks.checked(
        checks.Between(1, MAX_DURATION_MS), default=DEFAULT_DEADLINE_MS
    )
    max_queue: int = checks.checked(
        checks.Between(0, MAX_QUEUE), default=DEFAULT_MAX_QUEUE
    )
    queue_timeout_ms: int = checks.checked(
        checks.Between(0, MAX_DURATION_MS), default=DEFAULT_QUEUE_TIMEOUT_MS
    )
    max_body_bytes: int = checks.checked(
        checks.Between(0, MAX_BODY_BYTES), default=DEFAULT_MAX_BODY_BYTES
    )
    retry_ratio: float = checks.checked(
        checks.Between(0, MAX_RETRY_RATIO), default=DEFAULT_RETRY_RATIO
    )


@attrs.frozen
class Service:
    """A service with its upstreams and rules.

    Attributes:
        name: Unique name.
        team: The team whose operators may change it.
        hosts: Host names that select the service.
        path_prefixes: Path prefixes that select the service.
        upstreams: Servers that handle its requests.
        unrepeatable: Rules for requests that run at most once.
        routing: Routing and probing.
        limits: Limits on requests.
    """

    name: str = checks.checked(checks.NAME)
    team: str = checks.checked(checks.NAME)
    hosts: tuple[str, ...] = checks.checked(checks.Each(HOST), default=())
    path_prefixes: tuple[str, ...] = checks.checked(
        checks.Each(PATH_PREFIX), default=()
    )
    upstreams: tuple[Upstream, ...] = ()
    unrepeatable: tuple[UnrepeatableRule, ...] = ()
    routing: Routing = attrs.field(factory=Routing)
    limits: Limits = attrs.field(factory=Limits)


@attrs.frozen
class VersionedService:
    """An active service with its version.

    Attributes:
        version: Increases by one with each confirmed change; never reused,
            even if the service is removed and created again.
        service: The content, or None if the service is removed.
    """

    version: int
    service: Service | None
