"""Counts the bytes on a process's TCP connections, from the kernel's socket diagnostics."""

from pathlib import Path
from socket import AF_INET, AF_NETLINK, IPPROTO_TCP, SOCK_RAW, socket
from struct import Struct, pack
from typing import NamedTuple

from coltsfoottrack._internal.experiment.exceptions import ExperimentError

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
DUMP_REQUEST = 0x301
NLMSG_ERROR = 2
NLMSG_DONE = 3
INET_DIAG_INFO = 2
ESTABLISHED = 1 << 1
# Sizes and offsets of struct nlmsghdr, inet_diag_msg, rtattr and tcp_info (linux/inet_diag.h and
# linux/tcp.h).
MESSAGE_HEADER = Struct("=IHHII")
ATTRIBUTE_HEADER = Struct("=HH")
DIAG_MESSAGE_BYTES = 72
REMOTE_PORT_OFFSET = 6
INODE_OFFSET = 68
BYTES_RECEIVED_OFFSET = 128
BYTES_SENT_OFFSET = 200
TCP_INFO_BYTES = 208
# IPv4 header, and TCP header with time stamps.
SEGMENT_HEADER_BYTES = 52


class SocketCounts(NamedTuple):
    """Bytes on the wire in both directions, headers of IP and TCP included."""

    sent: int
    received: int


def tcp_counts(pid: int, remote_port: int) -> SocketCounts:
    """Returns the sum over a process's open connections to one remote port."""
    inodes = _socket_inodes(pid)
    request = pack("=BBBxI", AF_INET, IPPROTO_TCP, 1 << (INET_DIAG_INFO - 1), ESTABLISHED)
    request += bytes(48)
    header = MESSAGE_HEADER.pack(
        MESSAGE_HEADER.size + len(request), SOCK_DIAG_BY_FAMILY, DUMP_REQUEST, 1, 0
    )
    sent = received = 0
    with socket(AF_NETLINK, SOCK_RAW, NETLINK_SOCK_DIAG) as diagnostics:
        diagnostics.sendto(header + request, (0, 0))
        while True:
            content = diagnostics.recv(1 << 18)
            while content:
                length, kind, _, _, _ = MESSAGE_HEADER.unpack_from(content)
                if kind == NLMSG_DONE:
                    return SocketCounts(sent, received)
                if kind == NLMSG_ERROR:
                    raise ExperimentError("the kernel refuses socket diagnostics")
                message = content[MESSAGE_HEADER.size : length]
                content = content[(length + 3) & ~3 :]
                port = int.from_bytes(message[REMOTE_PORT_OFFSET : REMOTE_PORT_OFFSET + 2], "big")
                inode = int.from_bytes(message[INODE_OFFSET : INODE_OFFSET + 4], "little")
                if port == remote_port and inode in inodes:
                    counts = _read_attributes(message[DIAG_MESSAGE_BYTES:])
                    sent += counts.sent
                    received += counts.received


def _read_attributes(content: bytes) -> SocketCounts:
    while content:
        length, kind = ATTRIBUTE_HEADER.unpack_from(content)
        info = content[ATTRIBUTE_HEADER.size : length]
        content = content[(length + 3) & ~3 :]
        if kind != INET_DIAG_INFO or len(info) < TCP_INFO_BYTES:
            continue
        received, segments_out, segments_in = Struct("=QII").unpack_from(
            info, BYTES_RECEIVED_OFFSET
        )
        (sent,) = Struct("=Q").unpack_from(info, BYTES_SENT_OFFSET)
        return SocketCounts(
            sent + SEGMENT_HEADER_BYTES * segments_out,
            received + SEGMENT_HEADER_BYTES * segments_in,
        )
    return SocketCounts(0, 0)


def _socket_inodes(pid: int) -> set[int]:
    inodes = set()
    for link in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = link.readlink().name
        except FileNotFoundError:
            continue
        if target.startswith("socket:["):
            inodes.add(int(target[len("socket:[") : -1]))
    return inodes
