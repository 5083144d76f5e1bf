"""The network between one entry host and the backend servers, which can be cut."""

import enum
import errno
import socket
import threading

import attrs

from masticfork.core.backend_servers import Address
from masticfork.relay.channel import Channel, connect
from masticfork.relay.loop import Loop
from standins.common import LOOPBACK
from standins.fault_proxy import FaultProxy


class Cut(enum.Enum):
    """What becomes of connections while a host is cut off from servers."""

    # No packet arrives: open connections fall silent, new ones are never established.
    HANG = "hang"
    # Open connections are reset, new ones refused.
    RESET = "reset"
    # Open connections live on, new ones are refused.
    REFUSE = "refuse"


class _FullListener:
    """Listens with a full queue, so that further connections hang."""

    def __init__(self) -> None:
        self._listener = socket.create_server((LOOPBACK, 0), backlog=0)
        self._waiting = [socket.socket() for _ in range(3)]
        for sock in self._waiting:
            sock.setblocking(False)
            sock.connect_ex(self._listener.getsockname())

    @property
    def address(self) -> Address:
        """Return the address at which connections hang."""
        host, port = self._listener.getsockname()
        return Address(host, port)

    def close(self) -> None:
        """Reset all connections."""
        for sock in (*self._waiting, self._listener):
            sock.close()


@attrs.define(eq=False)
class ServerPaths:
    """The paths from one host to the servers, each through a proxy of its own."""

    # Connections that were established, by the address of the server.
    connections: list[Address] = attrs.field(factory=list)
    _cut: Cut | None = None
    _proxies: dict[Address, FaultProxy] = attrs.field(factory=dict)
    _full_listener: _FullListener = attrs.field(factory=_FullListener)
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def connect(self, loop: Loop, address: Address) -> Channel:
        """Start to connect to a server, as `channel.connect` does."""
        if self._cut is Cut.HANG:
            return connect(loop, self._full_listener.address)
        if self._cut is not None:
            raise OSError(errno.ECONNREFUSED, "refused")
        with self._lock:
            if address not in self._proxies:
                self._proxies[address] = FaultProxy(address)
            self.connections.append(address)
            return connect(loop, self._proxies[address].address)

    def cut(self, cut: Cut) -> None:
        """Cut the host off from all servers."""
        with self._lock:
            self._cut = cut
            for proxy in self._proxies.values():
                if cut is Cut.HANG:
                    proxy.hold(to_server=True, from_server=True)
                elif cut is Cut.RESET:
                    proxy.reset()

    def heal(self) -> None:
        """Let the host reach the servers again."""
        with self._lock:
            self._cut = None
            for proxy in self._proxies.values():
                proxy.hold(to_server=False, from_server=False)

    def close(self) -> None:
        """Close all connections."""
        for proxy in self._proxies.values():
            proxy.close()
        self._full_listener.close()
