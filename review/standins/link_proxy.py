"""A proxy in front of a node's port for other nodes; cuts that machine off from the others."""

from asyncio import (
    Event,
    Server,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    gather,
    open_connection,
    start_server,
)

CHUNK_BYTES = 64 * 1024


class LinkProxy:
    """Passes bytes on, or holds them up while the machine is cut off.

    Bytes that are held up are lost if their sender resets the connection meanwhile.
    """

    def __init__(self) -> None:
        self.passes = Event()
        self.passes.set()
        self.server: Server | None = None
        self.tasks: set[Task[None]] = set()
        self.target = ("", 0)

    async def open(self, host: str, port: int, target: tuple[str, int]) -> None:
        """Opens the port."""
        self.target = target
        self.server = await start_server(self._serve, host, port)

    def cut(self) -> None:
        """Holds up all bytes, also on new connections."""
        self.passes.clear()

    def heal(self) -> None:
        """Passes bytes on again."""
        self.passes.set()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            await self.passes.wait()
            far_reader, far_writer = await open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        writers = (writer, far_writer)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = create_task(self._pass_on(source, sink, writers))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pass_on(
        self, source: StreamReader, sink: StreamWriter, writers: tuple[StreamWriter, StreamWriter]
    ) -> None:
        """Passes the bytes of one direction on until its connection ends."""
        try:
            while chunk := await source.read(CHUNK_BYTES):
                await self.passes.wait()
                sink.write(chunk)
                await sink.drain()
        except ConnectionError:
            pass
        await self.passes.wait()
        for writer in writers:
            writer.transport.abort()

    async def close(self) -> None:
        """Closes the port and all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await gather(*self.tasks, return_exceptions=True)
