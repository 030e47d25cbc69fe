"""A server sends a second answer, late, where the next one is expected."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

EXTRA_EVERY = 50  # One answer in 50, as x = 0.02 of the site file.
LENGTH_S = 5.0  # for_s of the site file
PAUSE_S = 1.0
PLAY_S = 36.0


class GarblingBackend(standins.Backend):
    """Sends an extra answer, without a length, after one answer in 50."""

    answers = 0

    async def answer(
        self,
        request: standins.Message,
        writer: asyncio.StreamWriter,
        channel: dict,
    ) -> bool:
        extra_of = channel.pop("extra_of", None)
        if extra_of is not None:
            self.case.record.write(
                f"server {self.instance} sends the second answer to {extra_of}"
                f" where that to {request.headers['x-request-id']} is expected"
            )
            writer.write(
                standins.answer_bytes(
                    200,
                    {**self.headers_for(extra_of), "Connection": "close"},
                    standins.body_of(extra_of),
                    framed=False,
                )
            )
            await writer.drain()
            return False
        if standins.is_disturbed(self.case.traffic_since, LENGTH_S, PAUSE_S):
            self.answers += 1
            spoilt = self.answers % EXTRA_EVERY == 0
        else:
            spoilt = False
        if spoilt:
            channel["extra_of"] = request.headers["x-request-id"]
        return await super().answer(request, writer, channel)


async def play(case: standins.Case) -> bool:
    case.store.put(
        "op/config",
        standins.configuration(
            5, [("/maps/", "safe", "maps"), ("/book/", "unsafe", "booking")],
            ["maps", "booking"],
        ),
    )
    kind = GarblingBackend if case.trouble else standins.Backend
    for service in ("maps", "booking"):
        await case.add_backend(
            kind(case, service, standins.ZONES[0], work_s=0.03)
        )
        for number in (1, 2):
            await case.add_backend(
                standins.Backend(
                    case, service, standins.ZONES[number], work_s=0.03
                )
            )
    await case.start_nodes()
    until = standins.now() + PLAY_S
    clients = [
        standins.Clients(case, "/maps/", "safe", 40.0),
        standins.Clients(case, "/book/", "unsafe", 40.0),
    ]
    await asyncio.gather(*(each.run(until) for each in clients))
    broken = 0
    for each in clients:
        successes = foreign = cut = 0
        for sent in each.sent:
            if sent.answer is None or sent.answer.status != 200:
                continue
            successes += 1
            own = f"sig-{sent.request_id}"
            if sent.answer.headers.get("x-response-signature") != own:
                foreign += 1
                case.record.write(
                    f"{sent.request_id} got the answer to"
                    f" {sent.answer.headers.get('x-request-id')},"
                    f" {len(sent.answer.body)} bytes of body"
                )
            elif sent.answer.body != standins.body_of(sent.request_id):
                cut += 1
        case.record.say(
            f"{each.kind}: {successes} successes, of these {foreign} with the"
            f" answer to another request, {cut} with another body"
        )
        broken += foreign + cut
    return broken > 0


standins.main(play, __file__)
