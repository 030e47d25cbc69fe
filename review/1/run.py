"""A foreign writer leaves an entry under servers/ that can't be read."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

KEY = "servers/i-other-writer"
# 4,000 bytes; the pages allow a value of 1,048,576.
UNREADABLE = b"[" * 4_000
PLAY_S = 45.0
ENDS_PER_MACHINE = 3  # RULES, Fault: ends by themselves, three times in a day
MACHINES = 2  # and on two machines at least.


async def play(case: standins.Case) -> bool:
    case.store.put(
        "op/config",
        standins.configuration(
            5, [("/maps/", "safe", "maps"), ("/book/", "unsafe", "booking")],
            ["maps", "booking"],
        ),
    )
    for number in range(3):
        zone = standins.ZONES[number]
        for service in ("maps", "booking"):
            await case.add_backend(standins.Backend(case, service, zone))
    await case.start_nodes()
    until = standins.now() + PLAY_S
    safe = standins.Clients(case, "/maps/", "safe", 15.0)
    unsafe = standins.Clients(case, "/book/", "unsafe", 15.0)
    clients = [
        asyncio.create_task(safe.run(until)),
        asyncio.create_task(unsafe.run(until)),
    ]
    await asyncio.sleep(3.0)
    if case.trouble:
        case.store.put(KEY, UNREADABLE)
        case.record.say(f"another writer puts {KEY}: {len(UNREADABLE)} bytes")
    await asyncio.gather(*clients)
    for each in (safe, unsafe):
        counts: dict[str, int] = {}
        for sent in each.sent:
            counts[sent.outcome] = counts.get(sent.outcome, 0) + 1
        case.record.say(f"{each.kind} requests by outcome: {counts}")
    ran = {
        request_id for backend in case.backends for _, request_id in backend.ran
    }
    cut = sum(
        sent.outcome in ("closed", "timeout") and sent.request_id in ran
        for sent in unsafe.sent
    )
    case.record.say(f"unsafe requests that ran and were never answered: {cut}")
    for node in case.nodes:
        case.record.say(f"{node.name}: ended by itself {node.own_ends} times")
    worst = sum(node.own_ends >= ENDS_PER_MACHINE for node in case.nodes)
    return worst >= MACHINES


standins.main(play, __file__)
