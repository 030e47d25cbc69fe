"""All processes start again while the store is away; a server has left."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

NODES = 6
LEAVES_AT_S = 5.0  # After the start of traffic.
FAULT_LATER_S = 0.2
STORE_DOWN_S = 2.5  # The site file has 4.5 s.
# How old the stale reads of the store's two replicas are. The site file has
# 5.5 s.
REPLICA_LAG_S = [0.0, 4.5]
SERVES_ON_S = 12.0  # drain and "at times many seconds"
PLAY_S = 20.0


class LeavingBackend(standins.Backend):
    """Leaves without a report: its entry is removed, and it serves on."""

    acknowledged = 0.0

    async def beat(self) -> None:
        self.case.store.put_beat(self.key, self.entry("ready"))

    def leave(self) -> None:
        self.case.store.remove(self.key)
        self.acknowledged = standins.now()
        self.case.record.say(f"the entry of {self.instance} is removed")


async def play(case: standins.Case) -> bool:
    store = case.store
    store.log_reads = True
    store.replica_lag_s = REPLICA_LAG_S
    store.put(
        "op/config",
        standins.configuration(
            5, [("/book/", "unsafe", "booking")], ["booking"]
        ),
    )
    leaving = LeavingBackend(case, "booking", standins.ZONES[1])
    await case.add_backend(leaving)
    for zone in standins.ZONES:
        await case.add_backend(standins.Backend(case, "booking", zone))
    await asyncio.sleep(max(REPLICA_LAG_S) + 0.5)
    await case.start_nodes()
    clients = standins.Clients(case, "/book/", "unsafe", 60.0)
    traffic = asyncio.create_task(clients.run(standins.now() + PLAY_S))
    await asyncio.sleep(LEAVES_AT_S)
    leaving.leave()
    stable_from = 0.0
    if case.trouble:
        await asyncio.sleep(FAULT_LATER_S)
        store.is_busy = True
        for node in case.nodes:
            node.kill()
        case.record.say("the store is down, and all processes are killed")
        await asyncio.sleep(STORE_DOWN_S)
        store.is_busy = False
        case.record.say("the store is back")
        stable_from = standins.now() + standins.STABLE_WINDOW_S
    await asyncio.sleep(
        max(0.0, leaving.acknowledged + SERVES_ON_S - standins.now())
    )
    leaving.server.close()
    await traffic
    sent_by = {sent.request_id: sent for sent in clients.sent}
    bound = leaving.acknowledged + standins.DRAIN_S
    late = [
        (at, sent_by[request_id])
        for at, request_id in leaving.ran
        if at > bound
        and sent_by[request_id].in_touch
        and sent_by[request_id].sent_at > stable_from
    ]
    for at, sent in late:
        case.record.write(
            f"{sent.request_id} reached the server that has left from"
            f" {sent.node.name} {at - leaving.acknowledged:.2f} s after the ack"
        )
    case.record.say(
        f"{len(leaving.ran)} requests reached the server that has left,"
        f" {len(late)} of them later than {standins.DRAIN_S} s after the ack,"
        f" from {sorted({sent.node.name for _, sent in late})} in touch"
    )
    return bool(late)


standins.main(play, __file__, NODES)
