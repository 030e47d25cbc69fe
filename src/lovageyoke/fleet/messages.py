"""Messages between the processes of a deployment.

All messages carry soft state: any of them may be lost, duplicated or
reordered, and a later one compensates for it.
"""

from __future__ import annotations

from typing import NamedTuple

import attrs

from lovageyoke.fleet import lifetimes
from lovageyoke.store import positions


@attrs.frozen
class Peer:
    """How to reach another process.

    Attributes:
        node_id: Name of its VM.
        host: IP number.
        port: UDP port for these messages.
        front: Address that callers connect to.
        failure_domain: Failure domain in which it runs.
    """

    node_id: str
    host: str
    port: int
    front: str
    failure_domain: str


@attrs.frozen
class MemberState:
    """Last state that a process reported, or a collector's timeout of it.

    Attributes:
        peer: The process.
        started_ms: Unix time of its start; a later start replaces it.
        sequence: Sequence number of the process's last message.
        ready: Whether it accepts callers.
        leaving: Whether it is about to stop.
        store_ok: Whether its last call to the store was answered.
        capacity: Its CPU capacity in percent of a core; 0 while it is slow.
        gone: Whether a collector received nothing after ``sequence``.
    """

    peer: Peer
    started_ms: int = 0
    sequence: int = 0
    ready: bool = False
    leaving: bool = False
    store_ok: bool = True
    capacity: int = 0
    gone: bool = False

    @property
    def order(self) -> tuple[int, int, bool]:
        """Sort key among the states of one process; the greatest is current."""
        return self.started_ms, self.sequence, self.gone

    def says_the_same(self, other: MemberState) -> bool:
        """Returns whether two states differ at most in their sequence."""
        return (
            self.started_ms == other.started_ms
            and self.ready == other.ready
            and self.leaving == other.leaving
            and self.store_ok == other.store_ok
            and self.capacity == other.capacity
            and self.gone == other.gone
            and (self.peer is other.peer or self.peer == other.peer)
        )


class Report(NamedTuple):
    """An upstream's load as observed by a process.

    A tuple, as a process receives thousands of them each second.

    Attributes:
        number: The upstream's number, see ``load_view.short_id``.
        running: Requests in progress.
        waiting: Requests in its queue.
        slots: Requests that it can process concurrently; 0 if only
            ``failures`` is reported.
        pace_percent: Processing time in percent of the usual; 0 if unknown.
        age_ms: Age of the report when it is sent.
        failures: Failed exchanges with it since the last message.
    """

    number: int
    running: int
    waiting: int
    slots: int
    pace_percent: int
    age_ms: int
    failures: int = 0


@attrs.frozen
class RateLimitReport:
    """A rate limit that an upstream has stated, or for how long it is cold.

    Attributes:
        upstream_id: The upstream.
        started_ms: Start time of the upstream, as in its entry.
        per_s: Requests per second from all processes, None for no limit.
        age_ms: Age of the statement when it is sent.
        cold_ms: Time for which the upstream was still cold when it stated
            that; None if the report is of a rate limit.
    """

    upstream_id: str
    started_ms: int
    per_s: float | None
    age_ms: int
    cold_ms: int | None = None


@attrs.frozen
class QuotaCount:
    """Requests of a client account since the sender's start, modulo 2**32.

    Attributes:
        account: The account's number, see ``members.hash_of``.
        admitted: Requests admitted, less those refunded.
        offered: Requests received.
    """

    account: int
    admitted: int
    offered: int


@attrs.frozen
class QuotaLevel:
    """State of a client account's quota in the fleet.

    Attributes:
        account: The account's number, see ``members.hash_of``.
        tokens: Tokens left, negative after too many admissions.
        demand_per_s: Requests per second, admitted or not.
    """

    account: int
    tokens: float
    demand_per_s: float


@attrs.frozen
class EntryChange:
    """A change of an entry in the store.

    Attributes:
        key: Key of the entry.
        position: The store's position of the change.
        value: The new value, None if the entry was deleted.
    """

    key: str
    position: positions.Position
    value: bytes | None


@attrs.frozen
class Heartbeat:
    """Periodic message to a collector, or from a collector to others.

    Attributes:
        sender: The state of its sender.
        collecting: Whether its sender collects for its failure domain.
        known: Number of processes that the sender knows and that aren't gone.
        configuration_version: Version that it follows, 0 for none.
        position: The store's position up to which it knows all changes.
        since: All changes after this position are in ``changes``; both are of
            one era.
        fresh_age_ms: Time since the store confirmed ``position``.
        changes: The latest changes of entries.
        reports: The latest loads of upstreams.
        waiting: Number of processes with queued requests, by service. It
            covers the sender, its failure domain or the fleet, depending on
            whether the sender collects for the receiver.
        members: States of processes that the receiver may not know.
        domains: Time since the last collector heartbeat from each failure
            domain, in milliseconds.
        rate_limits: Rate limits that upstreams have stated.
        quota_counts: Counts of client accounts that have changed: the
            sender's own, or those of its failure domain if it collects and
            the receiver is in another one.
        quota_levels: A collector's quotas that are nearly used up, for its
            failure domain; None if the message doesn't state them.
    """

    sender: MemberState
    collecting: bool
    known: int
    configuration_version: int
    position: positions.Position
    since: positions.Position
    fresh_age_ms: int
    changes: tuple[EntryChange, ...] = ()
    reports: tuple[Report, ...] = ()
    waiting: tuple[tuple[str, int], ...] = ()
    members: tuple[MemberState, ...] = ()
    domains: tuple[tuple[str, int], ...] = ()
    rate_limits: tuple[RateLimitReport, ...] = ()
    quota_counts: tuple[QuotaCount, ...] = ()
    quota_levels: tuple[QuotaLevel, ...] | None = None


@attrs.frozen
class Introduction:
    """Introduces other processes to one that may not know them.

    Attributes:
        members: States of the other processes.
    """

    members: tuple[MemberState, ...]


@attrs.frozen
class ConfigurationUpdate:
    """Distributes a new configuration.

    Attributes:
        version: Its version.
        revision: The store's revision at which it was written, for the log;
            configurations are ordered by their versions only.
        packed: The store's value, compressed by ``zlib``.
    """

    version: int
    revision: int
    packed: bytes


@attrs.frozen
class SnapshotRequest:
    """Requests the configuration and all upstream entries.

    Attributes:
        position: Minimum position of the snapshot.
    """

    position: positions.Position


@attrs.frozen
class SnapshotPart:
    """A part of a snapshot of all upstream entries at one position.

    Attributes:
        position: The position.
        fresh_age_ms: Time since the store confirmed the position.
        digest: Hash of the whole snapshot, below 2**32; parts of two snapshots
            at the same position may differ.
        part: Index of this part, from 0.
        parts: Number of parts.
        packed: Compressed entries; see ``snapshot.pack``.
        configuration_version: Version that the sender follows, 0 for none;
            its configuration is sent separately and may be lost.
    """

    position: positions.Position
    fresh_age_ms: int
    digest: int
    part: int
    parts: int
    packed: bytes
    configuration_version: int = 0


@attrs.frozen
class RemovedUpstreams:
    """Lifetimes of upstreams whose entries were removed.

    Attributes:
        lifetimes: The lifetimes that were removed last.
    """

    lifetimes: tuple[lifetimes.EndedLifetime, ...]


Message = (
    Heartbeat
    | Introduction
    | ConfigurationUpdate
    | SnapshotRequest
    | SnapshotPart
    | RemovedUpstreams
)
