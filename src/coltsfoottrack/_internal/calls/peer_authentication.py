"""Proof that a message comes from a process of the cluster: a keyed hash over its fields.

All processes of a cluster share a secret. It proves membership, not the identity of one node, and
does not hide messages from an observer of the network, who could repeat one for ten minutes.
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
# Metadata names of gRPC are in lower case.
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
# The same bound as for readings of the event clock: wall clocks may differ by minutes.
MAX_AGE_SECONDS = 600
MAX_SECRETS = 2
MIN_SECRET_LENGTH = 16
RELOAD_SECONDS = 2.0
LOG_EVERY = 1000

logger = get_logger(__name__)


class MessageKind(StrEnum):
    """How a message arrived; part of what is hashed, so that none passes as another kind."""

    CALL = "call"
    GRPC = "grpc"
    DATAGRAM = "datagram"


class SignatureProblem(StrEnum):
    """Why a message does not prove that it comes from the cluster."""

    MISSING = "missing"
    WRONG = "wrong"
    EXPIRED = "expired"
    # Counted but let through while unsigned_peers_allowed is set.
    UNSIGNED_ACCEPTED = "unsigned_accepted"


class PeerAuthentication:
    """Signs messages to peers and checks theirs; without a secret it signs and checks nothing."""

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
        """Reads the secrets; an empty name switches authentication off.

        Raises SecretFileError if the file cannot be used.
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
        """Tells whether messages are signed and checked."""
        return bool(self.secrets)

    @property
    def mode(self) -> str:
        """Says for ``status`` what is required of peers."""
        if not self.secrets:
            return "off"
        return "optional" if self.accept_unsigned else "required"

    def refused_count(self) -> int:
        """Returns the number of messages that were refused."""
        return sum(
            count
            for (_, problem), count in self.problems.items()
            if problem is not SignatureProblem.UNSIGNED_ACCEPTED
        )

    def sign(self, kind: MessageKind, content: bytes) -> bytes:
        """Returns time and keyed hash for a message; empty without a secret."""
        if not self.secrets:
            return b""
        self._reload_if_due()
        timestamp = (int(self.wall_seconds()) & 0xFFFFFFFF).to_bytes(TIME_BYTES, "big")
        return timestamp + _keyed_hash(self.secrets[0], kind, timestamp, content)

    def check(self, kind: MessageKind, signature: bytes, content: bytes) -> None:
        """Checks a signature. Raises UnauthenticatedPeerError if it does not prove the sender."""
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
        # Every secret is tried, so that the time taken does not tell which one fits.
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
        """Checks a call that poses as one of a peer. Raises UnauthenticatedPeerError."""
        if self.secrets:
            signature = decode_signature(headers.get(PEER_SIGNATURE, ""))
            self.check(MessageKind.CALL, signature, _call_content(path, headers))

    def _count(self, kind: MessageKind, problem: SignatureProblem) -> None:
        self.problems[(kind, problem)] += 1
        if self.problems[(kind, problem)] % LOG_EVERY == 1:
            logger.warning("peer_unauthenticated", kind=kind.value, problem=problem.value)

    def _reload_if_due(self) -> None:
        """Takes over a changed file; one that cannot be used leaves the secrets as they are."""
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
    """Reads one or two secrets, one a line; the first signs and each is accepted.

    Raises SecretFileError.
    """
    try:
        lines = file.read_text(encoding="utf-8").split("\n")
    except (OSError, UnicodeDecodeError) as error:
        raise SecretFileError(f"{file}: cannot be read: {error}") from error
    secrets = [line.strip() for line in lines if line.strip()]
    if not 1 <= len(secrets) <= MAX_SECRETS:
        raise SecretFileError(f"{file}: {len(secrets)} secrets; one or two lines are accepted")
    if min(len(secret) for secret in secrets) < MIN_SECRET_LENGTH:
        raise SecretFileError(
            f"{file}: a secret is too short; at least {MIN_SECRET_LENGTH} characters are accepted"
        )
    return [sha256(secret.encode()).digest() for secret in secrets]


def decode_signature(text: str) -> bytes:
    """Reads a signature; one that is not hexadecimal cannot fit and gives a single zero byte."""
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
    # Header values hold no line breaks, so two different calls never give the same text.
    fields = [headers.get(name, "") for name in SIGNED_HEADERS]
    return "\n".join((path, *fields)).encode("utf-8", "surrogateescape")


def _keyed_hash(secret: bytes, kind: MessageKind, timestamp: bytes, content: bytes) -> bytes:
    message = b"%s\n%s%s" % (kind.value.encode(), timestamp, content)
    return digest(secret, message, "sha256")[:SIGNATURE_BYTES]
