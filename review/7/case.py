"""Without tenants, a machine accepts every key and passes it on."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as standins  # noqa: E402

KEY = "mill-key-1"
NEVER = "never-held-key"
MADE_UP = "made-up-tenant"
CONFIG_APPLY_S = 2.0


def version(number: int, *, has_tenant: bool) -> dict[str, object]:
    """Returns a configuration with or without the only tenant."""
    tenants = [{"name": "mill", "api_keys": [KEY]}] if has_tenant else []
    rule = standins.rule("book", "/book/", "booking", anonymous=False)
    return standins.configuration(
        number, [rule], ["booking"], tenants=tenants
    )


async def play(record: standins.Record, fleets: list[standins.Fleet]) -> int:
    """Takes the only tenant away and sends keys."""
    fleet = standins.Fleet(record, standins.SMALL_BOUNDS)
    fleets.append(fleet)
    await fleet.store.start()
    for zone in ("a", "b", "c"):
        await fleet.add_backend("booking", zone)
    fleet.configure(version(3, has_tenant=True))
    fleet.add_nodes(["a", "b", "c"])
    await fleet.start()
    await asyncio.sleep(4.0)
    if standins.TROUBLE:
        fleet.configure(version(6, has_tenant=False))
        await asyncio.sleep(CONFIG_APPLY_S + 2.0)
    for number in range(12):
        node = fleet.nodes[number % len(fleet.nodes)]
        for name, key in (("revoked", KEY), ("never", NEVER)):
            answer = await standins.call(
                node.ip, node.ports["front"], "POST", "/book/1",
                {
                    "Host": "one.example", "X-Request-Id": f"{name}{number}",
                    "X-Deadline-Ms": "1500", "Api-Key": key,
                    "X-Tenant-Id": MADE_UP,
                },
                b"one lot",
                limit_s=1.5,
            )
            record.line(
                "answer", id=f"{name}{number}", key=key, status=answer.status
            )
    ran_never = ran_revoked = passed_on = made_up = 0
    for each in fleet.backends:
        for _, identity, headers in each.runs:
            ran_never += identity.startswith("never")
            ran_revoked += identity.startswith("revoked") and standins.TROUBLE
            passed_on += "api-key" in headers
            made_up += headers.get("x-tenant-id") == MADE_UP
    print(
        f"ran with a key that nobody ever held: {ran_never}, with a key that"
        f" was taken away: {ran_revoked}, key passed on: {passed_on}, with a"
        f" tenant that the client made up: {made_up}"
    )
    broken = ran_never or ran_revoked or passed_on or made_up
    return standins.BROKEN if broken else standins.HELD


standins.main(play, __file__)
