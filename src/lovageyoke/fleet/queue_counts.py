"""Counts the processes that have queued requests, by service."""

from __future__ import annotations

import collections

from lovageyoke.fleet import member as fleet_member
from lovageyoke.fleet import members as fleet_members

Counts = tuple[tuple[str, int], ...]


def of_domain(
    members: fleet_members.Members, own: Counts, now_ms: float
) -> Counts:
    """Returns the counts of a collector's failure domain.

    Args:
        members: The processes.
        own: Counts of this process alone.
        now_ms: The time.
    """
    total = collections.Counter(dict(own))
    for member in members.of_domain(members.domain):
        if (
            member.waiting
            and _is_fresh(member.heard_ms, now_ms)
            and not _collects(member, now_ms)
        ):
            total.update(dict(member.waiting))
    return tuple(total.items())


def of_fleet(
    members: fleet_members.Members, own: Counts, now_ms: float
) -> Counts:
    """Returns the counts of the whole fleet as known to this process.

    Args:
        members: The processes.
        own: Counts of this process alone.
        now_ms: The time.
    """
    if members.collecting_since_ms is None:
        return _from_collector(members, own)
    total = collections.Counter(dict(of_domain(members, own, now_ms)))
    newest: dict[str, fleet_member.Member] = {}
    for member in members.collectors.values():
        domain = member.peer.failure_domain
        if domain == members.domain or not _collects(member, now_ms):
            continue
        known = newest.get(domain)
        if (
            known is None
            or known.collector_heard_ms < member.collector_heard_ms
        ):
            newest[domain] = member
    for member in newest.values():
        total.update(dict(member.waiting))
    return tuple(total.items())


def _from_collector(members: fleet_members.Members, own: Counts) -> Counts:
    collectors = [
        each
        for each in members.collectors.values()
        if each.peer.failure_domain == members.domain
    ]
    if not collectors:
        return own
    newest = max(collectors, key=lambda each: each.collector_heard_ms)
    counts = dict(newest.waiting)
    for service, count in own:
        counts[service] = max(count, counts.get(service, 0))
    return tuple(counts.items())


def _collects(member: fleet_member.Member, now_ms: float) -> bool:
    return _is_fresh(member.collector_heard_ms, now_ms)


def _is_fresh(at_ms: float, now_ms: float) -> bool:
    return now_ms - at_ms <= fleet_members.LIVE_MS
