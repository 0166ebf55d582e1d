"""Client of the commands for the nodes of a fleet: discovery, and RPCs to all of them."""

from asyncio import Semaphore, gather
from collections.abc import Awaitable, Callable
from getpass import getuser
from os import environ
from typing import NamedTuple, Self, TypeVar

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.calls.peer_authentication import PeerAuthentication
from coltsfoottrack._internal.cli.exceptions import (
    EXIT_BAD_INPUT,
    EXIT_UNREACHABLE,
    CommandError,
)
from coltsfoottrack._internal.membership.registration import MEMBERS_PREFIX, decode_member
from coltsfoottrack._internal.membership.table import member_id, peer_address
from coltsfoottrack._internal.object_store.client import PlatformClient
from coltsfoottrack._internal.object_store.exceptions import PlatformError
from coltsfoottrack._internal.object_store.threads import in_thread
from coltsfoottrack._internal.routing.peer_channels import PeerChannels
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import OperatorStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    DrainReply,
    DrainRequest,
    Envelope,
    EventsReply,
    EventsRequest,
    Member,
    StatusReply,
    StatusRequest,
)

NODE_VARIABLE = "COLTSFOOTTRACK_NODE"
PLATFORM_VARIABLE = "COLTSFOOTTRACK_PLATFORM"
# Names a file, because the secret itself would be visible in the list of processes.
SECRET_VARIABLE = "COLTSFOOTTRACK_SECRET_FILE"
RPC_TIMEOUT_SECONDS = 2.0
MAX_CONCURRENT_REQUESTS = 48
MAX_NODES = 5000

Reply = TypeVar("Reply")


class NodeAnswer(NamedTuple):
    """The answer of one node; ``reply`` is None if the RPC failed, as ``problem`` describes."""

    address: str
    name: str
    reply: StatusReply | EventsReply | DrainReply | None
    problem: str = ""


