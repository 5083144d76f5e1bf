"""The connection that stands for each linked host."""

import threading

from masticfork.core.ids import HostName
from masticfork.peers.connection import Connection


class Registry:
    """Keeps one connection a host, safe to use from all threads.

    When both hosts dial at once, both keep the connection that the host with the
    lesser name dialled, so that they never close each other's choice.
    """

    def __init__(self, me: HostName) -> None:
        self._me = me
        self._lock = threading.Condition()
        self._connections: dict[HostName, Connection] = {}

    @property
    def hosts(self) -> frozenset[HostName]:
        """Return the linked hosts."""
        with self._lock:
            return frozenset(self._connections)

    @property
    def connections(self) -> tuple[Connection, ...]:
        """Return the standing connections."""
        with self._lock:
            return tuple(self._connections.values())

    def get(self, host: HostName) -> Connection | None:
        """Return the host's connection, or none."""
        with self._lock:
            return self._connections.get(host)

    def add(self, connection: Connection) -> tuple[bool, Connection | None]:
        """Return whether the connection now stands and the one it replaced."""
        host = connection.peer.sender
        with self._lock:
            standing = self._connections.get(host)
            if standing is not None and not self._replaces(connection, standing):
                return False, None
            self._connections[host] = connection
            return True, standing

    def remove(self, connection: Connection) -> bool:
        """Tell whether the connection was the standing one; it no longer is."""
        host = connection.peer.sender
        with self._lock:
            if self._connections.get(host) is not connection:
                return False
            del self._connections[host]
            self._lock.notify_all()
            return True

    def wait_empty(self, seconds: float) -> bool:
        """Wait until no connection stands; false where the time is up before."""
        with self._lock:
            return self._lock.wait_for(lambda: not self._connections, seconds)

    def _replaces(self, new: Connection, standing: Connection) -> bool:
        if new.peer.incarnation != standing.peer.incarnation:
            return new.peer.incarnation > standing.peer.incarnation
        if new.dialled == standing.dialled:
            return True
        return new.dialled == (self._me < new.peer.sender)
