"""Dissemination of configuration between entry VMs; does no I/O.

Heartbeats carry a digest of all groups' sequences. An entry VM that learns of
a change pushes it along a broadcast tree over the members. An entry VM whose
digest differs from a peer's pulls the missing changes, which repairs lost
pushes.
"""

from __future__ import annotations

import random
import struct

import attrs
import xxhash

from lovageyoke.config import groups
from lovageyoke.config import updates
from lovageyoke.config import view
from lovageyoke.errors import exceptions
from lovageyoke.membership import api as membership_api
from lovageyoke.membership import rendezvous
from lovageyoke.peer import api

FAN_OUT = 16
MAX_SERVICES_IN_STATE = 200

_PACKING = struct.Struct(f"<{groups.GROUP_COUNT}Q")


@attrs.frozen
class ConfigPush(api.Message):
    """Pushes a change to peers.

    Attributes:
        origin: The entry VM that received it from the platform.
        update: The change.
    """

    origin: str
    update: updates.GroupUpdate


@attrs.frozen
class ConfigPull(api.Message):
    """Requests the changes that the sender lacks.

    Attributes:
        sequences: Latest sequence of each group known to the sender.
    """

    sequences: tuple[int, ...]


@attrs.frozen
class ConfigState(api.Message):
    """Reply to a pull.

    Attributes:
        updates: Changes that the requesting entry VM lacks.
        ready: Whether the sender has a complete configuration.
        more: Whether another pull would return more changes.
    """

    updates: tuple[updates.GroupUpdate, ...]
    ready: bool
    more: bool


MESSAGES = (ConfigPush, ConfigPull, ConfigState)


def digest(sequences: list[int]) -> bytes:
    """Returns an 8-byte digest of the groups' sequences."""
    return xxhash.xxh64_digest(_PACKING.pack(*sequences))


def answer_pull(
    source: view.ConfigView, pull: ConfigPull, ready: bool
) -> ConfigState:
    """Returns the missing changes, in whole groups up to a size limit.

    Raises:
        DecodeError: The pull is malformed.
    """
    if len(pull.sequences) != groups.GROUP_COUNT:
        raise exceptions.DecodeError(
            f"expected {groups.GROUP_COUNT} groups, got {len(pull.sequences)}"
        )
    found: list[updates.GroupUpdate] = []
    size = 0
    for group, known in enumerate(pull.sequences):
        if source.sequences[group] <= known:
            continue
        if size >= MAX_SERVICES_IN_STATE:
            return ConfigState(tuple(found), ready, more=True)
        update = source.update_since(group, known)
        found.append(update)
        size += len(update.services)
    return ConfigState(tuple(found), ready, more=False)


def require_state(message: api.Message) -> ConfigState:
    """Returns the reply to a pull.

    Raises:
        DecodeError: The message has a different type.
    """
    if not isinstance(message, ConfigState):
        raise exceptions.DecodeError("the reply to a pull is not a ConfigState")
    return message


def member_ids(membership: membership_api.MembershipView) -> set[str]:
    """Returns the ids of all members, including this entry VM."""
    listed = {each.entry_id for each in membership.members()}
    return listed | {membership.self_id()}


def check_update(update: updates.GroupUpdate) -> None:
    """Validates an update from a peer.

    Raises:
        DecodeError: The group does not exist, or a service is not in it.
    """
    if not 0 <= update.group < groups.GROUP_COUNT:
        raise exceptions.DecodeError(f"group {update.group} does not exist")
    for each in update.services:
        if groups.group_of(each.name) != update.group:
            raise exceptions.DecodeError(
                f"service {each.name!r} is not in group {update.group}"
            )


def tree_children(
    self_id: str, origin: str, key: str, member_ids: set[str]
) -> list[str]:
    """Returns the members to which an entry VM forwards a change.

    Args:
        self_id: Id of this entry VM.
        origin: Id of the tree's root.
        key: Identifies the change, so that each change has its own tree.
        member_ids: Ids of the known members.
    """
    others = rendezvous.ranked(key, member_ids - {origin})
    order = [origin, *others]
    if self_id not in order:
        return []
    first = order.index(self_id) * FAN_OUT + 1
    return order[first : first + FAN_OUT]


class PeerDigests:
    """Configuration digests of peers; selects the peers to pull from.

    Attributes:
        latest: The last digest of each peer.
    """

    def __init__(self) -> None:
        self.latest: dict[str, bytes] = {}
        self._pulled: dict[str, tuple[bytes, bytes]] = {}

    def record(self, entry_id: str, peer_digest: bytes) -> None:
        """Records the digest in a peer's heartbeat."""
        self.latest[entry_id] = peer_digest

    def record_pull(self, entry_id: str, own: bytes) -> None:
        """Records that a pull fetched all changes of a peer."""
        if entry_id in self.latest:
            self._pulled[entry_id] = (self.latest[entry_id], own)

    def differing(self, own: bytes, members: set[str]) -> list[str]:
        """Returns the members whose digest differs from this entry VM's."""
        return sorted(
            entry_id
            for entry_id, peer_digest in self.latest.items()
            if peer_digest != own and entry_id in members
        )

    def choose(
        self, own: bytes, members: set[str], generator: random.Random
    ) -> str | None:
        """Returns a member that may have newer changes, or None."""
        candidates = [
            entry_id
            for entry_id in self.differing(own, members)
            if self._pulled.get(entry_id) != (self.latest[entry_id], own)
        ]
        return generator.choice(candidates) if candidates else None
