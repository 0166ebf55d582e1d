"""Measures the copies of finished outcomes: bytes on the wire, and what the backup node knows.

Two real nodes in two failure domains; all calls go to one of them, so the other is its backup.
"""

from asyncio import run
from collections import Counter, deque
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import sleep
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing
from typing import NamedTuple

from urllib3 import HTTPConnectionPool

from coltsfoottrack._internal.calls.context import IDEMPOTENCY_KEY, PROTOCOL_VERSION
from coltsfoottrack._internal.calls.identifiers import IdempotencyKey
from coltsfoottrack._internal.calls.outcome import Answer, Outcome
from coltsfoottrack._internal.calls.outcome_records import from_record
from coltsfoottrack._internal.experiment.fleet import LOOPBACK, Fleet, FleetVariant, NodePair
from coltsfoottrack._internal.experiment.measure_path import CLIENT_THREADS, open_loop
from coltsfoottrack._internal.experiment.shapes import FleetShape, OperationShape, ServiceShape
from coltsfoottrack._internal.experiment.socket_bytes import tcp_counts
from coltsfoottrack._internal.ledger.outcome_batch import delta_encode, encode_answer, pack
from coltsfoottrack._internal.ledger.outcome_copies import OutcomeCopies
from coltsfoottrack._internal.routing.peer_channels import open_channel
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import OutcomePeerStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    PRIORITY_NORMAL,
    Envelope,
    FetchOutcomeRequest,
    OutcomeBatch,
)

SEED = 20261204
RATES = (5, 15, 50, 150)
BLOCK_SECONDS = 20.0
# The warm-up spends the unused budget that has accumulated.
WARM_UP_SECONDS = 6.0
SETTLE_SECONDS = 3.0
# The stand-in's answer is the request body and 32 bytes.
ANSWER_BYTES = 200
ECHO_BYTES = 32
# Batches that ten homes at 15 keyed calls/s each send during the lifetime of a key.
MEMORY_BATCHES = 3000
MEMORY_KEYS = 15
MEMORY_HOMES = 10
MEMORY_LIMIT_BYTES = 1_000_000_000


class CopyCost(NamedTuple):
    """Cost at one rate; bytes in both directions of the connection to the backup."""

    calls_per_second: int
    kind: str
    bytes_sent_per_second: float
    bytes_received_per_second: float
    # Share of the keys by the outcome that the backup reports.
    reported: dict[str, float]


def confirmation(random: Random) -> bytes:
    """Returns the body of an order as JSON; most of it is the same in every order."""
    text = (
        f'{{"order":"{random.getrandbits(48):012x}","line":{random.randrange(40)},"item":'
        f'"wheel-{random.randrange(900)}","quantity":{random.randrange(1, 200)},"status":'
        f'"accepted","due":"2026-12-{random.randrange(1, 29):02}","note":"'
    )
    return (text.ljust(ANSWER_BYTES - ECHO_BYTES - 2, "-") + '"}').encode()


def noise(random: Random) -> bytes:
    """Returns an incompressible body."""
    return random.randbytes(ANSWER_BYTES - ECHO_BYTES)


BODIES = {"json": confirmation, "random": noise}


def two_nodes() -> FleetShape:
    """Returns a shape with one service on two backend servers in two failure domains."""
    order = OperationShape("order", PRIORITY_NORMAL, False)
    service = ServiceShape("stores", 2, 80, 0, (order,))
    return FleetShape("pair", ("east", "west"), (service,), 1)


def print_copy_costs(rates: list[int], seconds: float, source: str) -> None:
    """Measures each rate with both kinds of answers."""
    variant = FleetVariant("other", Path(source)) if source else None
    print(f"answers of {ANSWER_BYTES} bytes, blocks of {seconds:.0f} s, seed {SEED}")
    print(f"{'keyed/s':>8} {'answers':8}{'sent B/s':>10}{'received B/s':>14}{'sum B/s':>9}  told")
    for kind in BODIES:
        for rate in rates:
            cost = measure_copies(rate, kind, seconds, variant)
            total = cost.bytes_sent_per_second + cost.bytes_received_per_second
            reported = ", ".join(f"{name} {share:.1%}" for name, share in cost.reported.items())
            print(
                f"{rate:8} {kind:8}{cost.bytes_sent_per_second:10.0f}"
                f"{cost.bytes_received_per_second:14.0f}{total:9.0f}  {reported}",
                flush=True,
            )


