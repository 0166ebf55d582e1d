"""Authentication of messages between processes of a cluster by a keyed hash over their fields.

All processes of a cluster share a secret. A signature proves membership of the cluster but not
the identity of a node. Messages are not encrypted, and an observer of the network can replay one
for ten minutes.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from enum import StrEnum
from hashlib import sha256
from hmac import compare_digest, digest
from pathlib import Path
from time import monotonic, time
from typing import Self

from structlog import get_logger

from coltsfoottrack._internal.calls.context import (
    ATTEMPT_BUDGET,
    ATTEMPT_REPEATED,
    CALL_ID,
    CLUSTER,
    DEADLINE_MS,
    DISPATCH_NUMBER,
    EVENT_CLOCK,
    HOP_DEPTH,
    IDEMPOTENCY_KEY,
    PRIORITY,
    PROTOCOL,
    REQUEST_ID,
    SUSPECTED_CRASHES,
)
from coltsfoottrack._internal.calls.exceptions import SecretFileError, UnauthenticatedPeerError

PEER_SIGNATURE = "Peer-Signature"
# gRPC metadata keys are in lower case.
PEER_SIGNATURE_METADATA = "peer-signature"
SIGNED_HEADERS = (
    REQUEST_ID,
    CALL_ID,
    IDEMPOTENCY_KEY,
    PRIORITY,
    DEADLINE_MS,
    ATTEMPT_BUDGET,
    ATTEMPT_REPEATED,
    SUSPECTED_CRASHES,
    HOP_DEPTH,
    DISPATCH_NUMBER,
    EVENT_CLOCK,
    CLUSTER,
    PROTOCOL,
)
SIGNATURE_BYTES = 16
TIME_BYTES = 4
# The limit that also applies to event clock values: wall clocks may differ by minutes.
MAX_AGE_SECONDS = 600
MAX_SECRETS = 2
MIN_SECRET_LENGTH = 16
RELOAD_SECONDS = 2.0
LOG_EVERY = 1000

logger = get_logger(__name__)


class MessageKind(StrEnum):
    """Transport of a message; part of the hash, so that a signature is valid for one kind only."""

    CALL = "call"
    GRPC = "grpc"
    DATAGRAM = "datagram"


class SignatureProblem(StrEnum):
    """Why the signature of a message was not accepted."""

    MISSING = "missing"
    WRONG = "wrong"
    EXPIRED = "expired"
    # Counted but accepted while unsigned_peers_allowed is set.
    UNSIGNED_ACCEPTED = "unsigned_accepted"


class PeerAuthentication:
    """Signs messages to peers and verifies theirs; disabled without a secret."""

    def __init__(
        self,
        secrets: list[bytes] | None = None,
        accept_unsigned: bool = False,
        wall_seconds: Callable[[], float] = time,
    ) -> None:
        self.secrets = secrets or []
        self.accept_unsigned = accept_unsigned
        self.wall_seconds = wall_seconds
        self.problems: Counter[tuple[MessageKind, SignatureProblem]] = Counter()
        self.file: Path | None = None
        self.file_state: tuple[int, int] = (0, 0)
        self.next_reload = 0.0

    @classmethod
    def from_file(cls, file: str, accept_unsigned: bool = False) -> Self:
        """Loads the secrets from a file; an empty file name disables authentication.

        Raises SecretFileError if the file is unreadable or invalid.
        """
        authentication = cls(accept_unsigned=accept_unsigned)
        if file:
            authentication.file = Path(file)
            authentication.file_state = _file_state(authentication.file)
            authentication.secrets = read_secrets(authentication.file)
            authentication.next_reload = monotonic() + RELOAD_SECONDS
        return authentication

    @property
    def enabled(self) -> bool:
        """Whether messages are signed and verified."""
        return bool(self.secrets)

    @property
    def mode(self) -> str:
        """The signature requirement for peers, as shown by ``status``."""
        if not self.secrets:
            return "off"
        return "optional" if self.accept_unsigned else "required"

    def refused_count(self) -> int:
        """Returns the number of refused messages."""
        return sum(
            count
            for (_, problem), count in self.problems.items()
            if problem is not SignatureProblem.UNSIGNED_ACCEPTED
        )

    def sign(self, kind: MessageKind, content: bytes) -> bytes:
        """Returns a timestamp and keyed hash for a message; empty without a secret."""
        if not self.secrets:
            return b""
        self._reload_if_due()
        timestamp = (int(self.wall_seconds()) & 0xFFFFFFFF).to_bytes(TIME_BYTES, "big")
        return timestamp + _keyed_hash(self.secrets[0], kind, timestamp, content)

    def check(self, kind: MessageKind, signature: bytes, content: bytes) -> None:
        """Verifies a signature. Raises UnauthenticatedPeerError if it is not accepted."""
        if not self.secrets:
            return
        self._reload_if_due()
        if not signature:
            if self.accept_unsigned:
                self._count(kind, SignatureProblem.UNSIGNED_ACCEPTED)
                return
            self._count(kind, SignatureProblem.MISSING)
            raise UnauthenticatedPeerError(
                "message poses as one of a peer but has no signature; a peer needs "
                "cluster_secret_file in its settings"
            )
        timestamp, given = signature[:TIME_BYTES], signature[TIME_BYTES:]
        # Every secret is tried, so that the time taken does not reveal which one matches.
        matches = [
            compare_digest(given, _keyed_hash(secret, kind, timestamp, content))
            for secret in self.secrets
        ]
        if not any(matches):
            self._count(kind, SignatureProblem.WRONG)
            raise UnauthenticatedPeerError(
                "signature fits none of this node's cluster secrets; compare cluster_secret_file"
            )
        age = self.wall_seconds() - int.from_bytes(timestamp, "big")
        if abs(age) > MAX_AGE_SECONDS:
            self._count(kind, SignatureProblem.EXPIRED)
            raise UnauthenticatedPeerError(
                f"signature is {age:.0f} s old by this node's wall clock, accepted is "
                f"{MAX_AGE_SECONDS} s either way; compare the clocks"
            )

    def sign_call(self, path: str, headers: dict[str, str]) -> None:
        """Adds the signature to the headers of a call to a node."""
        if self.secrets:
            signature = self.sign(MessageKind.CALL, _call_content(path, headers))
            headers[PEER_SIGNATURE] = signature.hex()

    def check_call(self, path: str, headers: Mapping[str, str]) -> None:
        """Verifies a call that claims to come from a peer. Raises UnauthenticatedPeerError."""
        if self.secrets:
            signature = decode_signature(headers.get(PEER_SIGNATURE, ""))
            self.check(MessageKind.CALL, signature, _call_content(path, headers))

    def _count(self, kind: MessageKind, problem: SignatureProblem) -> None:
        self.problems[(kind, problem)] += 1
        if self.problems[(kind, problem)] % LOG_EVERY == 1:
            logger.warning("peer_unauthenticated", kind=kind.value, problem=problem.value)

    def _reload_if_due(self) -> None:
        """Reloads the secrets if the file has changed; keeps them if it cannot be used."""
        if self.file is None or monotonic() < self.next_reload:
            return
        self.next_reload = monotonic() + RELOAD_SECONDS
        try:
            state = _file_state(self.file)
            if state == self.file_state:
                return
            self.secrets = read_secrets(self.file)
            self.file_state = state
        except SecretFileError as error:
            logger.warning("cluster_secret_not_reloaded", problem=str(error))
            return
        logger.info("cluster_secret_reloaded", secrets=len(self.secrets))


def read_secrets(file: Path) -> list[bytes]:
    """Returns the one or two secrets of a file, one per line.

    The first one signs; signatures by either are accepted. Raises SecretFileError if the file is
    unreadable or invalid.
    """
    try:
        lines = file.read_text(encoding="utf-8").split("\n")
    except (OSError, UnicodeDecodeError) as error:
        raise SecretFileError(f"{file}: cannot be read: {error}") from error
    secrets = [line.strip() for line in lines if line.strip()]
    if not 1 <= len(secrets) <= MAX_SECRETS:
        raise SecretFileError(f"{file}: {len(secrets)} secrets; expected one or two, one per line")
    if min(len(secret) for secret in secrets) < MIN_SECRET_LENGTH:
        raise SecretFileError(
            f"{file}: a secret is too short; at least {MIN_SECRET_LENGTH} characters are required"
        )
    return [sha256(secret.encode()).digest() for secret in secrets]


def decode_signature(text: str) -> bytes:
    """Returns a hexadecimal signature as bytes.

    Other text gives a single zero byte, which matches no signature.
    """
    try:
        return bytes.fromhex(text)
    except ValueError:
        return b"\0"


def _file_state(file: Path) -> tuple[int, int]:
    try:
        status = file.stat()
    except OSError as error:
        raise SecretFileError(f"{file}: cannot be read: {error.strerror}") from error
    return (status.st_mtime_ns, status.st_size)


def _call_content(path: str, headers: Mapping[str, str]) -> bytes:
    # Header values contain no line breaks, so different calls never give the same content.
    fields = [headers.get(name, "") for name in SIGNED_HEADERS]
    return "\n".join((path, *fields)).encode("utf-8", "surrogateescape")


def _keyed_hash(secret: bytes, kind: MessageKind, timestamp: bytes, content: bytes) -> bytes:
    message = b"%s\n%s%s" % (kind.value.encode(), timestamp, content)
    return digest(secret, message, "sha256")[:SIGNATURE_BYTES]
