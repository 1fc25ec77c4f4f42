"""Heartbeats that a partition held up arrive after their sender crashed and its successor registered."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
import rig

SERVERS = 3
SLOTS = 5
WORK_S = 0.3
REQUESTS_PER_S = 42
HELD_UP = 3
HEARTBEAT_S = 1.5
STABILITY_S = 3.0
MIN_SHARE = 0.7
WINDOW_S = 2.0
DEADLINE_MS = 2500
OBSERVED_S = 24


async def run(backend, head, body, writer):
    await backend.work(WORK_S)
    return await backend.reply(head, writer, b"booked")


async def main(record, make_fleet):
    routes = [rig.route("/orders/", "unsafe", "orders", "1500ms", "1000ms")]
    bounds = {"grace": "6s", "retryBudgetRatio": 0.2, "budgetSlack": 56}
    fleet = make_fleet(["orders"] * SERVERS, routes, run, bounds, slots=SLOTS)
    await fleet.start()
    await asyncio.sleep(4)
    results = []
    stopping = False

    async def one(number):
        name, begin = f"b{number}", rig.now()
        address = fleet.outbound(number)
        answer = await rig.ask(address, "POST", f"/orders/{number}", name, DEADLINE_MS, b"book")
        results.append((begin, answer.status == 200))
        if answer.status != 200:
            record.line(f"client got {answer.status} {answer.text!r} for {name}")

    async def clients():
        begin, number = rig.now(), 0
        while not stopping:
            number += 1
            asyncio.ensure_future(one(number))
            await asyncio.sleep(max(0.0, begin + number / REQUESTS_PER_S - rig.now()))

    traffic = asyncio.ensure_future(clients())
    await asyncio.sleep(6)

    server = fleet.backends[0]
    record.line(f"partition: the heartbeats of server {server.id} are held up")
    server.beating = False
    held_up = [server.next_heartbeat() for _ in range(HELD_UP)]
    await asyncio.sleep(HEARTBEAT_S * (HELD_UP - 1))
    record.line(f"server {server.id} crashes")
    server.crash()
    await asyncio.sleep(1)
    await server.restart()
    server.beating = False
    status = await server.call_daemon(*server.next_heartbeat())
    server.beating = True
    record.line(f"its successor {server.id} registers at the same address: {status}")
    registered = rig.now()
    if rig.TROUBLE:
        await asyncio.sleep(0.2)
        for path, body in held_up:
            status = await server.call_daemon(path, body)
            record.line(f"a heartbeat that was held up arrives, {path} seq {body['seq']}: {status}")
    await asyncio.sleep(OBSERVED_S)
    stopping = True
    await asyncio.sleep(3)
    traffic.cancel()

    broken = 0
    begin = registered + 2 * STABILITY_S
    while begin + WINDOW_S <= registered + OBSERVED_S:
        end = begin + WINDOW_S
        served = [is_served for at, is_served in results if begin <= at < end]
        unserved = served.count(False) / max(1, len(served))
        used = sum(any(begin <= at < end for at, _ in backend.runs) for backend in fleet.backends)
        record.line(
            f"{begin:.1f} to {end:.1f} s: {used} of {SERVERS} sound servers got requests, "
            f"{served.count(False)} of {len(served)} requests weren't served"
        )
        broken += 0 < used < MIN_SHARE * SERVERS and 0.1 < unserved < 0.5
        begin += 1
    record.line(f"the rule was broken in {broken} of these times")
    return rig.BROKEN if broken else rig.HELD


rig.run_case(__file__, main)
