"""Selects the entry addresses that a caller uses."""

from __future__ import annotations

from collections.abc import Iterable
import itertools

import attrs
import orjson

from lovageyoke.addresses import weights as weights_lib
from lovageyoke.membership import api
from lovageyoke.membership import rendezvous

SUBSET_SIZE = 8
MIN_REGIONAL_ENTRIES = 3
LIFETIME_JITTER = 0.1
LIFETIME_BUCKETS = 1_000
PROPAGATION_MARGIN_MS = 5_000


@attrs.frozen
class EntryAddress:
    """A weighted address of an entry.

    Attributes:
        address: IP address and port for callers.
        weight: Share of the caller's connections, relative to the others.
        failure_domain: Failure domain of the entry.
    """

    address: str
    weight: int
    failure_domain: str


@attrs.frozen
class AddressAnswer:
    """The answer to an address query.

    Attributes:
        addresses: Addresses to use, never empty.
        lifetime_ms: How long the caller may cache the answer, in milliseconds.
    """

    addresses: tuple[EntryAddress, ...]
    lifetime_ms: int

    def to_json(self) -> bytes:
        """Returns the answer as a JSON object."""
        return orjson.dumps(attrs.asdict(self))


@attrs.frozen
class Caller:
    """The caller that sent an address query.

    Attributes:
        key: Stable identifier of the caller, such as its IP address.
        region: Region given in the query; "" for the entry's own.
    """

    key: str
    region: str = ""


def linger_ms(lifetime_ms: int) -> int:
    """Returns how long a leaving entry keeps serving before it closes.

    The last answers that include the entry are given just before the other
    entries learn that it is leaving, and are cached for their whole lifetime.
    """
    return lifetime_ms + PROPAGATION_MARGIN_MS


class AddressSelector:
    """Answers address queries from a membership view.

    Entries that are leaving or suspected are omitted immediately. The entries
    of a caller are selected by rendezvous hashing and taken from the failure
    domains in turn. The selection thus changes only where an entry is added or
    removed, and spans several failure domains.

    Attributes:
        view: The membership view.
        lifetime_ms: Maximum lifetime of an answer, in milliseconds.
        weights: Weights of entries.
    """

    def __init__(self, view: api.MembershipView, lifetime_ms: int) -> None:
        self.view = view
        self.lifetime_ms = lifetime_ms
        self.weights = weights_lib.Weights()

    def answer(self, caller: Caller, now_ms: float) -> AddressAnswer:
        """Returns the addresses that a caller should use."""
        members = self.view.members()
        own_id = self.view.self_id()
        own = next(each for each in members if each.entry_id == own_id)
        usable = _usable(members) or [own]
        self.weights.keep_only({each.entry_id for each in members})
        regional = _in_region(usable, caller.region or own.region)
        not_overloaded = self._without_overloaded(regional, now_ms)
        chosen = _subset(caller.key, not_overloaded)
        addresses = tuple(
            EntryAddress(
                each.caller_address,
                self.weights.update(each.entry_id, each.load, now_ms),
                each.failure_domain,
            )
            for each in chosen
        )
        return AddressAnswer(addresses, self._lifetime_ms(caller.key))

    def _without_overloaded(
        self, members: list[api.Member], now_ms: float
    ) -> list[api.Member]:
        not_overloaded = [
            each
            for each in members
            if self.weights.update(each.entry_id, each.load, now_ms)
            > weights_lib.MIN_WEIGHT
        ]
        return (
            not_overloaded
            if len(not_overloaded) * 2 >= len(members)
            else members
        )

    def _lifetime_ms(self, key: str) -> int:
        bucket = rendezvous.score("lifetime", key) % LIFETIME_BUCKETS
        reduction = LIFETIME_JITTER * bucket / LIFETIME_BUCKETS
        return int(self.lifetime_ms * (1 - reduction))


def _usable(members: Iterable[api.Member]) -> list[api.Member]:
    """Returns the alive members, or if there are none, the suspected ones.

    Of several members with the same address, only the one with the latest
    incarnation is returned.
    """
    for state in (api.MemberState.ALIVE, api.MemberState.SUSPECT):
        latest: dict[str, api.Member] = {}
        for each in members:
            known = latest.get(each.caller_address)
            if each.state is not state:
                continue
            if known is None or each.incarnation > known.incarnation:
                latest[each.caller_address] = each
        if latest:
            return list(latest.values())
    return []


def _in_region(members: list[api.Member], region: str) -> list[api.Member]:
    regional = [each for each in members if each.region == region]
    return regional if len(regional) >= MIN_REGIONAL_ENTRIES else members


def _subset(key: str, members: list[api.Member]) -> list[api.Member]:
    by_id = {each.entry_id: each for each in members}
    by_failure_domain: dict[str, list[api.Member]] = {}
    for entry_id in rendezvous.ranked(key, by_id):
        member = by_id[entry_id]
        by_failure_domain.setdefault(member.failure_domain, []).append(member)
    rounds = itertools.zip_longest(*by_failure_domain.values())
    interleaved = itertools.chain.from_iterable(rounds)
    found = [each for each in interleaved if each is not None]
    return found[:SUBSET_SIZE]
