"""Messages between the memberships of entry VMs.

Their fields have short names on the wire, and defaults are left out, because
heartbeats are most of what an idle entry sends.
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
    """What one entry publishes of itself or of another.

    Of two records of an entry, the one with the higher incarnation, then
    sequence, then state is newer.

    Attributes:
        entry_id: The entry described.
        incarnation: Grows with each start of its process.
        sequence: Raised by the entry to refute what others say of it.
        state: Its state; SUSPECT and DEAD are said by others.
        caller_address: Host and port for callers.
        peer_address: Host and port of its peer channel.
        failure_domain: Where it runs.
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
    """Sent to each neighbour at an interval, and at once with urgent news.

    Attributes:
        incarnation: The sender's incarnation.
        sequence: The sequence of its own record.
        state: ALIVE or LEAVING.
        generation: Generation of the probe roster that it has read.
        digest: Digest of its member table.
        ages: How long ago it last heard directly from its neighbours.
        regions: How long ago anyone it knows of heard from other regions.
        load: Its load in percent.
        records: News of members.
        payloads: What each spread provider has to say, by provider.
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
    """Asks for the records in buckets of the table that differ.

    Attributes:
        buckets: Digests of the sender's buckets, four bytes each.
    """

    buckets: bytes


@attrs.frozen
class SyncReply(peer_api.Message):
    """Records asked for.

    Attributes:
        records: The records.
    """

    records: tuple[MemberRecord, ...]


@attrs.frozen
class Superseded(peer_api.Message):
    """Tells a process that another one with its id has started later.

    Attributes:
        incarnation: The other process's incarnation.
        age_ms: Milliseconds since any sign of life of it that the sender
            knows of; None when there was none since the sender started.
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
    """Gives the fields of a class short names on the wire."""
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
