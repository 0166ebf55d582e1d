"""Tests that links inside a fleet drop, refuse and partition traffic as requested."""

import sys
from asyncio import DatagramProtocol, get_running_loop, sleep, start_server, wait_for
from socket import AF_INET, SOCK_STREAM, socket
from subprocess import PIPE, Popen
from time import monotonic
from unittest import IsolatedAsyncioTestCase, TestCase

from coltsfoottrack._internal.experiment.fleet import LOOPBACK, Fleet, free_ports
from coltsfoottrack._internal.experiment.inner_links import (
    DatagramLink,
    FollowingLink,
    InnerLinks,
    port_owners,
)
from coltsfoottrack._internal.experiment.shapes import wheel_works
from tests.unit import test_faulty_link
from tests.unit.test_faulty_link import LONG_SECONDS, SHORT_SECONDS, echo


class Echo(DatagramProtocol):
    """Records received datagrams and, if it answers, echoes them."""

    def __init__(self, answers: bool) -> None:
        self.answers = answers
        self.received: list[bytes] = []

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received.append(data)
        if self.answers:
            self.transport.sendto(data, addr)


class InnerLinksTest(IsolatedAsyncioTestCase):
    """Guards against a soak that passes only because faults inside the fleet have no effect."""

    async def until(self, condition) -> None:
        expiry = monotonic() + LONG_SECONDS
        while not condition():
            self.assertLess(monotonic(), expiry, "the condition was not met in time")
            await sleep(0.005)

    async def test_datagrams_pass_both_ways_until_they_are_lost(self) -> None:
        loop = get_running_loop()
        port, target_port = free_ports(2)
        _, target = await loop.create_datagram_endpoint(
            lambda: Echo(True), local_addr=(LOOPBACK, target_port)
        )
        link = DatagramLink(port, target_port)
        await link.start()
        transport, source = await loop.create_datagram_endpoint(
            lambda: Echo(False), remote_addr=(LOOPBACK, port)
        )
        transport.sendto(b"first")
        await self.until(lambda: source.received == [b"first"])
        own_port = transport.get_extra_info("sockname")[1]
        for cut_off, loses_all in ((own_port, False), (0, True)):
            link.is_cut_off = lambda port, cut_off=cut_off: port == cut_off
            link.loses_all = loses_all
            lost = link.lost
            transport.sendto(b"lost")
            await self.until(lambda lost=lost: link.lost == lost + 1)
            # Replies are dropped too.
            link.reply(b"lost", (LOOPBACK, own_port))
            self.assertEqual(link.lost, lost + 2)
        link.loses_all = False
        transport.sendto(b"last")
        await self.until(lambda: source.received == [b"first", b"last"])
        self.assertEqual(target.received, [b"first", b"last"])
        link.stop()
        transport.close()
        target.transport.close()

    async def test_link_refuses_connections_while_its_target_is_not_running(self) -> None:
        port, target_port = free_ports(2)
        running = [True]
        link = FollowingLink(port, target_port, lambda: running[0])
        await link.start()
        await sleep(SHORT_SECONDS)
        self.assertIsNone(link.server)
        server = await start_server(echo, LOOPBACK, target_port)
        await self.until(lambda: link.server is not None)
        reader, _ = await test_faulty_link.FaultyLinkTest.connect(self, link)
        running[0] = False
        await self.until(lambda: link.server is None)
        with self.assertRaises(ConnectionRefusedError):
            await test_faulty_link.FaultyLinkTest.connect(self, link)
        self.assertIn(await wait_for(self.ended(reader), LONG_SECONDS), (b"", None))
        await link.stop()
        server.close()

    async def ended(self, reader) -> bytes | None:
        try:
            return await reader.read(10)
        except ConnectionError:
            return None

    exchange = test_faulty_link.FaultyLinkTest.exchange
    close = test_faulty_link.FaultyLinkTest.close


class PartitionTest(TestCase):
    """Guards against a partition that separates no nodes, or all of them."""

    def test_partition_separates_only_its_two_sides(self) -> None:
        fleet = Fleet(wheel_works(), None)
        inner = InnerLinks(fleet, {})
        names = [pair.node_process for pair in fleet.pairs]
        self.assertFalse(inner._separates(names[0], names[1]))
        inner.side = frozenset(names[:2])
        self.assertFalse(inner._separates(names[0], names[1]))
        self.assertFalse(inner._separates(names[2], names[3]))
        self.assertTrue(inner._separates(names[0], names[2]))
        self.assertTrue(inner._separates(names[2], names[0]))
        # Callers outside of the fleet reach both sides.
        self.assertFalse(inner._separates("", names[0]))

    def test_ports_of_a_child_process_are_found(self) -> None:
        code = (
            "import socket, sys; s = socket.create_connection(('127.0.0.1', int(sys.argv[1]))); "
            "print(s.getsockname()[1], flush=True); sys.stdin.read()"
        )
        with socket(AF_INET, SOCK_STREAM) as server:
            server.bind((LOOPBACK, 0))
            server.listen()
            port = str(server.getsockname()[1])
            child = Popen([sys.executable, "-c", code, port], stdin=PIPE, stdout=PIPE)
            own_port = int(child.stdout.readline())
            self.assertEqual(port_owners({"child": child.pid}), {own_port: "child"})
            child.communicate()
        self.assertEqual(port_owners({"child": child.pid}), {})
