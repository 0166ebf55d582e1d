"""An upstream breaks off answers inside their heads; the caller must not get a success."""

from asyncio import StreamWriter
from pathlib import Path

from standins.case import run_case
from standins.client import encode, request_once
from standins.fleet import Fleet, route
from standins.messages import Message
from standins.record import Record
from standins.upstream import Upstream

REQUESTS = 240
# One of the three upstreams breaks off this part of its answers.
TRUNCATED_EVERY = 20


class TruncatingUpstream(Upstream):
    """May end the connection inside the head of one answer in TRUNCATED_EVERY."""

    truncates = False
    answers = 0

    async def answer(self, message: Message, request_id: str, writer: StreamWriter) -> bool:
        """Writes the answer, or its beginning."""
        if self.truncates:
            self.answers += 1
        if not self.truncates or self.answers % TRUNCATED_EVERY:
            return await super().answer(message, request_id, writer)
        head = self.head(request_id, self.body(request_id))
        part = head[: head.index(b"Content-Length") + 5]
        self.record.write(
            f"{self.identifier} breaks off its answer to {request_id} after {len(part)} bytes of"
            f" {len(head) + len(self.body(request_id))}: {part!r}"
        )
        writer.write(part)
        return False


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    """Sends requests and compares each success with the whole body that its upstream made."""
    routes = {
        "look": route("/look/", "stores"),
        "order": route("/order/", "stores", type="unsafe", priority=0),
    }
    await fleet.start(routes, TruncatingUpstream)
    await fleet.wait_routes(["/look/"])
    upstreams = [machine.upstream for machine in fleet.machines]
    upstreams[0].truncates = trouble
    mixed = 0
    for number in range(REQUESTS):
        method, path = ("POST", "/order/1") if number % 2 else ("GET", "/look/1")
        request_id = f"request-{number}"
        machine = fleet.machines[number % len(fleet.machines)]
        request = encode(method, path, request_id, 5000)
        answer = await request_once(machine.address("outbound"), request, 6.0)
        whole = answer.body in [upstream.body(request_id) for upstream in upstreams]
        seal = answer.headers.get("response-seal", "none")
        record.write(
            f"{request_id} {method} {path} sent to {machine.name}: status {answer.status},"
            f" seal {seal}, body of {len(answer.body)} bytes, {'whole' if whole else 'not whole'}"
        )
        if 200 <= answer.status < 300 and not whole:
            mixed += 1
            record.say(f"MIXED: {request_id} got a {answer.status} without the whole body")
    record.say(f"{mixed} of {REQUESTS} requests got a success without the upstream's whole body")
    return mixed > 0


run_case(Path(__file__).resolve().parent, ["stores", "stores", "stores"], play)
