"""All processes are killed right after a configuration is acknowledged."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

# Stale reads "may be seconds old": those of the operator's keys are, those of
# the servers' keys are not.
STALE_LAG_S = 3.0
KILL_AFTER_ACK_S = 0.1
PLAY_S = 20.0


async def play(case: standins.Case) -> bool:
    services = ["maps-old", "maps-new"]
    case.store.log_reads = True
    case.store.put(
        "op/config",
        standins.configuration(5, [("/maps/", "safe", "maps-old")], services),
    )
    for number in range(3):
        for service in services:
            await case.add_backend(
                standins.Backend(case, service, standins.ZONES[number])
            )
    case.store.stale_lag_s = {"op/": STALE_LAG_S, "servers/": 0.0}
    await asyncio.sleep(STALE_LAG_S + 1.0)
    await case.start_nodes()
    clients = standins.Clients(case, "/maps/", "safe", 30.0)
    traffic = asyncio.create_task(clients.run(standins.now() + PLAY_S))
    await asyncio.sleep(2.0)
    revision = case.store.put(
        "op/config",
        standins.configuration(7, [("/maps/", "safe", "maps-new")], services),
    )
    acknowledged = standins.now()
    case.record.say(f"the store acknowledges r7, revision {revision}")
    await asyncio.sleep(KILL_AFTER_ACK_S)
    if case.trouble:
        for node in case.nodes:
            node.kill()
        case.record.say("all processes are killed")
    await traffic
    service_of = {
        request_id: backend.service
        for backend in case.backends
        for _, request_id in backend.ran
    }
    judged = [
        sent
        for sent in clients.sent
        if sent.in_touch
        and sent.sent_at > acknowledged + standins.CONFIG_APPLY_S
        and sent.request_id in service_of
    ]
    old = [each for each in judged if service_of[each.request_id] == "maps-old"]
    case.record.say(
        f"requests through machines in touch, sent later than config_apply"
        f" after the ack: {len(judged)}, run by the old service: {len(old)}"
    )
    if old:
        late_s = max(each.sent_at for each in old) - acknowledged
        case.record.say(f"the last of them {late_s:.1f} s after the ack")
    if not judged:
        raise standins.CannotRun("no request was judged")
    return bool(old)


standins.main(play, __file__)
