"""A stopping process drops requests that it has accepted and queued."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as standins  # noqa: E402

DEADLINE_MS = 8_000
WORK_S = 2.4
PERIOD_S = 0.3
STEADY_S = 4.0
GRACE_S = 6.0
# Clients keep the addresses of the directory for this long.
KEEP_S = 2.8
LOSS_SLACK_S = 0.2


class Sent:
    """One request of a client."""

    def __init__(self, identity: str, at: float) -> None:
        self.identity = identity
        self.at = at
        self.answer: standins.Answer | None = None
        self.ended = 0.0


async def ask(
    record: standins.Record, node: standins.Node, request: Sent
) -> None:
    """Sends one request on a new channel and records its answer."""
    request.at = record.now()
    answer = await standins.call(
        node.ip,
        node.ports["front"],
        "POST",
        "/book/1",
        {
            "Host": "one.example",
            "X-Request-Id": request.identity,
            "X-Deadline-Ms": str(DEADLINE_MS),
        },
        b"one pitch",
        limit_s=DEADLINE_MS / 1e3,
    )
    request.answer = answer
    request.ended = record.now()
    record.line(
        "answer", id=request.identity, status=answer.status, end=answer.end
    )


async def play(record: standins.Record, fleets: list[standins.Fleet]) -> int:
    """Stops one process of three under a steady load."""
    fleet = standins.Fleet(record, standins.SMALL_BOUNDS)
    fleets.append(fleet)
    await fleet.store.start()
    backends = [
        await fleet.add_backend("booking", zone, slots=1, work_s=WORK_S)
        for zone in ("a", "b", "c")
    ]
    rule = standins.rule(
        "book", "/book/", "booking",
        target_latency="3000ms", action={"timeout": f"{DEADLINE_MS}ms"},
    )
    fleet.configure(standins.configuration(3, [rule], ["booking"]))
    fleet.add_nodes(["a", "b", "c"])
    await fleet.start()
    await asyncio.sleep(3.0)
    node = fleet.nodes[0]
    sent: list[Sent] = []
    asking: list[asyncio.Task[None]] = []
    started = record.now()
    stopped = started + STEADY_S
    killed = stopped + GRACE_S
    signalled = False
    while record.now() < stopped + KEEP_S:
        if record.now() >= stopped and not signalled:
            signalled = True
            stopped = record.now()
            if standins.TROUBLE:
                node.send_signal(signal.SIGTERM)
        request = Sent(f"c{len(sent)}", record.now())
        sent.append(request)
        record.line("send", id=request.identity, to=node.name)
        asking.append(asyncio.ensure_future(ask(record, node, request)))
        await asyncio.sleep(PERIOD_S)
    await asyncio.sleep(max(0.0, killed - record.now()))
    if standins.TROUBLE and node.running():
        node.send_signal(signal.SIGKILL)
    await asyncio.gather(*asking)
    ran = {identity for each in backends for _, identity, _ in each.runs}
    lost = []
    for request in sent:
        answer = request.answer
        assert answer is not None
        # Accepted: the process had the whole request for over loss_slack.
        held_s = request.ended - request.at
        if answer.end == "closed" and held_s > LOSS_SLACK_S:
            if request.identity in ran:
                record.line("excused", id=request.identity, why="at work")
                continue
            lost.append(request)
            record.line(
                "lost",
                id=request.identity,
                sent_after_signal=f"{request.at - stopped:.2f}",
                held_s=f"{held_s:.2f}",
            )
    statuses = [each.answer.status for each in sent if each.answer]
    record.line(
        "summary",
        sent=len(sent),
        lost=len(lost),
        answered={each: statuses.count(each) for each in set(statuses)},
    )
    print(f"sent {len(sent)}, lost without running {len(lost)}")
    return standins.BROKEN if lost else standins.HELD


standins.main(play, __file__)
