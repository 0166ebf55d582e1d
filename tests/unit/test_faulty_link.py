"""Tests that links of the fault injector inject the requested faults."""

from asyncio import StreamReader, StreamWriter, open_connection, start_server, wait_for
from contextlib import asynccontextmanager
from unittest import IsolatedAsyncioTestCase

from coltsfoottrack._internal.experiment.faults import FaultyLink
from coltsfoottrack._internal.experiment.fleet import LOOPBACK, free_ports

SHORT_SECONDS = 0.1
LONG_SECONDS = 10.0


async def echo(reader: StreamReader, writer: StreamWriter) -> None:
    while data := await reader.read(1000):
        writer.write(data)
        await writer.drain()
    writer.close()


@asynccontextmanager
async def link_to_echo():
    server = await start_server(echo, LOOPBACK, 0)
    link = FaultyLink(free_ports(1)[0], server.sockets[0].getsockname()[1])
    await link.start()
    try:
        yield link
    finally:
        await link.stop()
        server.close()


class FaultyLinkTest(IsolatedAsyncioTestCase):
    """Guards against experiments that pass only because their faults have no effect."""

    async def connect(self, link: FaultyLink) -> tuple[StreamReader, StreamWriter]:
        reader, writer = await open_connection(LOOPBACK, link.port)
        self.addAsyncCleanup(self.close, writer)
        await self.exchange(reader, writer, b"first")
        return reader, writer

    async def close(self, writer: StreamWriter) -> None:
        writer.close()

    async def exchange(self, reader: StreamReader, writer: StreamWriter, data: bytes) -> None:
        writer.write(data)
        self.assertEqual(await wait_for(reader.readexactly(len(data)), LONG_SECONDS), data)

    async def test_cut_ends_open_connections_only(self) -> None:
        async with link_to_echo() as link:
            reader, _ = await self.connect(link)
            link.cut()
            try:
                self.assertEqual(await wait_for(reader.read(10), LONG_SECONDS), b"")
            except ConnectionError:
                pass
            await self.connect(link)

    async def test_truncated_connection_ends_after_the_given_bytes(self) -> None:
        async with link_to_echo() as link:
            reader, writer = await self.connect(link)
            link.truncate(4)
            writer.write(b"0123456789")
            self.assertEqual(await wait_for(reader.read(), LONG_SECONDS), b"0123")

    async def test_silent_connections_stay_open_and_new_ones_work(self) -> None:
        async with link_to_echo() as link:
            reader, writer = await self.connect(link)
            link.silence_open()
            writer.write(b"lost")
            with self.assertRaises(TimeoutError):
                await wait_for(reader.read(10), SHORT_SECONDS)
            await self.connect(link)

    async def test_one_way_cut_discards_one_direction_until_healed(self) -> None:
        async with link_to_echo() as link:
            reader, writer = await self.connect(link)
            link.cut_one_way(to_caller=True)
            writer.write(b"lost")
            with self.assertRaises(TimeoutError):
                await wait_for(reader.read(10), SHORT_SECONDS)
            link.heal()
            # Discarded data cannot be recovered, so the connection is closed.
            try:
                self.assertEqual(await wait_for(reader.read(10), LONG_SECONDS), b"")
            except ConnectionError:
                pass
            await self.connect(link)

    async def test_one_way_cut_applies_to_new_connections(self) -> None:
        async with link_to_echo() as link:
            link.cut_one_way(to_caller=False)
            reader, writer = await open_connection(LOOPBACK, link.port)
            self.addAsyncCleanup(self.close, writer)
            writer.write(b"lost")
            with self.assertRaises(TimeoutError):
                await wait_for(reader.read(10), SHORT_SECONDS)

    async def test_delay_holds_data_back(self) -> None:
        async with link_to_echo() as link:
            reader, writer = await self.connect(link)
            link.delay(10_000.0)
            writer.write(b"late")
            with self.assertRaises(TimeoutError):
                await wait_for(reader.read(10), SHORT_SECONDS)
