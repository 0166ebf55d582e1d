"""A machine is cut off from the others while long orders run beside it, and comes back."""

from asyncio import create_task, gather, sleep
from pathlib import Path

from standins.case import run_case
from standins.client import connect, encode, read_answer
from standins.fleet import Fleet, Machine, route
from standins.messages import Message
from standins.record import Record
from standins.upstream import Upstream

SERVICES = ["stores", "casting", "stores", "casting", "stores", "casting"]
ORDERS = 9
TIMEOUT_MS = 30_000
WORK_SECONDS = 16.0
CUT_AT_SECONDS = 14.0
CUT_SECONDS = 5.0


class LongRunningUpstream(Upstream):
    """Runs orders for a long time."""

    def seconds_for(self, request_id: str) -> float:
        """Returns how long a request runs."""
        return WORK_SECONDS if request_id.startswith("order") else 0.02


async def order(machine: Machine, request_id: str, record: Record) -> Message:
    """Sends an order and returns its answer."""
    reader, writer = await connect(machine.address("outbound"))
    writer.write(encode("POST", "/order/1", request_id, TIMEOUT_MS, b"one pallet"))
    record.write(f"{request_id} POST /order/1 sent to {machine.name}")
    answer = await read_answer(reader, TIMEOUT_MS / 1000.0 + 1.0)
    record.write(f"{request_id}: status {answer.status}")
    writer.close()
    return answer


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    """Sends orders, cuts one machine off, and counts how often each order ran."""
    await fleet.start(
        {
            "look": route("/look/", "casting"),
            "order": route("/order/", "casting", type="unsafe", priority=0, timeoutMs=TIMEOUT_MS),
        },
        LongRunningUpstream,
    )
    await fleet.wait_routes(["/look/"])
    await sleep(4.0)
    entry = fleet.of_service("stores")[0]
    tasks = []
    for number in range(ORDERS):
        tasks.append(create_task(order(entry, f"order-{number}", record)))
    await sleep(CUT_AT_SECONDS)
    away = max(fleet.of_service("casting"), key=lambda each: each.upstream.running)
    if trouble:
        record.write(f"{away.name} is cut off from the other machines for {CUT_SECONDS} s")
        away.proxy.cut()
        await sleep(CUT_SECONDS)
        away.proxy.heal()
        record.write(f"{away.name} is back")
    await gather(*tasks)
    twice = 0
    for number in range(ORDERS):
        request_id = f"order-{number}"
        runs = sum(each.upstream.started.get(request_id, 0) for each in fleet.machines)
        record.write(f"{request_id} ran {runs} times")
        if runs > 1:
            twice += 1
            record.say(f"TWICE: {request_id} ran {runs} times")
    record.say(f"{twice} of {ORDERS} orders ran more than once")
    return twice > 0


run_case(Path(__file__).resolve().parent, SERVICES, play, proxied=True)
