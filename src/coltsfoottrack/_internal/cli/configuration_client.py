"""Reads the configuration from the platform and the nodes, and waits for changes to apply."""

from asyncio import get_running_loop, sleep
from typing import Any, NamedTuple, Self

from google.protobuf.json_format import MessageToDict
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from coltsfoottrack._internal.calls.context import PROTOCOL_VERSION
from coltsfoottrack._internal.cli.exceptions import EXIT_UNREACHABLE, CommandError
from coltsfoottrack._internal.cli.fleet_client import (
    RPC_TIMEOUT_SECONDS,
    FleetClient,
    NodeAnswer,
    operator_name,
)
from coltsfoottrack._internal.configuration.exceptions import (
    StoreUnavailableError,
    UnreadableConfigurationError,
)
from coltsfoottrack._internal.configuration.peers import operator_store
from coltsfoottrack._internal.configuration.store import ConfigurationStore, StoredConfiguration
from coltsfoottrack._internal.schema.coltsfoottrack_grpc import ConfigurationPeerStub
from coltsfoottrack._internal.schema.coltsfoottrack_pb2 import (
    ConfigurationRecord,
    Envelope,
    FetchConfigurationRequest,
    FleetConfiguration,
)

POLL_SECONDS = 0.25
HISTORY_LIMIT = 1000
PRIORITY_PREFIX = "PRIORITY_"


class SourcedRecord(NamedTuple):
    """A record and its source: ``platform``, the name of a node, or empty if there is none."""

    record: ConfigurationRecord
    source: str


class UnconfirmedNode(NamedTuple):
    """A node without a change in force, and the generation that it has in force instead."""

    node: str
    problem: str
    generation: int = 0
    since_ms: int = 0


class ConfigurationClient:
    """Reads the configuration of one fleet from the platform and from its nodes."""

    def __init__(self, fleet: FleetClient, answers: list[NodeAnswer]) -> None:
        self.fleet = fleet
        self.answers = answers
        self.stored_is_unreadable = False
        platforms = fleet.platforms
        for answer in answers:
            if not platforms and answer.reply is not None:
                platforms = list(answer.reply.platform_addresses)
        self.store: ConfigurationStore = operator_store(
            platforms, fleet.cluster, fleet.authentication
        )

    @classmethod
    async def open(cls, node: str, platform: str) -> Self:
        """Discovers the nodes and the platform. Raises CommandError if no node answers."""
        fleet = FleetClient.from_config(node, platform)
        return cls(fleet, await fleet.statuses())

    async def stored(self) -> StoredConfiguration:
        """Returns the configuration stored on the platform, the base of a change.

        Raises CommandError if it cannot be read.
        """
        try:
            return await self._read()
        except UnreadableConfigurationError as error:
            raise CommandError(
                f"{error}; restore it with config set --file FILE --base GENERATION, where config "
                "get shows the generation that nodes hold"
            ) from error

    async def base_for_replacement(self) -> StoredConfiguration:
        """Returns the base of a change that replaces the whole configuration.

        If the stored object cannot be decoded, the base is the newest record that a node holds. The
        version is still that of the stored object, so that the conditional write does not overwrite
        another change.
        """
        try:
            return await self._read()
        except UnreadableConfigurationError as error:
            self.stored_is_unreadable = True
            newest = await self.newest()
            return StoredConfiguration(newest.record, error.version)

    async def _read(self) -> StoredConfiguration:
        try:
            return await self.store.read()
        except StoreUnavailableError as error:
            raise CommandError(
                f"{error}; nothing was changed, try again when the platform answers",
                EXIT_UNREACHABLE,
            ) from error

    async def newest(self) -> SourcedRecord:
        """Returns the platform's record, or that of a node if it has a newer generation."""
        try:
            best = SourcedRecord((await self.store.read()).record, "platform")
        except (StoreUnavailableError, UnreadableConfigurationError) as error:
            self.fleet.add_note(f"{error}; this answer comes from the nodes alone")
            best = SourcedRecord(ConfigurationRecord(), "")
        newest = None
        for answer in self.answers:
            if answer.reply is None:
                continue
            if newest is None or (
                answer.reply.configuration_generation > newest.reply.configuration_generation
            ):
                newest = answer
        if newest is None or newest.reply.configuration_generation <= best.record.generation:
            return best
        return SourcedRecord(await self._fetch(newest.address), newest.name)

    async def generation(self, text: str) -> ConfigurationRecord | None:
        """Returns a past generation from the history, or None if the history does not contain it.

        Raises StoreUnavailableError if the platform cannot be reached.
        """
        for record in await self.store.history(limit=HISTORY_LIMIT):
            if text == str(record.generation):
                return record
        return None

    async def unconfirmed(self, record: ConfigurationRecord) -> list[UnconfirmedNode]:
        """Returns the nodes that have not confirmed a change, with the generation in force."""
        self.answers = await self.fleet.statuses()
        found = []
        for answer in self.answers:
            name = answer.name or answer.address
            reply = answer.reply
            if reply is None:
                found.append(UnconfirmedNode(name, answer.problem))
                continue
            held = reply.configuration_generation
            if held > record.generation:
                continue
            if held == record.generation and reply.configuration_change_id == record.change_id:
                continue
            problem = reply.configuration_problem or f"holds generation {held}"
            found.append(UnconfirmedNode(name, problem, held, reply.configuration_since_ms))
        return found

    async def wait_for_confirmation(
        self, record: ConfigurationRecord, seconds: float
    ) -> list[UnconfirmedNode]:
        """Waits until every known node confirms a change; returns those that did not in time."""
        loop = get_running_loop()
        deadline = loop.time() + seconds
        while True:
            missing = await self.unconfirmed(record)
            if not missing or loop.time() >= deadline:
                return missing
            await sleep(POLL_SECONDS)

    async def _fetch(self, address: str) -> ConfigurationRecord:
        envelope = Envelope(
            cluster=self.fleet.cluster,
            protocol_version=PROTOCOL_VERSION,
            sender=operator_name(),
        )
        stub = ConfigurationPeerStub(self.fleet.channels.channel(address))
        try:
            reply = await stub.FetchConfiguration(
                FetchConfigurationRequest(envelope=envelope), timeout=RPC_TIMEOUT_SECONDS
            )
        except (OSError, GRPCError, ProtocolError, StreamTerminatedError, TimeoutError) as error:
            raise CommandError(
                f"cannot fetch the configuration from {address}: {error!r}", EXIT_UNREACHABLE
            ) from error
        return reply.record

    def close(self) -> None:
        """Closes all connections."""
        self.fleet.close()
        self.store.peers.close()


def configuration_document(configuration: FleetConfiguration) -> dict[str, Any]:
    """Returns a configuration as a document in the form of a settings file."""
    document = MessageToDict(configuration, preserving_proto_field_name=True)
    for operation, message in zip(
        document.get("operations", []), configuration.operations, strict=True
    ):
        name = operation.get("priority", "PRIORITY_SHEDDABLE")
        operation["priority"] = str(name).removeprefix(PRIORITY_PREFIX).lower()
        operation["idempotent"] = message.idempotent
    return document


def record_document(record: ConfigurationRecord) -> dict[str, Any]:
    """Returns the identity of a record as a document."""
    return {
        "generation": record.generation,
        "change_id": record.change_id,
        "author": record.author,
        "written_at_ms": record.written_at_ms,
    }
