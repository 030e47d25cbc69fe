"""Liveness evidence: own heartbeats received, and ages from other members."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import struct

import xxhash

AGE_UNIT_MS = 100
MAX_AGE = 255
HOP_MS = 250.0
AGE_FORMAT = ">IB"
AGE_BYTES = struct.calcsize(AGE_FORMAT)


def short_id(entry_id: str) -> int:
    """Returns the 32-bit hash that identifies an entry VM in age lists."""
    return xxhash.xxh32_intdigest(entry_id.encode())


def encode_ages(ages_ms: Iterable[tuple[str, float]]) -> bytes:
    """Encodes pairs of entry id and age as an age list.

    Ages above 25.4 s do not fit the format and are omitted.
    """
    parts = []
    for entry_id, age_ms in ages_ms:
        age = int(age_ms / AGE_UNIT_MS)
        if 0 <= age < MAX_AGE:
            parts.append(struct.pack(AGE_FORMAT, short_id(entry_id), age))
    return b"".join(parts)


def decode_ages(ages: bytes) -> Iterator[tuple[int, float]]:
    """Decodes an age list to pairs of short id and age in milliseconds."""
    whole = len(ages) - len(ages) % AGE_BYTES
    for short, age in struct.iter_unpack(AGE_FORMAT, ages[:whole]):
        yield short, float(age * AGE_UNIT_MS)


class Evidence:
    """Times at which members or regions were last seen alive.

    All times are of the local clock.

    Attributes:
        received_ms: Time of the last heartbeat received from a member.
        reported_ms: Latest time at which other members report a heartbeat
            from a member.
        since_ms: When the process started to expect heartbeats from a
            member.
    """

    def __init__(self) -> None:
        self.received_ms: dict[str, float] = {}
        self.reported_ms: dict[str, float] = {}
        self.since_ms: dict[str, float] = {}
        self._by_short: dict[int, str] = {}
        self._ignored_until_ms: dict[str, float] = {}

    def expect(self, entry_ids: Iterable[str], now_ms: float) -> None:
        """Sets the members from which heartbeats are expected."""
        self.since_ms = {
            each: self.since_ms.get(each, now_ms) for each in entry_ids
        }
        self._by_short = {short_id(each): each for each in self.since_ms}
        self._ignored_until_ms = {
            each: ignored_ms
            for each, ignored_ms in self._ignored_until_ms.items()
            if each in self.since_ms
        }

    def record_heartbeat(self, entry_id: str, now_ms: float) -> None:
        """Records a heartbeat from a member."""
        self.received_ms[entry_id] = now_ms

    def merge_ages(self, ages: bytes, now_ms: float) -> None:
        """Merges the age list of a heartbeat."""
        for short, age_ms in decode_ages(ages):
            entry_id = self._by_short.get(short)
            if entry_id is None:
                continue
            reported_ms = now_ms - age_ms
            if reported_ms <= self._ignored_until_ms.get(
                entry_id, reported_ms - 1
            ):
                continue
            known_ms = self.reported_ms.get(entry_id, reported_ms)
            self.reported_ms[entry_id] = max(known_ms, reported_ms)

    def forget(self, entry_id: str, now_ms: float) -> None:
        """Discards the evidence of a member's older incarnation."""
        self.received_ms.pop(entry_id, None)
        self.reported_ms.pop(entry_id, None)
        if entry_id in self.since_ms:
            self.since_ms[entry_id] = now_ms

    def invalidate(self, entry_id: str, now_ms: float) -> None:
        """Ignores all evidence of a member from before now."""
        self.forget(entry_id, now_ms)
        self.since_ms[entry_id] = float("-inf")
        self._ignored_until_ms[entry_id] = now_ms

    def restart(self, now_ms: float) -> None:
        """Restarts the timeouts of all members after a process pause."""
        self.since_ms = dict.fromkeys(self.since_ms, now_ms)

    def is_expected(self, entry_id: str) -> bool:
        """Returns whether heartbeats are expected from a member."""
        return entry_id in self.since_ms

    def direct_age_ms(self, entry_id: str, now_ms: float) -> float:
        """Returns the time since the last heartbeat received from a member."""
        return now_ms - self.received_ms.get(entry_id, float("-inf"))

    def evidence_age_ms(self, entry_id: str, now_ms: float) -> float:
        """Returns the time since any evidence; infinite if there is none."""
        latest_ms = max(
            self.received_ms.get(entry_id, float("-inf")),
            self.reported_ms.get(entry_id, float("-inf")),
        )
        return now_ms - latest_ms

    def silence_ms(self, entry_id: str, now_ms: float) -> float:
        """Returns the time since any evidence or since it was expected."""
        since_ms = self.since_ms.get(entry_id, float("-inf"))
        return min(self.evidence_age_ms(entry_id, now_ms), now_ms - since_ms)

    def direct_ages(self, now_ms: float) -> bytes:
        """Returns the age list of the heartbeats received by this process."""
        return encode_ages(
            (each, now_ms - self.received_ms[each])
            for each in self.since_ms
            if each in self.received_ms
        )

    def all_ages(self, now_ms: float) -> bytes:
        """Returns the age list of all evidence, including that of others.

        Each hop adds ``HOP_MS``, which exceeds the delay of a message.
        Otherwise two entry VMs would keep each other's evidence fresh forever.
        """
        return encode_ages(
            (each, self.silence_ms(each, now_ms) + HOP_MS)
            for each in self.since_ms
            if each in self.received_ms or each in self.reported_ms
        )

    def silent(self, now_ms: float, limit_ms: float) -> frozenset[str]:
        """Returns the members silent for longer than ``limit_ms``."""
        return frozenset(
            each
            for each in self.since_ms
            if self.silence_ms(each, now_ms) > limit_ms
        )
