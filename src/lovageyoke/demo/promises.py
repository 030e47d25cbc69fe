"""What must have held during the demonstration."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator

import attrs
import httpx

from lovageyoke.config import document
from lovageyoke.demo import traffic
from lovageyoke.errors import table

WINDOW_MS = 1_000.0


@attrs.frozen
class Promise:
    """One promise and whether it held.

    Attributes:
        name: What was promised.
        held: Whether it held.
        detail: The figures it was judged by.
    """

    name: str
    held: bool
    detail: str


@attrs.frozen
class Observed:
    """What the demonstration observed.

    Attributes:
        record: What the callers saw.
        runs: How often each booking ran.
        probe_times_ms: When probes were sent, by service.
        probes_per_s: Probe budget of each service.
        drained_served: Requests that the drained upstream had accepted when
            the drain had been known for its longest time, and at the end.
        versions: Version of each service on each entry.
        confirmed: Plan ids that were confirmed.
        audited: The audit trail.
    """

    record: traffic.Record
    runs: dict[str, int]
    probe_times_ms: dict[str, list[float]]
    probes_per_s: float
    drained_served: tuple[int, int]
    versions: dict[str, dict[str, int]]
    confirmed: tuple[str, ...]
    audited: tuple[document.AuditRecord, ...]


def judge(observed: Observed) -> tuple[Promise, ...]:
    """Returns every promise with whether it held."""
    return tuple(_promises(observed))


def most_in_window(times_ms: Iterable[float]) -> int:
    """Returns the largest count in any window of one second."""
    window: collections.deque[float] = collections.deque()
    most = 0
    for time_ms in times_ms:
        window.append(time_ms)
        while window[0] <= time_ms - WINDOW_MS:
            window.popleft()
        most = max(most, len(window))
    return most


def _promises(observed: Observed) -> Iterator[Promise]:
    yield _at_most_once(observed)
    yield _confirmed_bookings_ran(observed)
    yield _not_run(observed)
    yield _same_answer(observed)
    yield _reads_answered(observed)
    yield _scans_whole(observed)
    yield _drained(observed)
    yield _probe_budget(observed)
    yield _in_force(observed)
    yield _audited(observed)


def _at_most_once(observed: Observed) -> Promise:
    most = max(observed.runs.values(), default=0)
    total = len(observed.runs)
    return Promise(
        "a booking runs at most once",
        most <= 1,
        f"{total} identities ran, the most often {most} time(s)",
    )


def _confirmed_bookings_ran(observed: Observed) -> Promise:
    confirmed = {
        each.identity
        for each in observed.record.bookings
        if each.status == httpx.codes.OK
    }
    missing = sorted(confirmed - set(observed.runs))
    return Promise(
        "a confirmed booking has run",
        bool(confirmed) and not missing,
        f"{len(confirmed)} confirmed, {len(missing)} of them never ran",
    )


def _not_run(observed: Observed) -> Promise:
    refused = collections.Counter(
        each.identity
        for each in observed.record.bookings
        if each.outcome == table.Outcome.NOT_RUN.value
    )
    sent = collections.Counter(
        each.identity for each in observed.record.bookings
    )
    wrong = [
        identity
        for identity, count in refused.items()
        if count == sent[identity] and observed.runs.get(identity)
    ]
    return Promise(
        "an answer of not-run is true",
        not wrong,
        f"{len(refused)} refused as not run, {len(wrong)} of them ran",
    )


def _same_answer(observed: Observed) -> Promise:
    answers: dict[str, set[bytes]] = {}
    for each in observed.record.bookings:
        if each.status == httpx.codes.OK:
            answers.setdefault(each.identity, set()).add(each.body)
    differing = [each for each in answers.values() if len(each) > 1]
    repeated = len(observed.record.bookings) - len(answers)
    return Promise(
        "a repeated booking gets the first one's answer",
        not differing and repeated > 0,
        f"{repeated} repeated, {len(differing)} with another answer",
    )


def _reads_answered(observed: Observed) -> Promise:
    latencies = observed.record.latencies_of("map read")
    return Promise(
        "map reads are answered while an upstream stalls",
        latencies.count > 0 and latencies.failed == 0,
        f"{latencies.count} answered, {latencies.failed} failed",
    )


def _scans_whole(observed: Observed) -> Promise:
    expected = traffic.expected_scan_digest()
    digests = observed.record.scan_digests
    damaged = [each for each in digests if each != expected]
    total = sum(observed.record.scan_lengths)
    return Promise(
        "downloads arrive whole while their upstream drains",
        bool(digests) and not damaged,
        f"{len(digests)} scans, {total:,} bytes, {len(damaged)} damaged",
    )


def _drained(observed: Observed) -> Promise:
    after_notice, at_end = observed.drained_served
    new = at_end - after_notice
    return Promise(
        "a draining upstream gets no new work after 3 s",
        after_notice > 0 and new == 0,
        f"{after_notice} requests before, {new} after",
    )


def _probe_budget(observed: Observed) -> Promise:
    most = {
        service: most_in_window(times)
        for service, times in observed.probe_times_ms.items()
    }
    total = sum(len(each) for each in observed.probe_times_ms.values())
    worst = max(most.values(), default=0)
    return Promise(
        "probes stay within their budget",
        0 < worst <= observed.probes_per_s,
        f"{total} sent, at most {worst} in a second of "
        f"{observed.probes_per_s:.0f} allowed for each service",
    )


def _in_force(observed: Observed) -> Promise:
    states = list(observed.versions.values())
    same = all(each == states[0] for each in states)
    services = len(states[0])
    return Promise(
        "the confirmed configuration is in force on every entry",
        same and services > 0,
        f"{services} services on {len(states)} entries",
    )


def _audited(observed: Observed) -> Promise:
    records = collections.Counter(each.plan_id for each in observed.audited)
    wrong = [each for each in observed.confirmed if records[each] != 1]
    return Promise(
        "every confirmed plan has one audit record",
        bool(observed.confirmed) and not wrong,
        f"{len(observed.confirmed)} confirmed, {len(wrong)} without their one "
        "record",
    )
