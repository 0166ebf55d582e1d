"""Requests sent ahead on one connection go on running after their client has left."""

import sys
from asyncio import gather, open_connection, sleep
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.standins2.backend import Backend  # noqa: E402
from review.standins2.fleet import HOST, Fleet, configuration, play, route  # noqa: E402
from review.standins2.http import Message, encode, read_message  # noqa: E402

CLIENTS = 2
# Requests that each client sends before the first one is answered.
SENT_AHEAD = 80
SLOTS = 30
WORK_SECONDS = 1.5
BUDGET_MS = 5000
AIM_MS = 1200
# Half of the aim.
LEAVES_AFTER_SECONDS = AIM_MS / 2000.0
LATE_SECONDS = 0.5
# Requests that may reach an upstream late.
FEW = 3
LONGEST_SHARE = 0.25


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Returns whether rule GONE held."""

    async def work(backend: Backend, request: Message) -> int:
        await sleep(WORK_SECONDS)
        return 200

    await fleet.open_store(
        configuration(stock=route("/stock/", "stores", "safe", BUDGET_MS, AIM_MS))
    )
    for zone in ("east-depot", "west-depot", "south-depot"):
        await fleet.add_machine("stores", zone, work)
    for backend in fleet.backends:
        backend.slots = SLOTS
    for _ in range(CLIENTS):
        await fleet.add_machine("casting", "east-depot", work)
    await fleet.wait_until_ready()

    # Identifiers of the requests of each client, the time at which it left, and its answers.
    left_at: dict[str, float] = {}
    answered: list[int] = []

    async def ask(number: int) -> None:
        node = fleet.nodes[3 + number]
        reader, writer = await open_connection(node.host, fleet.ports["outbound"])
        names = [f"{number:08x}{position:08x}" for position in range(SENT_AHEAD)]
        for name in names:
            fields = {"Host": HOST, "Request-Id": name, "Deadline-Ms": BUDGET_MS}
            writer.write(encode("GET /stock/1 HTTP/1.1", fields))
        fleet.record.add(f"sent    {names[0]} to {names[-1]} to {node.name} on one connection")
        if trouble:
            await sleep(LEAVES_AFTER_SECONDS)
            writer.close()
            fleet.record.add(f"left    the client of {names[0]} to {names[-1]}")
            left_at.update(dict.fromkeys(names, fleet.record.now()))
            return
        for name in names:
            answer = await read_message(reader)
            fleet.record.add(f"answer  {name} {answer.status}")
            answered.append(answer.status)
        writer.close()

    await gather(*(ask(number) for number in range(CLIENTS)))
    await sleep(BUDGET_MS / 1000.0)

    if not trouble:
        served = answered.count(200)
        print(f"served: {served} of {CLIENTS * SENT_AHEAD}")
        return served == CLIENTS * SENT_AHEAD
    reached, at_work, lasting = count(fleet, left_at)
    text = (
        f"reached an upstream over {LATE_SECONDS} s after the client had left: {reached}; still at"
        f" work then: {at_work} of {lasting} that would have lasted so long"
    )
    fleet.record.add(text)
    print(text)
    return reached <= FEW and at_work <= LONGEST_SHARE * lasting


def count(fleet: Fleet, left_at: dict[str, float]) -> tuple[int, int, int]:
    """Returns how many runs began late, and how many of those that would last long still ran."""
    reached = 0
    at_work = 0
    lasting = 0
    for name, left in left_at.items():
        runs = fleet.record.runs.get(name, [])
        for run, (ended, _) in zip(runs, fleet.record.ends.get(name, []), strict=True):
            if run.began > left + LATE_SECONDS:
                reached += 1
            elif run.began < left and run.began + WORK_SECONDS > left + LATE_SECONDS:
                lasting += 1
                at_work += ended > left + LATE_SECONDS
    return reached, at_work, lasting


if __name__ == "__main__":
    play(case, FOLDER)
