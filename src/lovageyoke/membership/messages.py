"""Membership messages between entry VMs.

Fields have short names on the wire and default values are omitted, because
heartbeats are most of the traffic of an idle entry VM.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import cattrs
from cattrs import gen

from lovageyoke.membership import api
from lovageyoke.peer import api as peer_api
from lovageyoke.peer import codec


@attrs.frozen
class MemberRecord:
    """Record that an entry VM publishes about itself or another one.

    Records are ordered by incarnation, then sequence, then state; the greater
    one is newer.

    Attributes:
        entry_id: Id of the entry VM that the record describes.
        incarnation: Number of its process, greater after each restart.
        sequence: Incremented by the entry VM to refute records of others.
        state: Its state; SUSPECT is published by others only.
        caller_address: Host and port that callers connect to.
        peer_address: Host and port of its peer channel.
        failure_domain: Failure domain that it runs in.
        region: The region of its failure domain.
    """

    entry_id: str
    incarnation: int
    sequence: int = 0
    state: api.MemberState = api.MemberState.ALIVE
    caller_address: str = ""
    peer_address: str = ""
    failure_domain: str = ""
    region: str = ""


@attrs.frozen
class Heartbeat(peer_api.Message):
    """Sent to each neighbour at an interval, and at once if urgent.

    Attributes:
        incarnation: The sender's incarnation.
        sequence: Sequence of the sender's own record.
        state: ALIVE or LEAVING.
        generation: Generation of the probe roster that the sender has read.
        digest: Digest of the sender's member table.
        ages: Time since the last heartbeat received from each neighbour, as
            an age list.
        regions: Time since any known evidence of each other region, as an
            age list.
        load: The sender's load in percent.
        records: Changed member records.
        payloads: Payloads of the providers, by provider name.
    """

    incarnation: int
    sequence: int = 0
    state: api.MemberState = api.MemberState.ALIVE
    generation: int = 0
    digest: int = 0
    ages: bytes = b""
    regions: bytes = b""
    load: int = 0
    records: tuple[MemberRecord, ...] = ()
    payloads: dict[str, bytes] = attrs.field(factory=dict)


@attrs.frozen
class SyncRequest(peer_api.Message):
    """Requests the records in the table buckets that differ.

    Attributes:
        buckets: Digests of the sender's buckets, four bytes each.
    """

    buckets: bytes


@attrs.frozen
class SyncReply(peer_api.Message):
    """Reply with the requested records.

    Attributes:
        records: The records.
    """

    records: tuple[MemberRecord, ...]


@attrs.frozen
class Superseded(peer_api.Message):
    """Notifies a process of a higher incarnation of its entry id.

    Attributes:
        incarnation: The higher incarnation.
        age_ms: Age of the sender's latest evidence of it, in milliseconds;
            None if there was none since the sender started.
    """

    incarnation: int
    age_ms: int | None


MESSAGES: tuple[type[peer_api.Message], ...] = (
    Heartbeat,
    SyncRequest,
    SyncReply,
    Superseded,
)

RECORD_NAMES = {
    "entry_id": "e",
    "incarnation": "i",
    "sequence": "q",
    "state": "s",
    "caller_address": "c",
    "peer_address": "p",
    "failure_domain": "f",
    "region": "r",
}
HEARTBEAT_NAMES = {
    "incarnation": "i",
    "sequence": "q",
    "state": "s",
    "generation": "g",
    "digest": "d",
    "ages": "a",
    "regions": "n",
    "load": "l",
    "records": "r",
    "payloads": "p",
}


def register_names(
    converter: cattrs.Converter, cls: type, names: dict[str, str]
) -> None:
    """Registers short wire names for the fields of a class."""
    overrides = {
        name: gen.override(rename=short) for name, short in names.items()
    }
    unstructure: Callable[[Any], Any] = gen.make_dict_unstructure_fn(
        cls,
        converter,
        _cattrs_omit_if_default=True,
        **overrides,  # type: ignore[arg-type]
    )
    structure: Callable[[Any, Any], Any] = gen.make_dict_structure_fn(
        cls,
        converter,
        **overrides,  # type: ignore[arg-type]
    )
    converter.register_unstructure_hook(cls, unstructure)
    converter.register_structure_hook(cls, structure)


register_names(codec.CONVERTER, MemberRecord, RECORD_NAMES)
register_names(codec.CONVERTER, Heartbeat, HEARTBEAT_NAMES)
