"""A call that comes late in the grace period is taken and broken off."""

from asyncio import create_task, gather, sleep
from pathlib import Path
from random import Random
from signal import SIGTERM

from review.standins3.case import main
from review.standins3.client import Client, Result
from review.standins3.fleet import Fleet, configuration, route
from review.standins3.http import Message
from review.standins3.record import Record

# Work of the site's stock-query: mean 90 ms, spread 0.3, one in 100 five times as long, at most
# 680 ms.
MEAN_SECONDS = 0.09
SPREAD = 0.3
LONGEST_SECONDS = 0.68
WARM_REQUESTS = 60
GRACE_SECONDS = 6.0
# A request that was sent later than this after the SIGTERM has to be answered or refused.
SENT_LATE_SECONDS = 3.0
PARENT_AT_SECONDS = 2.0
CALL_AT_SECONDS = 4.95


async def play(fleet: Fleet, record: Record, trouble: bool) -> list[str]:
    """Plays the case; returns what broke the rule."""
    random = Random(1)
    parent_route = route("/puka111/", "casting", "safe")
    read_route = route("/leny950/", "stores", "safe", targetLatencyMs=1200)
    await fleet.open(configuration(7, ["stores", "casting"], p=parent_route, r=read_route))
    node, caller = await fleet.add("casting")
    _, called = await fleet.add("stores")
    client = Client(record, "client-1", node.outbound)
    own_calls = Client(record, caller.identifier, node.outbound)
    calls: list[Result] = []
    late: list[str] = []
    sigterm_at = [0.0]

    def work(message: Message) -> float:
        if message.headers["request-id"] in late:
            return LONGEST_SECONDS
        return random.lognormvariate(-0.5 * SPREAD**2, SPREAD) * MEAN_SECONDS

    async def call(message: Message) -> int:
        parent = message.headers["request-id"]
        if message.first[1].endswith("/late"):
            await sleep(max(0.0, sigterm_at[0] + CALL_AT_SECONDS - record.now()))
            late.append(f"{parent}.1")
            left = int(message.headers["deadline-ms"]) - 3000
        else:
            left = int(message.headers["deadline-ms"]) - 50
        result = await own_calls.send("GET", "/leny950/2f", f"{parent}.1", left)
        calls.append(result)
        return 200 if result.status == 200 else 500

    caller.work = lambda message: 0.02
    caller.after_work = call
    called.work = work
    await gather(*[node.wait_ready() for node in fleet.nodes])
    await sleep(4.0)
    for number in range(WARM_REQUESTS):
        result = await client.send("GET", "/puka111/x", f"warm{number}", 5000)
        if result.status != 200:
            raise RuntimeError("the deployment does not serve")
    sigterm_at[0] = record.now()
    ending = None
    if trouble:
        node.signal(SIGTERM, "SIGTERM")
        ending = create_task(node.wait_end())
    await sleep(PARENT_AT_SECONDS)
    parent = await client.send("GET", "/puka111/late", "parent", 5000)
    if ending is not None:
        await ending
    await sleep(0.5)
    broken = []
    last = [result for result in calls if result.request_id == "parent.1"]
    if not last:
        raise RuntimeError("the call was not made")
    result = last[0]
    ran = [run for run in called.runs if run.request_id == "parent.1"]
    record.note("seen", f"the parent request ends with {parent.status}")
    if ran and (result.status == 0 or "response-seal" not in result.headers):
        broken.append(
            f"LOST: parent.1 was sent {result.sent_at - sigterm_at[0]:.2f} s after the SIGTERM, "
            f"its upstream was at work from {ran[0].at - sigterm_at[0]:.2f} s, and it ends with "
            f"the node's own {result.status} at {result.ended_at - sigterm_at[0]:.2f} s"
        )
    return broken


main(Path(__file__).resolve().parent, play)
