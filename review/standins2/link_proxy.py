"""A proxy before the link port of a node, which can cut what is sent to the node."""

from asyncio import Event, StreamReader, StreamWriter, gather, open_connection

from review.standins2.http import HttpServer

READ_BYTES = 64 * 1024


class LinkProxy(HttpServer):
    """Passes bytes on in both directions; while cut, those to the node are held back."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self.host = host
        self.port = port
        self.reachable = Event()
        self.reachable.set()

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Passes on one connection."""
        inner_reader, inner_writer = await open_connection(self.host, self.port)
        self.writers.add(inner_writer)
        try:
            await gather(
                self._pass(reader, inner_writer, True), self._pass(inner_reader, writer, False)
            )
        finally:
            self.writers.discard(inner_writer)
            inner_writer.close()

    async def _pass(self, reader: StreamReader, writer: StreamWriter, to_node: bool) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if to_node:
                    await self.reachable.wait()
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()

    def cut(self) -> None:
        """Nothing more reaches the node; what it sends still arrives."""
        self.reachable.clear()

    def heal(self) -> None:
        """Passes on what was held back, and all that follows."""
        self.reachable.set()
