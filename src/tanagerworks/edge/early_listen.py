"""Opens the callers' port before the rest of the program is imported.

Importing the libraries takes a third of a second on a small VM. Callers that connect meanwhile
wait in the listen backlog instead of being refused. To start early, this module imports nothing
beyond `socket` and `collections.abc`.
"""

import socket
from collections.abc import Sequence

# Connections that may wait to be accepted; the kernel may lower the limit.
BACKLOG = 512
_FLAG = "--callers="


def listen_early(argv: Sequence[str]) -> socket.socket | None:
    """Returns a listening socket for the address in the flag ``--callers``, or None without it.

    Also returns None if the address cannot be parsed or bound; the process then opens the port
    of its settings later and reports a failure.
    """
    for argument in argv:
        if not argument.startswith(_FLAG):
            continue
        host, _colon, port = argument.removeprefix(_FLAG).rpartition(":")
        if not port.isdigit():
            return None
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host, int(port)))
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            return None
        listener.setblocking(False)
        return listener
    return None
