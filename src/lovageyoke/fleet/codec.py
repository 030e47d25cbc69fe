"""Encodes messages as CBOR lists, with load reports as packed structs."""

from __future__ import annotations

from collections.abc import Callable
import math
import struct
from typing import Any

import attrs
import cbor2

from lovageyoke.fleet import lifetimes
from lovageyoke.fleet import message_checks
from lovageyoke.fleet import messages
from lovageyoke.routing import model_checks
from lovageyoke.schema import decoding
from lovageyoke.store import positions

FORMAT = 2
_MAX_AGE_MS = 600_000
_MAX_COUNT = 2**31  # Of processes or requests.
_MAX_CAPACITY = 1_000_000  # In percent of a core.
_MAX_FLAGS = 15
# Indexes of fields that are absent from the messages of earlier versions.
_LEVELS = 14
_HEARTBEAT_ERA = 15
_REQUEST_ERA = 1
_SNAPSHOT_VERSION = 6
_SNAPSHOT_ERA = 7
_BYTE = 255
_SHORT = 65_535
# The fields of ``messages.Report`` in their order.
_REPORT = struct.Struct(">IBBBHHB")
# The fields of ``messages.QuotaCount`` and ``messages.QuotaLevel``.
_QUOTA_COUNT = struct.Struct(">III")
_QUOTA_LEVEL = struct.Struct(">Iff")


def encode(message: messages.Message) -> bytes:
    """Encodes a message as a datagram."""
    kind, fields = _fields(message)
    return cbor2.dumps([FORMAT, kind, *fields])


@decoding.total("message")
def decode(datagram: bytes) -> messages.Message:
    """Decodes a datagram.

    Raises:
        DecodeError: The datagram is not a valid message.
    """
    raw = cbor2.loads(datagram)
    if not isinstance(raw, list) or raw[0] != FORMAT:
        raise ValueError("unknown message format")
    return _DECODERS[raw[1]](raw[2:])


def _fields(message: messages.Message) -> tuple[int, list[Any]]:
    if isinstance(message, messages.Heartbeat):
        return _HEARTBEAT, _heartbeat_fields(message)
    if isinstance(message, messages.Introduction):
        return _INTRODUCTION, [
            [_state_fields(each) for each in message.members]
        ]
    if isinstance(message, messages.ConfigurationUpdate):
        return _CONFIGURATION, [
            message.version,
            message.revision,
            message.packed,
        ]
    if isinstance(message, messages.SnapshotRequest):
        position = message.position
        return _SNAPSHOT_REQUEST, [position.revision, position.era]
    if isinstance(message, messages.RemovedUpstreams):
        return _REMOVED_UPSTREAMS, [
            [list(attrs.astuple(each)) for each in message.lifetimes]
        ]
    return _SNAPSHOT_PART, [
        message.position.revision,
        message.fresh_age_ms,
        message.digest,
        message.part,
        message.parts,
        message.packed,
        message.configuration_version,
        message.position.era,
    ]


def _heartbeat_fields(message: messages.Heartbeat) -> list[Any]:
    return [
        _state_fields(message.sender),
        message.collecting,
        message.known,
        message.configuration_version,
        message.position.revision,
        message.since.revision,
        message.fresh_age_ms,
        [
            [each.key, each.position.revision, each.value]
            for each in message.changes
        ],
        b"".join(_report_bytes(each) for each in message.reports),
        [list(each) for each in message.waiting],
        [_state_fields(each) for each in message.members],
        [list(each) for each in message.domains],
        [_rate_limit_fields(each) for each in message.rate_limits],
        b"".join(
            _QUOTA_COUNT.pack(each.account, each.admitted, each.offered)
            for each in message.quota_counts
        ),
        None
        if message.quota_levels is None
        else b"".join(
            _QUOTA_LEVEL.pack(each.account, each.tokens, each.demand_per_s)
            for each in message.quota_levels
        ),
        message.position.era,
    ]


def _heartbeat(raw: list[Any]) -> messages.Heartbeat:
    era = _era(raw, _HEARTBEAT_ERA)
    return messages.Heartbeat(
        sender=_state(raw[0]),
        collecting=bool(raw[1]),
        known=decoding.integer(raw[2], 0, _MAX_COUNT),
        configuration_version=decoding.integer(raw[3]),
        position=_position(era, raw[4]),
        since=_position(era, raw[5]),
        fresh_age_ms=_age(raw[6]),
        changes=tuple(_change(era, each) for each in raw[7]),
        reports=tuple(map(messages.Report._make, _REPORT.iter_unpack(raw[8]))),
        waiting=tuple(
            (_text(name), decoding.integer(count, 0, _MAX_COUNT))
            for name, count in raw[9]
        ),
        members=tuple(_state(each) for each in raw[10]),
        domains=tuple((_text(name), _age(age)) for name, age in raw[11]),
        # Absent from the messages of earlier versions.
        rate_limits=tuple(
            _rate_limit(each) for part in raw[12:13] for each in part
        ),
        quota_counts=tuple(
            messages.QuotaCount(*each)
            for part in raw[13:14]
            for each in _QUOTA_COUNT.iter_unpack(part)
        ),
        quota_levels=_quota_levels(raw[_LEVELS])
        if len(raw) > _LEVELS
        else None,
    )


def _introduction(raw: list[Any]) -> messages.Introduction:
    return messages.Introduction(tuple(_state(each) for each in raw[0]))


