"""Reads the bytes that TCP connections have carried from the kernel, over netlink sock_diag."""

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
_INET_DIAG_MESSAGE_BYTES = 72
# Offsets in struct tcp_info of linux/tcp.h.
_BYTES_RECEIVED_OFFSET = 128
_BYTES_SENT_OFFSET = 200
_COUNT = struct.Struct("=Q")


def count_server_bytes(ports: Collection[int]) -> dict[int, int]:
    """Returns the bytes sent and received by port on open connections accepted at `ports`.

    TLS handshakes and HTTP/2 frames are included, TCP and IP headers are not. Closed connections
    are not included.

    Raises:
        OSError: the kernel refused to list the sockets.
    """
    totals: dict[int, int] = defaultdict(int)
    # gRPC listens on IPv6 sockets that also take IPv4 connections.
    for port, info in [*_list_connections(socket.AF_INET), *_list_connections(socket.AF_INET6)]:
        if port not in ports or len(info) < _BYTES_SENT_OFFSET + _COUNT.size:
            continue
        (received,) = _COUNT.unpack_from(info, _BYTES_RECEIVED_OFFSET)
        (sent,) = _COUNT.unpack_from(info, _BYTES_SENT_OFFSET)
        totals[port] += received + sent
    return dict(totals)


def _list_connections(family: int) -> list[tuple[int, bytes]]:
    body = struct.pack(
        "=BBBBI", family, socket.IPPROTO_TCP, 1 << (_INET_DIAG_INFO - 1), 0, 1 << 1
    ) + bytes(48)
    header = _HEADER.pack(_HEADER.size + len(body), _SOCK_DIAG_BY_FAMILY, _REQUEST_AND_DUMP, 1, 0)
    connections: list[tuple[int, bytes]] = []
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG) as netlink:
        netlink.send(header + body)
        while True:
            data = netlink.recv(1 << 20)
            offset = 0
            while offset < len(data):
                length, kind, *_rest = _HEADER.unpack_from(data, offset)
                if kind == _NLMSG_DONE:
                    return connections
                if kind == _NLMSG_ERROR:
                    raise OSError("the kernel refused to list sockets")
                item = data[offset + _HEADER.size : offset + length]
                # The source port, in network order, follows family, state, timer and retransmits.
                (port,) = struct.unpack_from("!H", item, 4)
                connections.append((port, _tcp_info(item[_INET_DIAG_MESSAGE_BYTES:])))
                offset += (length + 3) & ~3


def _tcp_info(data: bytes) -> bytes:
    offset = 0
    while offset + _ATTRIBUTE.size <= len(data):
        length, kind = _ATTRIBUTE.unpack_from(data, offset)
        if kind == _INET_DIAG_INFO:
            return data[offset + _ATTRIBUTE.size : offset + length]
        offset += max((length + 3) & ~3, _ATTRIBUTE.size)
    return b""
