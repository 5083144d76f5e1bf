"""Checks of sockets."""

import select
import socket


def is_readable(sock: socket.socket) -> bool:
    """Return whether data or the end of the stream can be read without waiting."""
    # `select.select` takes no descriptors above 1023.
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
