"""A proxy before one address, which can cut what is sent to it, or all that passes."""

from asyncio import Event, StreamReader, StreamWriter, gather, open_connection

from review.standins2.http import HttpServer

READ_BYTES = 64 * 1024


class LinkProxy(HttpServer):
    """Passes bytes on in both directions; while it is cut, they are held back."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self.host = host
        self.port = port
        # Set while bytes to the address, and from it, are passed on.
        self.reachable = Event()
        self.reachable.set()
        self.heard = Event()
        self.heard.set()

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

    async def _pass(self, reader: StreamReader, writer: StreamWriter, inward: bool) -> None:
        passes = self.reachable if inward else self.heard
        try:
            while data := await reader.read(READ_BYTES):
                await passes.wait()
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()

    def cut(self) -> None:
        """Nothing more reaches the address; what comes from it still arrives."""
        self.reachable.clear()

    def silence(self) -> None:
        """Nothing passes in either direction."""
        self.reachable.clear()
        self.heard.clear()

    def heal(self) -> None:
        """Passes on what was held back, and all that follows."""
        self.reachable.set()
        self.heard.set()
