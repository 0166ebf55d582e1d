"""The store turns a third of the machines away; the others take it to be away for all."""

from asyncio import create_task, gather, sleep
from hashlib import blake2b
from pathlib import Path

from review.standins3.case import main
from review.standins3.client import Client
from review.standins3.fleet import ZONE, Fleet, configuration, route
from review.standins3.record import Record

MACHINES = 42
# A third of the machines, as on the site.
TURNED_AWAY = 14
SILENT_SECONDS = 9.0
CONFIG_SECONDS = 2.5
CALM_SECONDS = 14.0
ASK_SECONDS = 0.25


def first_watchers() -> list[int]:
    """Returns the numbers of the machines that the nodes ask first for what the store says."""

    def position(number: int) -> bytes:
        return blake2b(f"sidecar-{ZONE}-{number}".encode(), digest_size=8).digest()

    return sorted(range(1, MACHINES + 1), key=position)[:TURNED_AWAY]


async def play(fleet: Fleet, record: Record, trouble: bool) -> list[str]:
    """Plays the case; returns what broke the rule."""
    services = ["casting", "shipping", "stores"]
    first = configuration(7, services, orders=route("/puka111/", "casting", "unsafe"))
    fleet.bounds = {"configMs": "2500", "drainMs": "2500", "ackMs": "5000", "catchUpS": "6"}
    await fleet.open(first)
    addresses = [await fleet.store.open_for("127.31.0.250") for _ in range(MACHINES)]
    for number in range(MACHINES):
        _, upstream = await fleet.add(services[number % 3], store=addresses[number])
        upstream.work = lambda message: 0.02
    await gather(*[node.wait_ready(30.0) for node in fleet.nodes])
    await sleep(CALM_SECONDS)
    turned_away = first_watchers()
    served = [node for index, node in enumerate(fleet.nodes) if index + 1 not in turned_away]
    clients = []
    for node in served:
        clients.append(Client(record, f"client-{node.name.rpartition('-')[2]}", node.outbound))
    warm = await gather(
        *[
            client.send("POST", "/puka111/a", f"warm{number}", 5000, b"x", quiet=True)
            for number, client in enumerate(clients)
        ]
    )
    if any(result.status != 200 for result in warm):
        raise RuntimeError("the deployment does not serve")
    for upstream in fleet.upstreams:
        upstream.runs.clear()

    if trouble:
        names = ", ".join(fleet.nodes[number - 1].name for number in turned_away)
        record.note("store", f"falls silent to {TURNED_AWAY} of {MACHINES} machines: {names}")
        fleet.store.silent = {addresses[number - 1] for number in turned_away}
    silent_at = record.now()
    await sleep(0.3)
    fleet.store.put(
        "config",
        "main",
        configuration(9, services, orders=route("/puka111/", "shipping", "unsafe")),
    )
    acked_at = record.now()
    sent_at = {}
    sending = []
    asked = 0
    while record.now() < silent_at + SILENT_SECONDS:
        for client in clients[asked % 4 :: 4]:
            request_id = f"{client.name}-{asked}"
            sent_at[request_id] = (record.now(), client.name)
            sending.append(
                create_task(client.send("POST", "/puka111/b", request_id, 5000, b"x", quiet=True))
            )
        asked += 1
        await sleep(ASK_SECONDS)
    fleet.store.silent = set()
    record.note("store", "answers all machines again")
    results = await gather(*sending)
    statuses: dict[int, int] = {}
    for result in results:
        statuses[result.status] = statuses.get(result.status, 0) + 1
    record.note("seen", f"answers by status: {statuses}")
    broken = []
    for upstream in fleet.upstreams:
        for run in upstream.runs:
            if upstream.service != "casting":
                continue
            at, name = sent_at[run.request_id]
            if at > acked_at + CONFIG_SECONDS:
                broken.append(
                    f"CONFIG: {run.request_id}, sent by {name} {at - acked_at:.2f} s after the "
                    f"ack of version 9, runs at {upstream.identifier} of the old service"
                )
    return broken


main(Path(__file__).resolve().parent, play)
