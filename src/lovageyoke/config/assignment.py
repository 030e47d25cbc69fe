"""Assigns groups to entry VMs for watching and polling; does no I/O.

Each group has one watcher and one poller, so that the number of platform
calls does not grow with the fleet. The poller still detects changes when
watches stop delivering. The two are different entry VMs where possible,
preferably in different failure domains. An entry VM that receives nothing from
its peers follows every group itself, even while they are still listed.
"""

from __future__ import annotations

import attrs

from lovageyoke.config import groups
from lovageyoke.membership import api
from lovageyoke.membership import rendezvous


@attrs.frozen
class Roles:
    """The groups that an entry VM follows on the platform.

    Attributes:
        watched: Groups to watch.
        polled: Groups to read at intervals.
    """

    watched: frozenset[int] = frozenset()
    polled: frozenset[int] = frozenset()


def roles(self_id: str, members: tuple[api.Member, ...]) -> Roles:
    """Returns the roles of an entry VM, given its member list."""
    domains = {
        each.entry_id: each.failure_domain
        for each in members
        if each.state is api.MemberState.ALIVE or each.entry_id == self_id
    }
    domains.setdefault(self_id, "")
    watched = set()
    polled = set()
    for group in range(groups.GROUP_COUNT):
        watcher, poller = _pair(group, domains)
        if watcher == self_id:
            watched.add(group)
        if poller == self_id:
            polled.add(group)
    return Roles(frozenset(watched), frozenset(polled))


def _pair(group: int, domains: dict[str, str]) -> tuple[str, str]:
    ranked = rendezvous.ranked(f"config/{group}", domains)
    watcher = ranked[0]
    candidates = ranked[1:] or ranked
    for each in candidates:
        if domains[each] != domains[watcher]:
            return watcher, each
    return watcher, candidates[0]
