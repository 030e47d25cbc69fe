"""Services as operators configure them."""

from __future__ import annotations

import enum

import attrs

DEFAULT_SLOTS = 6
DEFAULT_CONNECTIONS = 240
DEFAULT_DEADLINE_MS = 10_000
DEFAULT_MAX_QUEUE = 256
DEFAULT_QUEUE_TIMEOUT_MS = 500
DEFAULT_MAX_BODY_BYTES = 8_000_000
DEFAULT_RETENTION_MS = 24 * 3_600 * 1_000
DEFAULT_RETRY_RATIO = 0.1
DEFAULT_PROBES_PER_S = 20.0


class MissingIdentity(enum.Enum):
    """What happens to an unrepeatable request without an identity."""

    REFUSE = "refuse"
    RUN_ONCE = "run-once"


class Preset(enum.Enum):
    """Weight between the cost of probing and tail latency."""

    PROBE_COST = "probe-cost"
    TAIL_LATENCY = "tail-latency"


@attrs.frozen
class Upstream:
    """A server that requests of a service are sent to.

    Attributes:
        upstream_id: Identifier, unique in the service.
        address: IP number.
        port: TCP port.
        failure_domain: Where it runs.
        slots: Requests that it serves at a time.
        connections: Connections that it accepts.
        draining: Whether the operator wants no new work to be sent to it.
    """

    upstream_id: str
    address: str
    port: int
    failure_domain: str
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    draining: bool = False


@attrs.frozen
class UnrepeatableRule:
    """Names requests that run at most once, and where their identity is.

    Attributes:
        methods: HTTP methods that the rule applies to.
        path_prefix: Prefix of the path that the rule applies to.
        identity_header: Header that holds the identity, or "".
        identity_fields: Fields of a JSON body that form the identity, used
            when ``identity_header`` is empty.
        missing: What to do with a request that has no identity.
        retention_ms: How long an outcome is remembered, in milliseconds.
    """

    methods: tuple[str, ...]
    path_prefix: str = "/"
    identity_header: str = "idempotency-key"
    identity_fields: tuple[str, ...] = ()
    missing: MissingIdentity = MissingIdentity.REFUSE
    retention_ms: int = DEFAULT_RETENTION_MS


@attrs.frozen
class Routing:
    """How a service's requests are routed and its upstreams measured.

    Attributes:
        policy: Name of the routing policy.
        preset: Weight between probing cost and tail latency.
        probes_per_s: Probes a second that the whole fleet may send for this
            service.
    """

    policy: str = "pool"
    preset: Preset = Preset.TAIL_LATENCY
    probes_per_s: float = DEFAULT_PROBES_PER_S


@attrs.frozen
class Limits:
    """Bounds on a service's requests.

    Attributes:
        deadline_ms: Time a request may take when the caller states none.
        max_queue: Requests that may wait for an upstream on each entry VM.
        queue_timeout_ms: Time a request may wait for an upstream.
        max_body_bytes: Size of a request body.
        retry_ratio: Retries and hedges allowed for each request.
    """

    deadline_ms: int = DEFAULT_DEADLINE_MS
    max_queue: int = DEFAULT_MAX_QUEUE
    queue_timeout_ms: int = DEFAULT_QUEUE_TIMEOUT_MS
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    retry_ratio: float = DEFAULT_RETRY_RATIO


@attrs.frozen
class Service:
    """A service with its upstreams and rules.

    Attributes:
        name: Unique name.
        team: The team whose operators may change it.
        hosts: Host names that select the service.
        path_prefixes: Path prefixes that select the service.
        upstreams: Where its requests are sent.
        unrepeatable: Rules for requests that run at most once.
        routing: Routing and measuring.
        limits: Bounds on requests.
    """

    name: str
    team: str
    hosts: tuple[str, ...] = ()
    path_prefixes: tuple[str, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    unrepeatable: tuple[UnrepeatableRule, ...] = ()
    routing: Routing = attrs.field(factory=Routing)
    limits: Limits = attrs.field(factory=Limits)


@attrs.frozen
class VersionedService:
    """A service in force, with its version.

    Attributes:
        version: Grows by one with each confirmed change; never reused, not
            even when the service is removed and created again.
        service: The content, or None when the service was removed.
    """

    version: int
    service: Service | None
