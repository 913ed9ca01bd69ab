"""Socket options that every connection of the daemon has."""

import socket


def no_delay(sock: socket.socket) -> None:
    """Send small writes at once.

    Without it the buffered transport's writes meet delayed acknowledgement
    and a call between daemons takes 40 ms.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
