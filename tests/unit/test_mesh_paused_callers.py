"""Callers that pause in reading keep their answers; those that are gone are found."""

from asyncio import sleep
from ctypes import addressof, c_char
from socket import SOL_SOCKET, socket
from struct import pack

from coltsfoottrack._internal.mesh.clock import current_time
from tests.standins.mesh import MeshTestCase, configuration, encode
from tests.standins.slow_reader import SlowReader

ROUTES = {
    "read": {"pathPrefix": "/read/", "service": "stock", "timeoutMs": 9000},
    "order": {"pathPrefix": "/order/", "service": "stock", "type": "unsafe", "timeoutMs": 9000},
}
# More than the kernel buffers of a connection hold.
LARGE_BYTES = 24_000_000
# Within the time budget, and longer than a silent caller is kept.
PAUSE_SECONDS = 6.0
# Time within which a silent caller is found, with the pause between two sweeps.
FOUND_SECONDS = 4.2
SO_ATTACH_FILTER = 26


def fall_silent(caller: socket) -> None:
    """Makes a socket drop all that arrives, unacknowledged, as that of a machine without power."""
    # A packet filter of one instruction: keep 0 bytes.
    instruction = bytearray(b"\x06" + bytes(7))
    address = addressof((c_char * len(instruction)).from_buffer(instruction))
    caller.setsockopt(SOL_SOCKET, SO_ATTACH_FILTER, pack("HxxxxxxQ", 1, address))


class PausedCallerTest(MeshTestCase):
    """One caller with a small receive buffer."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("config", "main", configuration(1, **ROUTES))
        self.node = await self.start("stock")
        await self.wait_for_members(1)
        self.backends[0].body_bytes = 36_000
        self.caller = SlowReader(0.0)
        await self.caller.connect(self.node.settings.caller_address)

    async def asyncTearDown(self) -> None:
        self.caller.close()
        await super().asyncTearDown()

    async def seconds_until_found(self) -> float:
        """Returns the time until the node closes the connection of the caller."""
        began = current_time()
        await self.wait_until(lambda: not self.node.entry.connections, 12.0)
        return current_time() - began

    # LOST, case 11 of the review: a closed window counted as silence after 3 s.
    async def test_caller_that_pauses_keeps_its_answers(self):
        requests = [encode("/order/", "order", "POST", b"body")]
        requests += [encode("/read/", f"q{number}") for number in range(5)]
        await self.caller.send(b"".join(requests))
        await sleep(PAUSE_SECONDS)
        self.backends[0].body_bytes = 0
        await self.caller.send(encode("/read/", "last", Connection="close"))
        await self.caller.read()
        names = ["order", "q0", "q1", "q2", "q3", "q4", "last"]
        self.assertEqual(self.caller.answers(), [(200, name) for name in names])
        self.assertEqual(self.caller.problem, "")

    # The same on the other side: a backend server may pause in reading as well.
    async def test_server_that_pauses_gets_its_request(self):
        content = configuration(2, **ROUTES)
        content["limits"]["maxBodyBytes"] = 2 * LARGE_BYTES
        self.store.put("config", "main", content)
        await self.wait_until(lambda: self.node.active_configuration.version == 2)
        self.backends[0].pause_seconds = PAUSE_SECONDS
        request = encode("/order/", "large", "POST", b"x" * LARGE_BYTES)
        answer = await self.send_request(self.node, request, 9.0)
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.backends[0].received[-1].body), LARGE_BYTES)

    async def test_silent_caller_is_found_with_bytes_in_flight(self):
        """Guards against connections that are kept for callers that are gone."""
        self.backends[0].work_seconds = 0.3
        await self.caller.send(encode("/read/", "query"))
        await sleep(0.1)
        fall_silent(self.caller.socket)
        self.assertLess(await self.seconds_until_found(), FOUND_SECONDS + 0.3)

    async def test_silent_caller_is_found_without_bytes_in_flight(self):
        self.backends[0].body_bytes = 0
        await self.caller.send(encode("/read/", "query"))
        self.caller.pause_seconds = 0.5
        await self.caller.read(0.3)
        fall_silent(self.caller.socket)
        self.assertLess(await self.seconds_until_found(), FOUND_SECONDS)

    async def test_caller_that_falls_silent_in_a_pause_is_found(self):
        """Guards against time that is given to a caller without an answer from it."""
        await self.caller.send(encode("/read/", "query"))
        await sleep(4.0)
        fall_silent(self.caller.socket)
        self.assertLess(await self.seconds_until_found(), 2.0 * FOUND_SECONDS)
