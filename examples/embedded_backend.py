"""A backend server of the service ``stores`` that calls ``fitments`` for each request.

Usage: python examples/embedded_backend.py PORT NODE_PEER_ADDRESS
"""

import sys
from asyncio import Event, get_running_loop, run, timeout
from signal import SIGTERM

from aiohttp.web import BaseRequest, Response, Server
from aiohttp.web_runner import ServerRunner, TCPSite

from coltsfoottrack.backend import BackendPlace, BackendSession, BadRequestError
from coltsfoottrack.client import Outcome, OutgoingCall


class Stores:
    """Serves requests with the answer that ``fitments`` returns."""

    def __init__(self, session: BackendSession) -> None:
        self.session = session

    async def serve(self, request: BaseRequest) -> Response:
        """Serves one request, unless it is malformed or its deadline has passed."""
        body = await request.read()
        try:
            context = self.session.read_request(request.path.lstrip("/"), request.headers)
        except BadRequestError as error:
            return Response(status=400, text=str(error))
        if context.deadline.has_passed():
            return Response(status=503, headers=self.session.shed_headers(context))
        call = OutgoingCall("fitments", "lookup", body)
        try:
            async with timeout(context.deadline.remaining_seconds()):
                answer = await self.session.client.call(context, call)
        except TimeoutError:
            return Response(status=504, headers=self.session.reply_headers(context, [], []))
        headers = self.session.reply_headers(context, [call], [answer])
        if answer.outcome is not Outcome.DONE:
            return Response(status=502, text=f"fitments: {answer.outcome}", headers=headers)
        return Response(body=b"stores has " + answer.body, headers=headers)


async def main(port: int, node_peer_address: str) -> None:
    """Serves until SIGTERM, then drains: running requests are completed."""
    stopping = Event()
    get_running_loop().add_signal_handler(SIGTERM, stopping.set)
    place = BackendPlace("demo", "stores", "embedded", "127.0.0.1", port, 8, node_peer_address)
    session = BackendSession.from_config(place)
    server = Server(Stores(session).serve, access_log=None)
    # Cancels a request when the node closes the connection: its caller has disconnected.
    runner = ServerRunner(server, handler_cancellation=True)
    await runner.setup()
    await TCPSite(runner, place.address, place.port).start()
    async with session:
        await stopping.wait()
        await session.leave()
        await runner.cleanup()


if __name__ == "__main__":
    run(main(int(sys.argv[1]), sys.argv[2]))
