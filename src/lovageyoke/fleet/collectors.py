"""Selects the collector of each failure domain and heartbeat recipients.

A process sends its heartbeats to the collectors of its failure domain only.
A collector forwards what it receives to its domain and to the collectors of
the other domains, so the traffic of an ordinary process does not grow with
the fleet. Collectors are not elected: all processes of a domain compute the
same ranking, and each takes over after a timeout that grows with its rank.
Two concurrent collectors are harmless, as all state is ordered by its origin.
"""

from __future__ import annotations

import bisect

from lovageyoke.fleet import member as fleet_member
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages

SILENT_MS = 500.0  # A collector is replaced after this time without messages.
ISOLATED_MS = 500.0  # A collector that receives nothing for longer steps down.
RANK_DELAY_MS = 250.0  # Additional takeover delay per rank.
SINGLE_TAKEOVERS = 7  # Ranks that take over one by one.
COLLECTORS = 2  # The standby receives all heartbeats, ready to take over.
STANDBY_EVERY = 8  # Other domains send every 8th heartbeat to the standby.
GONE_EVERY = 25  # Every 25th heartbeat is also sent to gone processes.


def candidates(
    members: fleet_members.Members, domain: str
) -> list[messages.MemberState]:
    """Returns the processes that may collect for a domain, best first.

    They are ordered by capacity, highest first. Processes that are leaving
    are excluded.
    """
    states = [each.state for each in _ranked(members, domain)]
    own = members.own
    if domain == members.domain and not (own.gone or own.leaving):
        bisect.insort(states, own, key=_rank)
    return states


def _ranked(
    members: fleet_members.Members, domain: str
) -> list[fleet_member.Member]:
    """Returns the candidates other than this process, best first."""
    found = members.ranked.get(domain)
    if found is None:
        able = [
            each
            for each in members.of_domain(domain)
            if not (each.state.gone or each.state.leaving)
        ]
        found = sorted(able, key=lambda each: _rank(each.state))
        members.ranked[domain] = found
    return found


def should_collect(
    members: fleet_members.Members, now_ms: float, started_ms: float
) -> bool:
    """Returns whether this process should collect for its domain.

    Args:
        members: The processes.
        now_ms: The time.
        started_ms: When this process started, on the same clock.
    """
    if _is_isolated(members, now_ms, started_ms):
        return False
    own_rank = _own_rank(members)
    position = own_position(members)
    if position == 0:
        return True
    heard_ms = started_ms
    for member in _recent_collectors(members, members.domain):
        if _rank(member.state) < own_rank:
            heard_ms = max(heard_ms, member.collector_heard_ms)
    delay_ms = RANK_DELAY_MS * _takeover_delays(position)
    return now_ms - heard_ms > SILENT_MS + delay_ms


