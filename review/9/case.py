"""A tenant that is removed and restored gets its burst once more."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as standins  # noqa: E402

TENANT = "mill"
KEY = "mill-key-1"
PER_S = 20.0
BURST = 40.0
WINDOW_S = 5.0
OVER = 0.1
SLACK = 20.0
OFFERED_PER_S = 60.0
OFFERED_S = 6.0
# Times of the removals, and of the restorations, after the demand begins.
CHANGES_S = ((1.2, 1.7), (3.0, 3.5))


def version(number: int, *, has_tenant: bool) -> dict[str, object]:
    """Returns a configuration with or without the tenant."""
    tenants = [{"name": "other", "api_keys": ["other-key-1"], "per_s": 50.0}]
    if has_tenant:
        tenants.append(
            {
                "name": TENANT, "api_keys": [KEY],
                "per_s": PER_S, "burst": BURST,
            }
        )
    rule = standins.rule("book", "/book/", "booking", anonymous=False)
    return standins.configuration(
        number, [rule], ["booking"], tenants=tenants
    )


async def ask(
    record: standins.Record,
    node: standins.Node,
    identity: str,
    sent_at: dict[str, float],
    statuses: list[int],
) -> None:
    """Sends one request of the tenant."""
    sent_at[identity] = record.now()
    answer = await standins.call(
        node.ip, node.ports["front"], "POST", "/book/1",
        {
            "Host": "one.example", "X-Request-Id": identity,
            "X-Deadline-Ms": "1500", "Api-Key": KEY,
        },
        b"one lot",
        limit_s=1.5,
    )
    statuses.append(answer.status)
    record.line("answer", id=identity, status=answer.status, node=node.name)


async def operate(record: standins.Record, fleet: standins.Fleet) -> None:
    """Removes the tenant and restores it, twice."""
    number = 10
    started = record.now()
    for removed_s, restored_s in CHANGES_S:
        for at_s, has_tenant in ((removed_s, False), (restored_s, True)):
            await asyncio.sleep(max(0.0, started + at_s - record.now()))
            number += 3
            fleet.configure(version(number, has_tenant=has_tenant))


def most_in_window(runs: list[tuple[float, float]]) -> int:
    """Returns the most requests that were sent and ran in one window."""
    return max(
        (
            sum(
                start <= sent and ran <= start + WINDOW_S for sent, ran in runs
            )
            for start, _ in runs
        ),
        default=0,
    )


async def play(record: standins.Record, fleets: list[standins.Fleet]) -> int:
    """Offers three times the quota while the configuration changes."""
    bounds = standins.SMALL_BOUNDS | {
        "quota_window": "5s", "quota_over": str(OVER),
        "quota_slack": str(int(SLACK)), "strict_revoke": "false",
        "revoke": "5000ms",
    }
    fleet = standins.Fleet(record, bounds)
    fleets.append(fleet)
    await fleet.store.start()
    for zone in ("a", "b", "c"):
        await fleet.add_backend("booking", zone, work_s=0.01)
    fleet.configure(version(7, has_tenant=True))
    fleet.add_nodes(["a", "b", "c"])
    await fleet.start()
    # The machines are in touch, and the quota is unused.
    await asyncio.sleep(6.0)
    sent_at: dict[str, float] = {}
    statuses: list[int] = []
    asking = []
    started = record.now()
    if standins.TROUBLE:
        asking.append(asyncio.ensure_future(operate(record, fleet)))
    for number in range(int(OFFERED_PER_S * OFFERED_S)):
        node = fleet.nodes[number % len(fleet.nodes)]
        asking.append(
            asyncio.ensure_future(
                ask(record, node, f"m{number}", sent_at, statuses)
            )
        )
        due = started + (number + 1) / OFFERED_PER_S
        await asyncio.sleep(max(0.0, due - record.now()))
    await asyncio.gather(*asking)
    runs = sorted(
        (sent_at[identity], at)
        for each in fleet.backends
        for at, identity, headers in each.runs
        if headers.get("x-tenant-id") == TENANT
    )
    allowed = (PER_S * WINDOW_S + BURST) * (1.0 + OVER) + SLACK
    most = most_in_window(runs)
    record.line(
        "summary", offered=len(sent_at), ran=len(runs),
        most_in_window=most, allowed=f"{allowed:.1f}",
        answered={each: statuses.count(each) for each in set(statuses)},
    )
    print(f"{most} requests of the tenant in 5 s, {allowed:.1f} allowed")
    return standins.BROKEN if most > allowed else standins.HELD


standins.main(play, __file__)
