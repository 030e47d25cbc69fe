"""Settings of the forwarding process."""

from __future__ import annotations

import attrs

from lovageyoke.fleet import lifetimes

FIRST_SEEDS = 2  # Seeds that read the store early at a start.


@attrs.frozen
class Bounds:
    """Limits that apply to the whole deployment.

    Attributes:
        grace_ms: Time from the stop signal until the process is killed.
        drain_ms: Time within which a draining upstream must stop receiving
            new requests.
        budget_ratio: Retries allowed per request of a service.
        budget_extra: Additional retries allowed per service and window.
        budget_window_ms: Length of the retry budget's window.
        lifetime_most_ms: Maximum time for which callers may cache an address.
        probes_per_s: Maximum health checks of one upstream per second, from
            all processes together.
        quota_window_ms: Length of the window in which an account's quota is
            judged.
        quota_over: Share of an account's quota by which a window may exceed
            it.
        quota_slack: Requests of an account by which a window may exceed its
            quota in addition.
        cold_over: Multiple of a cold upstream's rate that it may get in one
            second.
        cold_slack: Requests that a cold upstream may get in one second in
            addition.
        evacuate_ms: Time within which an evacuated failure domain must stop
            receiving new requests.
    """

    grace_ms: float = 6_000.0
    drain_ms: float = 2_000.0
    budget_ratio: float = 0.2
    budget_extra: float = 60.0
    budget_window_ms: float = 10_000.0
    lifetime_most_ms: float = 5_000.0
    probes_per_s: float = 40.0
    quota_window_ms: float = 5_000.0
    quota_over: float = 0.1
    quota_slack: float = 20.0
    cold_over: float = 1.5
    cold_slack: float = 8.0
    evacuate_ms: float = 5_000.0


@attrs.frozen
class Address:
    """An address to listen on or to connect to.

    Attributes:
        host: IP address.
        port: TCP or UDP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Returns ``host:port``, as in the directory's responses."""
        return f"{self.host}:{self.port}"


@attrs.frozen
class NodeSettings:
    """Settings of one process.

    Attributes:
        node_id: Name of its VM.
        failure_domain: Failure domain of its VM.
        region: The region of its failure domain.
        front: Listener for callers' requests.
        readiness: Listener for readiness checks, None to disable it.
        directory: Listener for address queries, None to disable it.
        peers: UDP address for messages between processes.
        metrics: Listener for the metrics scraper.
        store: Address of the store.
        min_lease_ms: Shortest lease that the store grants.
        bounds: Limits that apply to the whole deployment.
        upstream_heartbeat_ms: Interval at which upstreams write their entries.
        seeds: Addresses of some peers, contacted to join the fleet.
        capacity_percent: CPU capacity of the VM, in percent of a core.
        memory_bytes: Memory that the process may use, 0 if unknown.
        max_descriptors: File descriptors that it may open, 0 if unknown.
        link_bytes_per_s: Bandwidth of the VM's network link, 0 if unknown.
    """

    node_id: str
    failure_domain: str
    region: str
    front: Address
    readiness: Address | None
    directory: Address | None
    peers: Address
    metrics: Address
    store: Address
    min_lease_ms: float
    bounds: Bounds
    upstream_heartbeat_ms: float = lifetimes.HEARTBEAT_MS
    seeds: tuple[Address, ...] = ()
    capacity_percent: int = 100
    memory_bytes: int = 0
    max_descriptors: int = 0
    link_bytes_per_s: float = 0.0

    @property
    def is_seed(self) -> bool:
        """Whether this is one of the first seeds, or there is no other one."""
        others = [each for each in self.seeds if each != self.peers]
        return not others or self.peers in self.seeds[:FIRST_SEEDS]