def _takeover_delays(position: int) -> int:
    """Returns the delays after which a process may take over.

    The first take over one by one; of the others, each further delay lets as
    many take over as all before. Without this, the whole rest of a large
    domain would take over at once.
    """
    if position <= SINGLE_TAKEOVERS:
        return position - 1
    return SINGLE_TAKEOVERS - 1 + (position // SINGLE_TAKEOVERS).bit_length()


def own_position(members: fleet_members.Members) -> int:
    """Returns how many processes precede this one as its domain's collector."""
    return bisect.bisect_left(
        _ranked(members, members.domain),
        _own_rank(members),
        key=lambda each: _rank(each.state),
    )


def silent_ms(members: fleet_members.Members, now_ms: float) -> int | None:
    """Returns for how long no collector of the domain was heard, None if ever.

    A collector that was never heard is not known.
    """
    heard = [
        each.collector_heard_ms
        for each in _recent_collectors(members, members.domain)
    ]
    return round(now_ms - max(heard)) if heard else None


def _own_rank(members: fleet_members.Members) -> tuple[int, int, str]:
    # A process that is leaving is no candidate, so all others precede it.
    return _LAST_RANK if members.own.leaving else _rank(members.own)


def _recent_collectors(
    members: fleet_members.Members, domain: str
) -> list[fleet_member.Member]:
    """Returns the candidates that were recently heard as collectors."""
    return [
        each
        for each in members.collectors.values()
        if each.peer.failure_domain == domain
        and not (each.state.gone or each.state.leaving)
    ]


def _is_isolated(
    members: fleet_members.Members, now_ms: float, started_ms: float
) -> bool:
    """Returns whether a process receives nothing although it has peers.

    Its own messages may still arrive, so its peers would accept it as
    collector although it has nothing to forward.
    """
    if members.known() == 1:
        return False
    newest_ms = max(members.last_heard_ms, members.last_known_ms, started_ms)
    return now_ms - newest_ms > ISOLATED_MS


def has_collector(members: fleet_members.Members, now_ms: float) -> bool:
    """Returns whether another process collects for this failure domain."""
    return any(
        now_ms - each.collector_heard_ms <= SILENT_MS
        for each in _recent_collectors(members, members.domain)
    )


def local_targets(
    members: fleet_members.Members, turn: int, now_ms: float
) -> list[messages.Peer]:
    """Returns the heartbeat recipients in this process's failure domain.

    Args:
        members: The processes.
        turn: Counter of heartbeats sent.
        now_ms: The time.
    """
    if members.collecting_since_ms is not None:
        return [
            each.peer
            for each in members.of_domain(members.domain)
            if not each.state.gone or turn % GONE_EVERY == 0
        ]
    return _collectors(members, members.domain, now_ms, COLLECTORS, turn)


def remote_targets(
    members: fleet_members.Members, turn: int, now_ms: float
) -> list[messages.Peer]:
    """Returns a collector's heartbeat recipients in other failure domains.

    Args:
        members: The processes.
        turn: Counter of heartbeats sent.
        now_ms: The time.
    """
    count = COLLECTORS if turn % STANDBY_EVERY == 0 else 1
    domains = {each for each, found in members.by_domain.items() if found}
    domains.discard(members.domain)
    return [
        peer
        for domain in sorted(domains)
        for peer in _collectors(members, domain, now_ms, count, turn)
    ]


def all_collectors(
    members: fleet_members.Members, now_ms: float
) -> list[messages.Peer]:
    """Returns the collectors of all failure domains, for urgent updates."""
    return [
        *_collectors(members, members.domain, now_ms, COLLECTORS, 0),
        *remote_targets(members, 0, now_ms),
    ]


def bootstrap_states(
    members: fleet_members.Members, domain: str
) -> list[messages.MemberState]:
    """Returns the first processes that a new process of a domain must know.

    They are the best collector candidates of its own domain and of each
    other domain.
    """
    domains = {each for each, found in members.by_domain.items() if found}
    domains.add(members.domain)
    found = []
    for each in sorted(domains):
        count = COLLECTORS + 1 if each == domain else COLLECTORS
        found.extend(candidates(members, each)[:count])
    return found


def _collectors(
    members: fleet_members.Members,
    domain: str,
    now_ms: float,
    count: int,
    turn: int,
) -> list[messages.Peer]:
    """Returns the active collectors, then the next candidates up to a count.

    Without an active collector any of the best candidates may take over, but
    their known ranking may be outdated. One of the remaining candidates is
    therefore added in round-robin order. Each process begins at another one,
    so that all candidates hear from peers and none considers itself isolated.
    """
    ranked = _ranked(members, domain)
    found = [
        each
        for each in _recent_collectors(members, domain)
        if now_ms - each.collector_heard_ms <= SILENT_MS
    ]
    if found:
        found.sort(key=lambda each: _rank(each.state))
        missing = count - len(found)
        best = ranked[: max(0, count)] if missing > 0 else []
        found += [each for each in best if each not in found][:missing]
        return [each.peer for each in found]
    rest = ranked[COLLECTORS:]
    chosen = ranked[:COLLECTORS]
    if rest:
        start = fleet_members.hash_of(members.own.peer.node_id)
        chosen.append(rest[(start + turn) % len(rest)])
    return [each.peer for each in chosen]


def _rank(state: messages.MemberState) -> tuple[int, int, str]:
    node_id = state.peer.node_id
    return -state.capacity, fleet_members.hash_of(node_id), node_id


_LAST_RANK = (1, 0, "")  # Capacities are not negative.
