"""A stopping node takes calls of running orders and breaks them off while they run."""

import sys
from asyncio import create_task, gather, sleep
from os import environ
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.standins2.backend import Backend  # noqa: E402
from review.standins2.fleet import Answer, Fleet, configuration, play, route  # noqa: E402
from review.standins2.http import Message  # noqa: E402

ORDERS = 8
ORDER_INTERVAL_SECONDS = 0.02
# An order: own work, then calls one after the other.
OWN_WORK_SECONDS = 0.5
CALLS = 3
CALL_SECONDS = 1.7
ORDER_BUDGET_MS = 6000
# The route of the calls.
CALL_AIM_MS = 1200
CALL_TIMEOUT_MS = 3000
GRACE_SECONDS = 6.0
# Requests sent up to this long after SIGTERM are excused if they still run near its end.
EXCUSED_SECONDS = 3.0


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Returns whether rule LOST held."""
    calls: dict[str, Answer] = {}
    await fleet.open_store(
        configuration(
            order=route("/order/", "supply", "unsafe", ORDER_BUDGET_MS, 1500),
            ledger=route("/ledger/", "storefront", "safe", CALL_TIMEOUT_MS, CALL_AIM_MS),
        )
    )

    async def run_order(backend: Backend, request: Message) -> int:
        expires = fleet.record.now() + int(request.headers["deadline-ms"]) / 1000.0
        await sleep(OWN_WORK_SECONDS)
        node = fleet.node_at(backend.host)
        for number in range(CALLS):
            call_id = f"{request.headers['request-id']}.{number}"
            left_ms = int((expires - fleet.record.now()) * 1000.0)
            budget_ms = max(1, min(CALL_TIMEOUT_MS, left_ms))
            calls[call_id] = await fleet.send(
                node, "/ledger/1", budget_ms=budget_ms, request_id=call_id
            )
            if calls[call_id].status != 200:
                return 500
        return 200

    async def run_call(backend: Backend, request: Message) -> int:
        await sleep(CALL_SECONDS)
        return 200

    stopped = await fleet.add_machine("supply", "lautoka", run_order)
    await fleet.add_machine("supply", "nadi", run_order)
    await fleet.add_machine("storefront", "lautoka", run_call)
    await fleet.add_machine("storefront", "nadi", run_call)
    await fleet.wait_until_ready()

    orders = []
    for number in range(ORDERS):
        order = fleet.send(stopped, f"/order/{number}", "POST", b"pulp", ORDER_BUDGET_MS)
        orders.append(create_task(order))
        await sleep(ORDER_INTERVAL_SECONDS)
    if trouble:
        stopped.stop()
    answers = await gather(*orders)
    # The upstreams notice the end of the connection and end their runs.
    await sleep(1.0)

    served = sum(1 for answer in answers if answer.status == 200)
    fleet.record.add(f"orders served: {served} of {ORDERS}")
    if not trouble:
        return served == ORDERS
    broken = [call_id for call_id, call in calls.items() if is_lost(fleet, stopped, call_id, call)]
    for call_id in broken:
        fleet.record.add(f"LOST    {call_id}")
    print(f"orders served: {served} of {ORDERS}; calls broken off: {len(broken)}")
    return not broken


def is_lost(fleet: Fleet, stopped: object, call_id: str, call: Answer) -> bool:
    """Returns whether a call was broken off though the rule does not excuse it."""
    runs = fleet.record.runs.get(call_id, [])
    if call.status == 200 or not runs:
        return False
    after_stop = call.sent_at - stopped.stopped_at
    if not EXCUSED_SECONDS < after_stop < GRACE_SECONDS + 1.0:
        return False
    # The upstream was at work until the connection to it ended, and the time was not over.
    ended_at, status = fleet.record.ends[call_id][-1]
    at_work = not status and ended_at > call.ended_at - 0.1
    in_time = call.ended_at - call.sent_at < CALL_SECONDS
    return at_work and in_time


if __name__ == "__main__":
    # With TROUBLE=0 all is the same but for the disruption.
    play(case, FOLDER, environ.get("TROUBLE", "1") != "0")
