"""Messages between the processes of a deployment.

They are CBOR lists in datagrams. All are soft state: any of them may be lost,
and the next one makes up for it.
"""

from __future__ import annotations

from typing import Any

import attrs
import cbor2

from lovageyoke.errors import exceptions

FORMAT = 1
_MAX_AGE_MS = 600_000
_HEARTBEAT = 1
_INTRODUCTION = 2
_CONFIGURATION = 3
# All messages have as many fields, so that their datagrams begin alike.
_PADDING = [None] * 12
_RELAYED = cbor2.dumps([FORMAT, True, *[None] * 14])[:3]
_NOT_RELAYED = cbor2.dumps([FORMAT, False, *[None] * 14])[:3]


@attrs.frozen
class Peer:
    """How to reach another process.

    Attributes:
        node_id: Name of its VM.
        host: IP number.
        port: UDP port for these messages.
        front: Address that callers connect to.
        failure_domain: Where it runs.
    """

    node_id: str
    host: str
    port: int
    front: str
    failure_domain: str


@attrs.frozen
class Report:
    """An upstream's load as a process learnt it.

    Attributes:
        upstream_id: The upstream.
        running: Requests that it works on.
        waiting: Requests in its queue.
        slots: Requests that it can work on at the same time.
        pace_percent: How long work takes, in percent of usual; 0 if not told.
        age_ms: How old the report is when it is sent.
        failures: Exchanges with it that failed since the last message.
    """

    upstream_id: str
    running: int
    waiting: int
    slots: int
    pace_percent: int
    age_ms: int
    failures: int = 0


@attrs.frozen
class EntryChange:
    """A change of an entry in the store.

    Attributes:
        key: Key of the entry.
        revision: Revision of the change.
        value: The new value, None if the entry is gone.
    """

    key: str
    revision: int
    value: bytes | None


@attrs.frozen
class Heartbeat:
    """What a process tells all others, several times a second.

    Attributes:
        peer: The sender.
        started_ms: Unix time of its start; a later start replaces it.
        ready: Whether it takes callers.
        leaving: Whether it is about to stop.
        configuration_version: Newest version that it follows, 0 for none.
        store_ok: Whether its last call to the store was answered.
        trouble_age_ms: Time since the store last failed for anyone, as far
            as it knows.
        revision: The store's revision up to which it knows all changes.
        since_revision: All changes after this one are in ``changes``.
        fresh_age_ms: Time since the store confirmed ``revision``.
        changes: The latest changes of entries.
        reports: The latest loads of upstreams.
        waiting: Requests that wait for room, by service.
    """

    peer: Peer
    started_ms: int
    ready: bool
    leaving: bool
    configuration_version: int
    store_ok: bool
    trouble_age_ms: int
    revision: int
    since_revision: int
    fresh_age_ms: int
    changes: tuple[EntryChange, ...] = ()
    reports: tuple[Report, ...] = ()
    waiting: tuple[tuple[str, int], ...] = ()


@attrs.frozen
class Introduction:
    """Tells a process of others that it may not know.

    Attributes:
        peers: The others.
    """

    peers: tuple[Peer, ...]


@attrs.frozen
class ConfigurationNews:
    """Brings a configuration that its sender has just learnt.

    Attributes:
        version: Its version.
        revision: The store's revision at which it was written.
        packed: The store's value, compressed by ``zlib``.
    """

    version: int
    revision: int
    packed: bytes


Message = Heartbeat | Introduction | ConfigurationNews


def encode(message: Message, relay: bool = False) -> bytes:
    """Returns the datagram of a message.

    Args:
        message: The message.
        relay: Whether the receiver is to pass it on in its failure domain.
    """
    return cbor2.dumps([FORMAT, relay, *_fields(message)])


def unrelayed(datagram: bytes) -> bytes | None:
    """Returns the datagram to pass on, None if it isn't to be passed on."""
    if not datagram.startswith(_RELAYED):
        return None
    return _NOT_RELAYED + datagram[len(_RELAYED) :]


def _fields(message: Message) -> list[Any]:
    if isinstance(message, Introduction):
        peers = [list(attrs.astuple(each)) for each in message.peers]
        return [_INTRODUCTION, peers, *_PADDING]
    if isinstance(message, ConfigurationNews):
        figures = [message.version, message.revision, message.packed]
        return [_CONFIGURATION, figures, *_PADDING]
    return [
        _HEARTBEAT,
        list(attrs.astuple(message.peer)),
        message.started_ms,
        message.ready,
        message.leaving,
        message.configuration_version,
        message.store_ok,
        message.trouble_age_ms,
        message.revision,
        message.since_revision,
        message.fresh_age_ms,
        [[each.key, each.revision, each.value] for each in message.changes],
        [list(attrs.astuple(each)) for each in message.reports],
        [list(each) for each in message.waiting],
    ]


def decode(datagram: bytes) -> Message:
    """Returns the message of a datagram.

    Raises:
        DecodeError: It isn't one.
    """
    try:
        raw = cbor2.loads(datagram)
        if not isinstance(raw, list) or raw[0] != FORMAT:
            raise ValueError("unknown format")
        kind, content = raw[2], raw[3]
        if kind == _HEARTBEAT:
            return _heartbeat(raw[1:])
        if kind == _INTRODUCTION:
            return Introduction(tuple(_peer(each) for each in content))
        if kind == _CONFIGURATION:
            version, revision, packed = content
            return ConfigurationNews(int(version), int(revision), bytes(packed))
        raise ValueError(f"unknown message {kind!r}")
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        IndexError,
        KeyError,
    ) as error:
        raise exceptions.DecodeError(f"not a message: {error!r}") from error


def _heartbeat(raw: list[Any]) -> Heartbeat:
    return Heartbeat(
        peer=_peer(raw[2]),
        started_ms=int(raw[3]),
        ready=bool(raw[4]),
        leaving=bool(raw[5]),
        configuration_version=int(raw[6]),
        store_ok=bool(raw[7]),
        trouble_age_ms=_age(raw[8]),
        revision=int(raw[9]),
        since_revision=int(raw[10]),
        fresh_age_ms=_age(raw[11]),
        changes=tuple(_change(each) for each in raw[12]),
        reports=tuple(_report(each) for each in raw[13]),
        waiting=tuple((str(name), int(count)) for name, count in raw[14]),
    )


def _peer(raw: list[Any]) -> Peer:
    node_id, host, port, front, failure_domain = raw
    return Peer(
        str(node_id), str(host), int(port), str(front), str(failure_domain)
    )


def _change(raw: list[Any]) -> EntryChange:
    key, revision, value = raw
    if value is not None and not isinstance(value, bytes):
        raise ValueError("value of a change")
    return EntryChange(str(key), int(revision), value)


def _report(raw: list[Any]) -> Report:
    upstream_id, *figures = raw
    running, waiting, slots, pace, age, failures = (
        max(0, int(each)) for each in figures
    )
    return Report(
        str(upstream_id), running, waiting, slots, pace, _age(age), failures
    )


def _age(raw: int) -> int:
    return min(max(0, int(raw)), _MAX_AGE_MS)
