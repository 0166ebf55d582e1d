"""An old configuration stays in force while the store turns the watchers of the others away."""

import sys
from asyncio import create_task, gather, sleep
from os import environ
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.standins2.backend import Backend  # noqa: E402
from review.standins2.fleet import Fleet, Node, configuration, play, route  # noqa: E402
from review.standins2.http import Message  # noqa: E402

# The machines of the site, numbered in each zone as there.
ZONES = ("east-depot", "west-depot", "south-depot")
SERVICES = ("stores", "casting", "shipping", "fitments")
# The machines that the store turns away: 4 of 12.
TURNED_AWAY = (
    "sidecar-east-depot-1",
    "sidecar-east-depot-2",
    "sidecar-south-depot-1",
    "sidecar-west-depot-3",
)
CHANGE_AFTER_SECONDS = 0.3
PLAYED_SECONDS = 6.0
# The route of the orders leads to the first service, and to the second after the change.
OLD_SERVICE = "casting"
NEW_SERVICE = "shipping"
CONFIG_SECONDS = 2.0
ORDER_INTERVAL_SECONDS = 0.25
ORDER_SECONDS = 0.02
BUDGET_MS = 5000


def orders_to(service: str, version: int) -> dict[str, object]:
    """Returns a configuration whose route for orders leads to a service."""
    return configuration(version, order=route("/order/", service, "unsafe", BUDGET_MS, 1500))


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Returns whether rule CONFIG held."""

    async def work(backend: Backend, request: Message) -> int:
        await sleep(ORDER_SECONDS)
        return 200

    await fleet.open_store(orders_to(OLD_SERVICE, 7))
    for position, service in enumerate(SERVICES):
        for zone in ZONES:
            name = f"sidecar-{zone}-{position + 1}"
            await fleet.add_machine(service, zone, work, has_store_proxy=True, name=name)
    await fleet.wait_until_ready()
    # Nodes review their sources each 3 s.
    await sleep(8.0)

    served_by_store = []
    for node in fleet.nodes:
        if node.name not in TURNED_AWAY:
            served_by_store.append(node)
        elif trouble:
            node.store_proxy.silence()
            fleet.record.add(f"store   answers {node.name} no more")
    await sleep(CHANGE_AFTER_SECONDS)
    fleet.store.put("config", "main", orders_to(NEW_SERVICE, 9))
    changed_at = fleet.record.now()
    fleet.record.add(f"config  version 9 acknowledged: orders go to {NEW_SERVICE}")

    sent: list[tuple[str, Node, float]] = []
    tasks = []
    while fleet.record.now() < changed_at + PLAYED_SECONDS:
        for node in served_by_store:
            request_id = f"{len(sent):016x}"
            sent.append((request_id, node, fleet.record.now()))
            order = fleet.send(node, "/order/1", "POST", b"order", BUDGET_MS, request_id)
            tasks.append(create_task(order))
        await sleep(ORDER_INTERVAL_SECONDS)
    answers = await gather(*tasks)

    stale: dict[str, int] = {}
    latest = 0.0
    for request_id, node, sent_at in sent:
        age = sent_at - changed_at
        if age <= CONFIG_SECONDS:
            continue
        for run in fleet.record.runs.get(request_id, []):
            if run.service == OLD_SERVICE:
                stale[node.name] = stale.get(node.name, 0) + 1
                latest = max(latest, age)
                fleet.record.add(f"STALE   {request_id} of {node.name} ran at {OLD_SERVICE}")
    served = sum(1 for answer in answers if answer.status == 200)
    fleet.record.add(f"orders served: {served} of {len(sent)}; sent too late: {stale}")
    print(
        f"orders sent over {CONFIG_SECONDS} s after the ack that ran at {OLD_SERVICE}:"
        f" {sum(stale.values())}, by {len(stale)} nodes, the last {latest:.2f} s after it"
    )
    if not trouble and served < len(sent):
        return False
    return not stale


if __name__ == "__main__":
    # With TROUBLE=0 all is the same but for the disruption.
    play(case, FOLDER, environ.get("TROUBLE", "1") != "0")
