"""Counts the bytes that the kernel has carried over TCP connections."""

import socket
import struct
from collections import defaultdict
from collections.abc import Collection

_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_REQUEST_AND_DUMP = 0x301
_NLMSG_ERROR = 2
_NLMSG_DONE = 3
_INET_DIAG_INFO = 2
_ESTABLISHED = 1
_HEADER = struct.Struct("=LHHLL")
_ATTRIBUTE = struct.Struct("=HH")
_MESSAGE_BYTES = 72
# Offsets in struct tcp_info of linux/tcp.h.
_BYTES_RECEIVED_OFFSET = 128
_BYTES_SENT_OFFSET = 200
_COUNT = struct.Struct("=Q")


def server_bytes(ports: Collection[int]) -> dict[int, int]:
    """Returns the bytes sent and received, by port, on open connections accepted at `ports`.

    Handshakes and frames count, headers of TCP and IP do not. Connections that were closed are
    not counted any more.
    """
    totals: dict[int, int] = defaultdict(int)
    # gRPC listens on IPv6 sockets that also take IPv4 connections.
    for port, info in [*_established(socket.AF_INET), *_established(socket.AF_INET6)]:
        if port not in ports or len(info) < _BYTES_SENT_OFFSET + _COUNT.size:
            continue
        (received,) = _COUNT.unpack_from(info, _BYTES_RECEIVED_OFFSET)
        (sent,) = _COUNT.unpack_from(info, _BYTES_SENT_OFFSET)
        totals[port] += received + sent
    return dict(totals)


def _established(family: int) -> list[tuple[int, bytes]]:
    body = struct.pack(
        "=BBBBI", family, socket.IPPROTO_TCP, 1 << (_INET_DIAG_INFO - 1), 0, 1 << 1
    ) + bytes(48)
    header = _HEADER.pack(_HEADER.size + len(body), _SOCK_DIAG_BY_FAMILY, _REQUEST_AND_DUMP, 1, 0)
    found: list[tuple[int, bytes]] = []
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG) as link:
        link.send(header + body)
        while True:
            data = link.recv(1 << 20)
            offset = 0
            while offset < len(data):
                length, kind, *_rest = _HEADER.unpack_from(data, offset)
                if kind == _NLMSG_DONE:
                    return found
                if kind == _NLMSG_ERROR:
                    raise OSError("the kernel refused to list sockets")
                item = data[offset + _HEADER.size : offset + length]
                # The source port is in network order behind family, state, timer and retransmits.
                (port,) = struct.unpack_from("!H", item, 4)
                found.append((port, _attribute(item[_MESSAGE_BYTES:])))
                offset += (length + 3) & ~3


def _attribute(data: bytes) -> bytes:
    offset = 0
    while offset + _ATTRIBUTE.size <= len(data):
        length, kind = _ATTRIBUTE.unpack_from(data, offset)
        if kind == _INET_DIAG_INFO:
            return data[offset + _ATTRIBUTE.size : offset + length]
        offset += max((length + 3) & ~3, _ATTRIBUTE.size)
    return b""
