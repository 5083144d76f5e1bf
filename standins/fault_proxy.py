"""TCP proxy on loopback that injects faults into the connections to one address."""

import contextlib
import select
import socket
import struct
import threading
import time

import attrs

from masticfork.core.backend_servers import Address
from standins.common import LOOPBACK

READ_BYTES = 65536
BACKLOG = 128
# Interval at which an idle connection checks whether it is to be reset.
POLL_MS = 100
CONNECT_TIMEOUT_SECONDS = 2.0
# Value of SO_LINGER with which `close` sends a reset instead of a FIN.
_LINGER_ZERO = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class _ProxiedConnection:
    """The two sockets of one proxied connection."""

    caller: socket.socket
    server: socket.socket
    # The proxy's reset count when the connection was made.
    resets_before: int
    # The proxy's count of silences when the connection was made, None within one.
    silences_before: int | None

    def reset(self) -> None:
        """Close both sockets so that their peers see a reset."""
        for sock in (self.caller, self.server):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            sock.close()


class FaultProxy:
    """Relays connections to `target`; `hold`, `delay` and `reset` inject faults."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._state_changed = threading.Condition()
        self._held_directions: set[str] = set()
        self._delay_seconds = 0.0
        self._reset_count = 0
        self._silence_count = 0
        self._silent = False
        self._closed = False
        self._sock = socket.create_server((LOOPBACK, 0), backlog=BACKLOG)
        host, port = self._sock.getsockname()
        self._address = Address(host, port)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> Address:
        """Return the address at which the proxy listens."""
        return self._address

    def hold(self, *, to_server: bool, from_server: bool) -> None:
        """Hold the bytes of the given directions and release the others."""
        directions = {
            direction
            for direction, held in (("to", to_server), ("from", from_server))
            if held
        }
        with self._state_changed:
            self._held_directions = directions
            self._state_changed.notify_all()

    def delay(self, seconds: float) -> None:
        """Delay each chunk in both directions; 0.0 removes the delay."""
        self._delay_seconds = seconds

    def begin_silence(self) -> None:
        """Pass nothing on; connections made before the silence ends never do again."""
        self._silence_count += 1
        self._silent = True

    def end_silence(self) -> None:
        """Pass on what new connections send."""
        self._silent = False

    def reset(self) -> None:
        """Reset all open connections."""
        with self._state_changed:
            self._reset_count += 1
            self._state_changed.notify_all()

    def refuse(self) -> None:
        """Reset all connections and refuse new ones, as a crashed target does."""
        self._stop_listening()
        self.reset()

    def accept_again(self) -> None:
        """Accept connections again after `refuse`."""
        if not self._closed:
            address = self.address
            self._sock = socket.create_server(
                (address.host, address.port), backlog=BACKLOG
            )
            threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening and reset all open connections."""
        self._closed = True
        self._stop_listening()
        self.reset()

    def _stop_listening(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _accept(self) -> None:
        listener = self._sock
        while True:
            try:
                caller, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(caller,), daemon=True).start()

    def _connect(self, caller: socket.socket) -> None:
        address = (self._target.host, self._target.port)
        try:
            server = socket.create_connection(address, CONNECT_TIMEOUT_SECONDS)
        except OSError:
            # Reset the caller, as if its connection to the target had failed.
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            caller.close()
            return
        server.settimeout(None)
        for sock in (caller, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        silences = None if self._silent else self._silence_count
        connection = _ProxiedConnection(caller, server, self._reset_count, silences)
        answers_thread = threading.Thread(
            target=self._relay, args=(connection, server, caller, "from"), daemon=True
        )
        answers_thread.start()
        self._relay(connection, caller, server, "to")
        answers_thread.join()
        caller.close()
        server.close()

    def _relay(
        self,
        connection: _ProxiedConnection,
        source: socket.socket,
        sink: socket.socket,
        direction: str,
    ) -> None:
        """Relay the bytes of one direction until the source closes."""
        try:
            while self._wait_for_data(connection, source):
                data = source.recv(READ_BYTES)
                if not self._apply_hold_and_delay(connection, direction):
                    break
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                if connection.silences_before == self._silence_count:
                    sink.sendall(data)
        except (OSError, ValueError):
            # Either peer closed, or the thread of the other direction reset it.
            pass
        connection.reset()

    def _wait_for_data(
        self, connection: _ProxiedConnection, source: socket.socket
    ) -> bool:
        """Wait for bytes; return False if the connection is to be reset."""
        poll = select.poll()
        poll.register(source, select.POLLIN)
        while connection.resets_before == self._reset_count:
            if poll.poll(POLL_MS):
                return True
        return False

    def _apply_hold_and_delay(
        self, connection: _ProxiedConnection, direction: str
    ) -> bool:
        """Wait while the direction is held or delayed; return False after a reset."""
        with self._state_changed:
            self._state_changed.wait_for(
                lambda: (
                    direction not in self._held_directions
                    or connection.resets_before != self._reset_count
                )
            )
        time.sleep(self._delay_seconds)
        return connection.resets_before == self._reset_count
