"""A late write brings a backend back that has left."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as standins  # noqa: E402

# The beat in question is done so long after it was sent; the pages name
# 1 to 6 s.
LATE_S = 5.8
# The backend leaves so long after that beat was sent: past the stable window.
LEAVES_AFTER_S = 3.3
DRAIN_S = 2.0
# It serves on for some seconds after its entry is gone, as the pages say.
SERVES_ON_S = 8.0
PER_S = 40.0


async def ask(
    record: standins.Record, node: standins.Node, identity: str
) -> None:
    """Sends one request."""
    answer = await standins.call(
        node.ip, node.ports["front"], "POST", "/book/1",
        {
            "Host": "one.example", "X-Request-Id": identity,
            "X-Deadline-Ms": "1500",
        },
        b"one pitch",
        limit_s=1.5,
    )
    record.line("answer", id=identity, status=answer.status, node=node.name)


async def play(record: standins.Record, fleets: list[standins.Fleet]) -> int:
    """Removes a backend's entry while one of its writes is on its way."""
    fleet = standins.Fleet(record, standins.SMALL_BOUNDS)
    fleets.append(fleet)
    store = fleet.store
    await store.start()
    for zone in ("a", "b", "c", "a", "b", "c"):
        await fleet.add_backend("booking", zone)
    rule = standins.rule("book", "/book/", "booking")
    fleet.configure(standins.configuration(3, [rule], ["booking"]))
    fleet.add_nodes(["a", "b", "c"])
    await fleet.start()
    await asyncio.sleep(6.0)
    leaver = fleet.backends[0]
    key = f"servers/{leaver.identity}"
    asking = []
    started = record.now()
    left_at = 0.0
    # One beat gets no answer and is done late. The next ones are done at once,
    # so the store is calm for the stable window before the backend leaves.
    late = leaver.entry()
    record.line("beat-sent", id=leaver.identity, sequence=leaver.sequence)
    late_done = False
    removed_again = False
    number = 0
    sent_at: dict[str, float] = {}
    while record.now() < started + LEAVES_AFTER_S + SERVES_ON_S:
        now = record.now()
        if not left_at and now >= started + LEAVES_AFTER_S:
            leaver.beating.cancel()
            store.remove(key)
            left_at = record.now()
            record.line("entry-removed", id=leaver.identity)
        if standins.TROUBLE and not late_done and now >= started + LATE_S:
            late_done = True
            store.put(key, late)
            record.line("late-beat-done", id=leaver.identity)
        if (
            late_done
            and not removed_again
            and now >= started + LATE_S + 3.0 * standins.HEARTBEAT_S
        ):
            removed_again = True
            store.remove(key)
            record.line("entry-removed-again", id=leaver.identity)
        node = fleet.nodes[number % len(fleet.nodes)]
        identity = f"r{number}"
        sent_at[identity] = record.now()
        asking.append(asyncio.ensure_future(ask(record, node, identity)))
        number += 1
        await asyncio.sleep(1.0 / PER_S)
    await asyncio.gather(*asking)
    late_runs = [
        (at, identity)
        for at, identity, _ in leaver.runs
        if sent_at.get(identity, 0.0) > left_at and at > left_at + DRAIN_S
    ]
    for at, identity in late_runs:
        record.line("reached", id=identity, after_s=f"{at - left_at:.2f}")
    print(f"{len(late_runs)} requests reached the backend that has left")
    return standins.BROKEN if late_runs else standins.HELD


standins.main(play, __file__)