def measure_copies(
    rate: int, kind: str, seconds: float, variant: FleetVariant | None = None
) -> CopyCost:
    """Measures one rate of keyed calls with new processes."""
    with TemporaryDirectory(prefix="coltsfoottrack-") as directory:
        fleet = Fleet.from_config(two_nodes(), Path(directory), variant)
        try:
            fleet.start()
            return _measure(fleet, rate, kind, seconds)
        finally:
            fleet.stop()


def _measure(fleet: Fleet, rate: int, kind: str, seconds: float) -> CopyCost:
    home, backup = fleet.pairs
    random = Random(f"{SEED}/{rate}/{kind}")
    count = int(rate * WARM_UP_SECONDS) + int(rate * seconds)
    bodies = [BODIES[kind](random) for _ in range(count)]
    pool = HTTPConnectionPool(LOOPBACK, home.call_port, maxsize=CLIENT_THREADS)
    keys = _new_keys(pool, len(bodies))
    waiting = deque(zip(keys, bodies, strict=True))

    def call() -> None:
        key, body = waiting.popleft()
        pool.request("POST", "/v1/services/stores/order", body=body, headers={IDEMPOTENCY_KEY: key})

    pid = fleet.processes[home.node_process].pid
    open_loop(call, WARM_UP_SECONDS, rate)
    before = tcp_counts(pid, backup.peer_port)
    open_loop(call, seconds, rate)
    after = tcp_counts(pid, backup.peer_port)
    sleep(SETTLE_SECONDS)
    reported = run(_fetch_outcomes(backup, fleet.cluster, keys))
    return CopyCost(
        calls_per_second=rate,
        kind=kind,
        bytes_sent_per_second=(after.sent - before.sent) / seconds,
        bytes_received_per_second=(after.received - before.received) / seconds,
        reported={name: count / len(keys) for name, count in sorted(reported.items())},
    )


def _new_keys(pool: HTTPConnectionPool, count: int) -> list[str]:
    keys: list[str] = []
    while len(keys) < count:
        reply = pool.request("POST", f"/v1/services/stores/keys?count={min(500, count)}")
        keys.extend(reply.data.decode("ascii").split())
    return keys[:count]


async def _fetch_outcomes(backup: NodePair, cluster: str, keys: list[str]) -> Counter[str]:
    """Fetches the outcome of each key from the backup, as a node does once the home has failed."""
    reported: Counter[str] = Counter()
    channel = open_channel(backup.peer_address)
    try:
        for key in keys:
            request = FetchOutcomeRequest(
                envelope=Envelope(cluster=cluster, protocol_version=PROTOCOL_VERSION), key=key
            )
            reply = await OutcomePeerStub(channel).FetchOutcome(request)
            answer = from_record(reply.record)
            reported[f"{answer.outcome} {answer.reason}".strip() if reply.found else "nothing"] += 1
    finally:
        channel.close()
    return reported


def print_memory_of_copies() -> None:
    """Prints the memory of copies at a backup node, for both forms of a copy."""
    for kind in ("numbers", *BODIES):
        random = Random(SEED)
        batches = [_batch(index, kind, random) for index in range(MEMORY_BATCHES)]
        copies = OutcomeCopies(lambda: 0, MEMORY_LIMIT_BYTES)
        # Resident memory would not show allocations that reuse what building the batches had freed.
        start_tracing()
        for content in batches:
            copies.store(OutcomeBatch.FromString(content))
        used, _ = get_traced_memory()
        stop_tracing()
        count = MEMORY_BATCHES * MEMORY_KEYS
        print(
            f"{kind:8} {count} copies in batches of {MEMORY_KEYS}: {used / count:.0f} bytes each "
            f"allocated, {copies.stored_bytes / count:.0f} by the bound's reckoning"
        )


def _batch(index: int, kind: str, random: Random) -> bytes:
    first = index * MEMORY_KEYS + 1
    numbers = list(range(first, first + MEMORY_KEYS))
    batch = OutcomeBatch(incarnation=index % MEMORY_HOMES, expires_at_ms=1)
    if kind == "numbers":
        batch.done_steps.extend(delta_encode(numbers))
    else:
        entries = []
        for number in numbers:
            key = IdempotencyKey(
                "stores", "stores/a", "10.0.0.1:1", "10.0.0.1:2", 1, "10.0.0.2:2", number, 1, "c"
            )
            entries.append(encode_answer(key, Answer(Outcome.DONE, body=BODIES[kind](random))))
        batch.answers = pack(entries)
    return batch.SerializeToString()
