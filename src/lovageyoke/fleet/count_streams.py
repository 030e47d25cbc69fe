"""Increments of cumulative counts that other processes send.

Each process counts from its start, so a lost or repeated message changes
nothing that the next one doesn't correct. A restart begins a new stream.
"""

from __future__ import annotations

from collections.abc import Iterable
import math

import attrs

from lovageyoke.fleet import messages

# A process with fewer messages has been known almost since its start, so that
# its first counts are increments.
NEW_SEQUENCE = 60
WRAP = 2**32  # Counts are sent modulo this.


@attrs.frozen
class Increment:
    """What a process has counted since its last message.

    Attributes:
        account: Number of the account.
        admitted: Requests admitted, less those refunded.
        offered: Requests received.
    """

    account: int
    admitted: int
    offered: int


@attrs.define
class Stream:
    """The counts of one process since its start.

    Attributes:
        started_ms: Start time of the process.
        sequence: Sequence number of its last message with counts.
        heard_ms: When its last message was received.
        is_complete: Whether counts that were not known are increments.
        counts: Last known counts by account.
        outdated: Accounts whose counts may include requests from a time in
            which the process was not heard.
    """

    started_ms: int
    heard_ms: float
    is_complete: bool
    sequence: int = -1
    counts: dict[int, messages.QuotaCount] = attrs.field(factory=dict)
    outdated: set[int] = attrs.field(factory=set)


class CountStreams:
    """The counts of all processes that send theirs to this one.

    Attributes:
        streams: The streams by node id.
    """

    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}

    def heard_ms(self, node_id: str) -> float:
        """Returns when a process was last heard; minus infinity if never."""
        stream = self.streams.get(node_id)
        return -math.inf if stream is None else stream.heard_ms

    def apply(
        self,
        sender: messages.MemberState,
        counts: Iterable[messages.QuotaCount],
        now_ms: float,
        silent_ms: float,
    ) -> list[Increment]:
        """Returns the increments in a message.

        Args:
            sender: State of the sender.
            counts: Its counts.
            now_ms: The time.
            silent_ms: A process that wasn't heard for longer has used a share
                of its own; what it counted in that time is no increment.
        """
        stream = self.streams.get(sender.peer.node_id)
        if stream is None or stream.started_ms < sender.started_ms:
            stream = Stream(
                sender.started_ms, now_ms, sender.sequence < NEW_SEQUENCE
            )
            self.streams[sender.peer.node_id] = stream
        elif stream.started_ms > sender.started_ms:
            return []
        if now_ms - stream.heard_ms > silent_ms:
            stream.outdated.update(stream.counts)
            stream.is_complete = False
        stream.heard_ms = now_ms
        counts = tuple(counts)
        if not counts or sender.sequence <= stream.sequence:
            return []
        stream.sequence = sender.sequence
        return [
            found
            for each in counts
            if (found := self.increment(stream, each)) is not None
        ]

    def increment(
        self, stream: Stream, count: messages.QuotaCount
    ) -> Increment | None:
        """Returns the increment of one count, None if there is none."""
        before = stream.counts.get(count.account)
        if before == count:
            return None
        stream.counts[count.account] = count
        if count.account in stream.outdated:
            stream.outdated.discard(count.account)
            return None
        offered = 0
        if before is not None:
            offered = _difference(count.offered, before.offered)
        if before is None or offered < 0:
            # The counts of an account start again if it was removed from the
            # configuration for some time.
            if stream.is_complete or offered < 0:
                return Increment(count.account, count.admitted, count.offered)
            # Sent because it has changed, so the last request is recent.
            return Increment(count.account, min(1, count.admitted), 1)
        return Increment(
            count.account,
            _difference(count.admitted, before.admitted),
            offered,
        )

    def keep_only(self, node_ids: Iterable[str]) -> None:
        """Drops the streams of processes that no longer exist."""
        kept = set(node_ids)
        for node_id in [each for each in self.streams if each not in kept]:
            del self.streams[node_id]


def _difference(count: int, before: int) -> int:
    """Returns the signed difference of two counts; refunds lower a count."""
    return (count - before + WRAP // 2) % WRAP - WRAP // 2