class FleetClient:
    """Discovers the nodes of a fleet, from some of them or from the platform, and calls them."""

    def __init__(self, nodes: list[str], platforms: list[str]) -> None:
        self.nodes = nodes
        self.platforms = platforms
        self.cluster = ""
        self.notes: list[str] = []
        self.names: dict[str, str] = {}
        self.members: dict[str, Member] = {}
        self.authentication = PeerAuthentication.from_file(environ.get(SECRET_VARIABLE, ""))
        self.channels = PeerChannels(self.authentication)
        self.request_semaphore = Semaphore(MAX_CONCURRENT_REQUESTS)

    @classmethod
    def from_config(cls, node: str, platform: str) -> Self:
        """Builds the client from a command's flags and the environment.

        Must run inside an event loop. Raises CommandError if no address is given or one is
        malformed.
        """
        nodes = split_addresses(node or environ.get(NODE_VARIABLE, ""), "--node")
        platforms = split_addresses(platform or environ.get(PLATFORM_VARIABLE, ""), "--platform")
        if not nodes and not platforms:
            raise CommandError(
                f"no node is given; use --node HOST:PORT (a peer port) or {NODE_VARIABLE}, or "
                "--platform HOST:PORT",
                EXIT_BAD_INPUT,
            )
        return cls(nodes, platforms)

    async def statuses(self) -> list[NodeAnswer]:
        """Returns an answer for every known node, including those that do not reply.

        Nodes are discovered from the platform, if one was given, and from the member lists of the
        nodes. Raises CommandError if no node replies.
        """
        pending = set(self.nodes) | set(await self._registered_addresses())
        asked: dict[str, NodeAnswer] = {}
        while pending and len(asked) < MAX_NODES:
            answers = await self._call_all(sorted(pending), self._status)
            asked.update((answer.address, answer) for answer in answers)
            pending = self._discover_nodes(answers) - asked.keys()
        if all(answer.reply is None for answer in asked.values()):
            problems = "; ".join(f"{answer.address}: {answer.problem}" for answer in asked.values())
            raise CommandError(
                f"no node answers ({problems or 'none is registered'}); check the address, it "
                "must be a peer port",
                EXIT_UNREACHABLE,
            )
        return [
            answer._replace(name=self.names.get(answer.address, answer.name))
            for answer in asked.values()
        ]

    async def events(self, query: EventsRequest) -> list[NodeAnswer]:
        """Returns the matching events of every known node."""
        addresses = [answer.address for answer in await self.statuses()]

        async def call(stub: OperatorStub) -> EventsReply:
            request = EventsRequest()
            request.CopyFrom(query)
            request.envelope.CopyFrom(self._envelope())
            return await stub.Events(request, timeout=RPC_TIMEOUT_SECONDS)

        return await self._call_all(addresses, call)

    async def drain(self, address: str) -> NodeAnswer:
        """Tells one node to drain."""

        async def call(stub: OperatorStub) -> DrainReply:
            request = DrainRequest(envelope=self._envelope())
            return await stub.Drain(request, timeout=RPC_TIMEOUT_SECONDS)

        return await self._call(address, call)

    async def _registered_addresses(self) -> list[str]:
        if not self.platforms:
            return []
        client = PlatformClient.from_config(self.platforms)
        try:
            listed = await in_thread(client.list, MEMBERS_PREFIX)
        except PlatformError as error:
            if not self.nodes:
                raise CommandError(
                    f"{error}; give a node with --node HOST:PORT instead", EXIT_UNREACHABLE
                ) from error
            self.add_note(f"{error}; this answer comes from the nodes alone")
            return []
        addresses = []
        for stored in listed.objects:
            member = decode_member(stored)
            if member is None:
                continue
            self.names[peer_address(member)] = member_id(member)
            addresses.append(peer_address(member))
        return addresses

    def add_note(self, note: str) -> None:
        """Adds a note to the output unless it is already there."""
        if note not in self.notes:
            self.notes.append(note)

    def _discover_nodes(self, answers: list[NodeAnswer]) -> set[str]:
        found = set()
        for answer in answers:
            if answer.reply is None:
                continue
            self.cluster = self.cluster or answer.reply.envelope.cluster
            self.names[answer.address] = member_id(answer.reply.self)
            for member in answer.reply.members:
                address = peer_address(member)
                self.names.setdefault(address, member_id(member))
                self.members[address] = member
                found.add(address)
        return found

    async def _status(self, stub: OperatorStub) -> StatusReply:
        request = StatusRequest(envelope=self._envelope())
        return await stub.Status(request, timeout=RPC_TIMEOUT_SECONDS)

    async def _call_all(
        self, addresses: list[str], call: Callable[[OperatorStub], Awaitable[Reply]]
    ) -> list[NodeAnswer]:
        return await gather(*(self._call(address, call) for address in addresses))

    async def _call(
        self, address: str, call: Callable[[OperatorStub], Awaitable[Reply]]
    ) -> NodeAnswer:
        name = self.names.get(address, "")
        async with self.request_semaphore:
            try:
                reply = await call(OperatorStub(self.channels.channel(address)))
            except TimeoutError:
                problem = f"no answer within {RPC_TIMEOUT_SECONDS:.0f} s"
            except GRPCError as error:
                problem = f"refused: {error.message or error.status.name}"
            except (OSError, ProtocolError, StreamTerminatedError) as error:
                problem = f"cannot be reached: {getattr(error, 'strerror', None) or error}"
            else:
                return NodeAnswer(address, name, reply)
        self.channels.discard(address)
        return NodeAnswer(address, name, None, problem)

    def _envelope(self) -> Envelope:
        return Envelope(
            cluster=self.cluster, protocol_version=PROTOCOL_VERSION, sender=operator_name()
        )

    def close(self) -> None:
        """Closes all connections."""
        self.channels.close()


def split_addresses(text: str, flag: str) -> list[str]:
    """Parses a list HOST:PORT[,HOST:PORT...]. Raises CommandError if an address is malformed."""
    addresses = []
    for part in str(text).split(","):
        address = part.strip()
        if not address:
            continue
        host, _, port = address.rpartition(":")
        if not host or not (port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65536):
            raise CommandError(f"{flag} {address!r} is not HOST:PORT", EXIT_BAD_INPUT)
        addresses.append(address)
    return addresses


def operator_name() -> str:
    """Returns the author recorded for a change: the user who runs this command."""
    try:
        return f"operator {getuser()}"
    except (KeyError, OSError):
        return "operator"
