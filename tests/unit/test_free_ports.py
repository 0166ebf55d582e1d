"""Ports of the processes that tests start."""

from random import seed
from unittest import IsolatedAsyncioTestCase, TestCase

from coltsfoottrack._internal.experiment.fleet import LOWEST_EPHEMERAL_PORT, free_ports
from tests.standins.http import HttpServer


class FreePortsTest(TestCase):
    """Ports differ between runs."""

    def test_seeded_generator_does_not_choose_the_ports(self):
        """Guards against parallel runs that take the same ports after a test with a fixed seed."""
        chosen = []
        for _ in range(2):
            seed(1)
            chosen.append(free_ports(8))
        self.assertNotEqual(chosen[0], chosen[1])

    def test_port_is_not_given_out_twice_in_a_row_of_calls(self):
        """Guards against two servers of one test at the same port, chosen before either listens."""
        chosen = [free_ports(1)[0] for _ in range(500)]
        self.assertEqual(len(set(chosen)), len(chosen))


class StandInPortTest(IsolatedAsyncioTestCase):
    """Ports of stand-ins that are restarted at the same address."""

    async def test_port_of_a_stand_in_is_not_taken_while_it_is_down(self) -> None:
        """Guards against an outgoing connection that takes the port of a server that is down."""
        server = HttpServer()
        await server.open()
        self.assertLess(server.port, LOWEST_EPHEMERAL_PORT)
        server.close()
