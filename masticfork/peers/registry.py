"""The active connection to each host."""

import threading

from masticfork.core.ids import HostName
from masticfork.peers.connection import Connection


class ConnectionRegistry:
    """Keeps one active connection per host; thread-safe.

    When two hosts dial each other at the same time, both keep the connection that
    the host with the lesser name dialled, so that neither closes the one that the
    other keeps.
    """

    def __init__(self, local_host: HostName) -> None:
        self._local_host = local_host
        self._lock = threading.Condition()
        self._connections: dict[HostName, Connection] = {}

    @property
    def hosts(self) -> frozenset[HostName]:
        """Return the connected hosts."""
        with self._lock:
            return frozenset(self._connections)

    @property
    def connections(self) -> tuple[Connection, ...]:
        """Return the active connections."""
        with self._lock:
            return tuple(self._connections.values())

    def get(self, host: HostName) -> Connection | None:
        """Return the host's connection, or None."""
        with self._lock:
            return self._connections.get(host)

    def add(self, connection: Connection) -> tuple[bool, Connection | None]:
        """Return whether the connection is now active, and the one it replaced."""
        host = connection.peer.sender
        with self._lock:
            current = self._connections.get(host)
            if current is not None and not self._takes_precedence(connection, current):
                return False, None
            self._connections[host] = connection
            return True, current

    def remove(self, connection: Connection) -> bool:
        """Remove the connection; return whether it was its host's active one."""
        host = connection.peer.sender
        with self._lock:
            if self._connections.get(host) is not connection:
                return False
            del self._connections[host]
            self._lock.notify_all()
            return True

    def wait_empty(self, seconds: float) -> bool:
        """Wait until no connection is active; return false on timeout."""
        with self._lock:
            return self._lock.wait_for(lambda: not self._connections, seconds)

    def _takes_precedence(self, new: Connection, current: Connection) -> bool:
        if new.peer.incarnation != current.peer.incarnation:
            return new.peer.incarnation > current.peer.incarnation
        if new.dialled == current.dialled:
            return True
        return new.dialled == (self._local_host < new.peer.sender)
