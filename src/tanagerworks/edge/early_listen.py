"""Opens the callers' port before the rest of the program is loaded.

Loading the libraries takes a third of a second of a small VM. Callers that connect meanwhile wait
in the backlog instead of being turned away. This module imports the socket module only.
"""

import socket
from collections.abc import Sequence

# Connections that wait until the program accepts them; the system may allow fewer.
BACKLOG = 512
_FLAG = "--callers="


def listen_early(argv: Sequence[str]) -> socket.socket | None:
    """Returns a listening socket for the address in the flag ``--callers``, None without one.

    A wrong address is left to the flag's own check later.
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
