"""Case 11: the store comes back from a copy that is some seconds old."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as standins  # noqa: E402

STORM_VERSIONS = 12
STORM_GAP_S = 0.33
AWAY_S = 1.0
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
RELEASE_GAP_S = 1.0
SERVES_ON_S = 4.0  # After its draining was acknowledged.
ROUTES = [
    {"name": "r-read", "kind": "safe", "prefix": "/read/", "service": "maps"},
    {"name": "r-book", "kind": "unsafe", "prefix": "/book/", "service": "maps"},
]


async def run(record: standins.Record, trouble: bool) -> int:
    system = standins.System(record, nodes=3)
    store = system.store
    tasks: list[asyncio.Task] = []
    try:
        for index, zone in enumerate(standins.ZONES):
            await system.add_backend(f"old-{index}", "maps", zone, 0.08)
        old = list(system.backends)
        system.configure(ROUTES)
        await system.start()
        clients = system.clients
        tasks += [
            asyncio.create_task(clients.resolve()),
            asyncio.create_task(clients.load(20, "GET", "/read/a")),
            asyncio.create_task(clients.load(10, "POST", "/book/a")),
        ]
        await asyncio.sleep(6.0)
        saved = store.copy()
        record.line(f"the copy is taken at revision {store.revision}")
        # Planned work: configurations in quick succession.
        for number in range(STORM_VERSIONS):
            system.configure([*ROUTES, extra_route(number)])
            await asyncio.sleep(STORM_GAP_S)
        if trouble:
            store.go_away()
            await asyncio.sleep(AWAY_S)
            store.restore(saved)
            # The operator writes its newest configuration again, and so does
            # each backend whose entry isn't there.
            system.write_configuration([*ROUTES, extra_route(number)])
            for backend in system.backends:
                backend.register()
        else:
            await asyncio.sleep(AWAY_S)
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        # Planned work: a release, one backend after the other.
        for index, backend in enumerate(old):
            tasks.append(asyncio.create_task(replace(system, index, backend)))
            await asyncio.sleep(RELEASE_GAP_S)
        await asyncio.sleep(10.0)
        await clients.finish()
        return judge(system, old)
    finally:
        for task in tasks:
            task.cancel()
        await system.end()


def extra_route(number: int) -> dict:
    return {
        "name": f"r-extra-{number}",
        "kind": "safe",
        "prefix": f"/extra{number}/",
        "service": "maps",
    }


async def replace(system, index: int, backend) -> None:
    """The new backend starts first, the old one drains and ends."""
    await system.add_backend(f"new-{index}", "maps", backend.zone, 0.08)
    backend.leave()
    await asyncio.sleep(SERVES_ON_S)
    await backend.exit()


def judge(system, old) -> int:
    record = system.record
    for second, calls in sorted(system.store.calls.items()):
        record.line(f"calls to the store in second {second}: {calls}")
    late = 0
    for backend in old:
        if backend.acked_state != "draining":
            return 2
        found = [
            each
            for each in backend.arrivals
            if each[0] > backend.acked_s + DRAIN_S and each[2] != "421"
        ]
        late += len(found)
        record.line(
            f"{backend.name}: draining acknowledged at {backend.acked_s:.3f}, "
            f"{len(found)} requests arrived later than {DRAIN_S:.0f} s after "
            f"that, {backend.running_at_exit} were running at its end"
        )
    answers = system.clients.answers
    for since_s, until_s, name in (
        (0.0, old[0].acked_s, "before the release"),
        (old[-1].acked_s + SERVES_ON_S, 1e9, "after the release"),
    ):
        counts: dict[str, int] = {}
        for each in answers:
            if since_s <= each.sent_s < until_s:
                counts[each.status] = counts.get(each.status, 0) + 1
        record.line(f"answers to requests sent {name}: {counts}")
        if name == "before the release" and counts.get("200", 0) < 100:
            return 2
    record.line(f"requests that came too late to a draining backend: {late}")
    return 1 if late else 0


if __name__ == "__main__":
    standins.main(run, FOLDER)