def _configuration(raw: list[Any]) -> messages.ConfigurationUpdate:
    version, revision, packed = raw
    return messages.ConfigurationUpdate(
        decoding.integer(version), decoding.integer(revision), _raw(packed)
    )


def _snapshot_request(raw: list[Any]) -> messages.SnapshotRequest:
    return messages.SnapshotRequest(_position(_era(raw, _REQUEST_ERA), raw[0]))


def _snapshot_part(raw: list[Any]) -> messages.SnapshotPart:
    revision, age_ms, digest, part, parts, packed = raw[:_SNAPSHOT_VERSION]
    version = raw[_SNAPSHOT_VERSION] if len(raw) > _SNAPSHOT_VERSION else 0
    return messages.SnapshotPart(
        _position(_era(raw, _SNAPSHOT_ERA), revision),
        _age(age_ms),
        decoding.integer(digest),
        decoding.integer(part),
        decoding.integer(parts),
        _raw(packed),
        decoding.integer(version),
    )


def _removed_upstreams(raw: list[Any]) -> messages.RemovedUpstreams:
    return messages.RemovedUpstreams(tuple(_lifetime(*each) for each in raw[0]))


def _lifetime(
    upstream_id: object, started_ms: object, seen: object, reached: object
) -> lifetimes.EndedLifetime:
    return lifetimes.EndedLifetime(
        _text(upstream_id),
        decoding.integer(started_ms),
        decoding.integer(seen),
        decoding.integer(reached),
    )


_HEARTBEAT = 1
_INTRODUCTION = 2
_CONFIGURATION = 3
_SNAPSHOT_REQUEST = 4
_SNAPSHOT_PART = 5
_REMOVED_UPSTREAMS = 6
_DECODERS: dict[int, Callable[[list[Any]], messages.Message]] = {
    _HEARTBEAT: _heartbeat,
    _INTRODUCTION: _introduction,
    _CONFIGURATION: _configuration,
    _SNAPSHOT_REQUEST: _snapshot_request,
    _SNAPSHOT_PART: _snapshot_part,
    _REMOVED_UPSTREAMS: _removed_upstreams,
}


def _state_fields(state: messages.MemberState) -> list[Any]:
    peer = state.peer
    flags = (
        state.ready | state.leaving << 1 | state.store_ok << 2 | state.gone << 3
    )
    return [
        peer.node_id,
        peer.host,
        peer.port,
        peer.front,
        peer.failure_domain,
        state.started_ms,
        state.sequence,
        flags,
        state.capacity,
    ]


def _state(raw: list[Any]) -> messages.MemberState:
    node_id, host, port, front, domain, started, sequence, flags, capacity = raw
    decoding.integer(flags, 0, _MAX_FLAGS)
    return messages.MemberState(
        message_checks.known_peer(node_id, host, port, front, domain),
        decoding.integer(started),
        decoding.integer(sequence),
        bool(flags & 1),
        bool(flags & 2),
        bool(flags & 4),
        decoding.integer(capacity, 0, _MAX_CAPACITY),
        bool(flags & 8),
    )


def _report_bytes(report: messages.Report) -> bytes:
    try:
        return _REPORT.pack(*report)
    except struct.error:
        return _report_bytes_in_range(report)


def _report_bytes_in_range(report: messages.Report) -> bytes:
    return _REPORT.pack(
        report.number,
        min(report.running, _BYTE),
        min(report.waiting, _BYTE),
        min(report.slots, _BYTE),
        min(report.pace_percent, _SHORT),
        min(report.age_ms, _SHORT),
        min(report.failures, _BYTE),
    )


def _rate_limit_fields(report: messages.RateLimitReport) -> list[Any]:
    fields = list(attrs.astuple(report))
    return fields[:-1] if report.cold_ms is None else fields


def _rate_limit(raw: list[Any]) -> messages.RateLimitReport:
    # Only reports of cold upstreams have a fifth field.
    upstream_id, started_ms, per_s, age_ms, *cold = raw
    if per_s is not None:
        per_s = float(per_s)
        if not 0.0 <= per_s < math.inf:
            raise ValueError("rate limit out of range")
    return messages.RateLimitReport(
        _text(upstream_id),
        decoding.integer(started_ms),
        per_s,
        _age(age_ms),
        decoding.integer(cold[0], 0, int(model_checks.MAX_COLD_MS))
        if cold
        else None,
    )


def _quota_levels(raw: object) -> tuple[messages.QuotaLevel, ...] | None:
    if raw is None:
        return None
    unpacked = list(_QUOTA_LEVEL.iter_unpack(_raw(raw)))
    for _, tokens, demand_per_s in unpacked:
        if not (math.isfinite(tokens) and 0.0 <= demand_per_s < math.inf):
            raise ValueError("quota out of range")
    return tuple(messages.QuotaLevel(*each) for each in unpacked)


def _era(raw: list[Any], index: int) -> int:
    return decoding.integer(raw[index]) if len(raw) > index else 0


def _position(era: int, revision: object) -> positions.Position:
    return positions.Position(era, decoding.integer(revision))


def _change(era: int, raw: list[Any]) -> messages.EntryChange:
    key, revision, value = raw
    if value is not None:
        value = _raw(value)
    return messages.EntryChange(_text(key), _position(era, revision), value)


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError("expected a text string")
    return value


def _raw(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise ValueError("expected a byte string")
    return value


def _age(raw: int) -> int:
    return min(max(0, int(raw)), _MAX_AGE_MS)
