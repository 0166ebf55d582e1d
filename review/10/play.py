"""Calls of runs whose clients have left are denied with a 401."""

import sys
from asyncio import create_task, gather, sleep
from collections import Counter
from os import environ
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.standins2.backend import Backend  # noqa: E402
from review.standins2.fleet import Fleet, configuration, play, route  # noqa: E402
from review.standins2.http import Message  # noqa: E402

REQUESTS = 600
INTERVAL_SECONDS = 0.02
BUDGET_MS = 5000
AIM_MS = 1500
# For 5.5 s, every fifth client leaves after half of the aim.
LEAVING = range(150, 425)
LEAVING_EVERY = 5
LEAVES_AFTER_SECONDS = AIM_MS / 2000.0
# A run works, makes a call and works again.
WORK_SECONDS = 0.85
CALL_SECONDS = 0.015
CALL_BUDGET_MS = 2500
TENANT_KEY = "maj3nr26tta828m82thh"
# Own 3xx and 4xx that a day may have: this many and one in so many requests.
ALLOWED_DENIALS = 5
REQUESTS_PER_DENIAL = 500


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Returns whether rule DENIED held."""
    calls: Counter[int] = Counter()
    settings = configuration(
        balance=route("/balance/", "balances", "safe", BUDGET_MS, AIM_MS),
        tariff=route("/tariff/", "charging", "safe", CALL_BUDGET_MS, 1000),
    )
    for entry in settings["routes"].values():
        entry["public"] = False
    tenant = {"apiKeys": [TENANT_KEY], "priority": 1, "ratePerS": 1000, "burst": 1000}
    settings["tenants"] = {"pulo780": tenant}
    await fleet.open_store(settings)

    async def run_balance(backend: Backend, request: Message) -> int:
        await sleep(WORK_SECONDS)
        # Calls carry no tenant key.
        call = await fleet.send(
            fleet.node_at(backend.host),
            "/tariff/1",
            budget_ms=CALL_BUDGET_MS,
            request_id=f"{request.headers['request-id']}.1",
        )
        calls[call.status] += 1
        return 200 if call.status == 200 else 500

    async def run_tariff(backend: Backend, request: Message) -> int:
        await sleep(CALL_SECONDS)
        return 200

    # One of three upstreams goes on with a run whose connection has closed.
    for zone, drops in (("suva-dc", False), ("nadi-dc", True), ("sigatoka-dc", True)):
        await fleet.add_machine("balances", zone, run_balance, drops_with_connection=drops)
    await fleet.add_machine("charging", "suva-dc", run_tariff)
    await fleet.wait_until_ready()

    key = {"Authorization": f"Bearer {TENANT_KEY}"}
    requests = []
    for number in range(REQUESTS):
        leaves = None
        if trouble and number in LEAVING and number % LEAVING_EVERY == 0:
            leaves = LEAVES_AFTER_SECONDS
        node = fleet.nodes[number % 3]
        request = fleet.send(
            node, f"/balance/{number}", budget_ms=BUDGET_MS, headers=key, leaves_after=leaves
        )
        requests.append(create_task(request))
        await sleep(INTERVAL_SECONDS)
    answers = Counter(answer.status for answer in await gather(*requests))
    await sleep(CALL_BUDGET_MS / 1000.0)

    denied = sum(count for status, count in calls.items() if 300 <= status < 500)
    allowed = ALLOWED_DENIALS + (REQUESTS + calls.total()) / REQUESTS_PER_DENIAL
    text = f"answers: {dict(answers)}; calls: {dict(calls)}; denied: {denied}"
    fleet.record.add(f"{text}, allowed: {allowed:.1f}")
    print(text)
    if not trouble:
        return answers[200] == REQUESTS
    return denied <= allowed


if __name__ == "__main__":
    # With TROUBLE=0 all is the same but for the disruption.
    play(case, FOLDER, environ.get("TROUBLE", "1") != "0")
