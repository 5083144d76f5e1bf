"""Accepts connections of hosts that reach no server, and connects them to servers."""

import selectors

import httptools

from masticfork.core.backend_servers import Address
from masticfork.relay.channel import SERVER_USER_TIMEOUT_MS, Channel, listen
from masticfork.relay.loop import Loop, Timer
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.server_trials import ServerTrials
from masticfork.relay.tables import Log, Tables
from masticfork.relay.transit_framing import (
    END,
    END_BY_RESET,
    OPENED_RESPONSE,
    PATH_PREFIX,
    Refusal,
    chunk,
    refusal_response,
)

LISTEN_BACKLOG = 256
# Timeout of the connection to the server; shorter than that of the calling host, which
# is to hear of it.
CONNECT_TIMEOUT_SECONDS = 0.25
# A connection with a larger request head is closed.
MAX_HEAD_BYTES = 16 << 10
# Reading from one side pauses while more than this is unsent to the other one.
MAX_UNSENT_BYTES = 256 << 10


class TransitListener:
    """Listens for other hosts; each of their connections gets one to a server."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        tables: Tables,
        trials: ServerTrials,
        metrics: RelayMetrics,
        log: Log,
        max_connections: int,
    ) -> None:
        self._loop = loop
        self._tables = tables
        self._trials = trials
        self._metrics = metrics
        self._log = log
        self._max_connections = max_connections
        self._connections: set[_TransitConnection] = set()
        self._stopping = False
        self._listener = listen(address, LISTEN_BACKLOG)
        loop.register(self._listener, selectors.EVENT_READ, self)

    @property
    def busy(self) -> bool:
        """Return whether other hosts use connections to servers."""
        return bool(self._connections)

    def stop(self) -> None:
        """Open no further connections."""
        self._stopping = True

    def on_events(self, events: int) -> None:
        """Accept all pending connections."""
        while True:
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                self._log("accept failed", error=str(error))
                return
            channel = Channel(
                self._loop, sock, SERVER_USER_TIMEOUT_MS, connecting=False
            )
            self._connections.add(_TransitConnection(self._loop, channel, self))

    def open_server(self, server_id: str) -> Channel | Refusal:
        """Start to connect to a server for another host."""
        row = self._tables.row(server_id)
        too_many = len(self._connections) > self._max_connections
        unusable = row is None or row.leaving or self._tables.is_evacuated(row)
        if self._stopping or too_many or row is None or unusable:
            self._log("transit declined", server=server_id, stopping=self._stopping)
            return Refusal.DECLINED
        try:
            return row.connections.open(require_new=True)[0]
        except OSError:
            return self.record_unreachable()

    def record_opened(self) -> None:
        """Count a connection to a server for another host."""
        self._trials.record_reached()
        self._metrics.transits.inc()

    def record_unreachable(self) -> Refusal:
        """Return how to refuse a connection to a server that could not be reached."""
        refusal = Refusal.UNREACHABLE if self._trials.is_sure else Refusal.DECLINED
        self._trials.begin()
        return refusal

    def remove(self, connection: "_TransitConnection") -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)


class _TransitConnection:
    """A connection of another host and, once that has named it, one to a server."""

    def __init__(self, loop: Loop, channel: Channel, listener: TransitListener) -> None:
        self._loop = loop
        self._listener = listener
        self._channel = channel
        self._server_channel: Channel | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        self._head_bytes = 0
        self._head_complete = False
        self._timer: Timer = loop.call_after(
            CONNECT_TIMEOUT_SECONDS, self._on_unreachable
        )
        channel.owner = self

    # Callbacks of the channel to the other host.

    def on_connected(self) -> None:
        """Do nothing: accepted connections are already connected."""

    def on_data(self, data: bytes) -> None:
        """Parse the request, whose body is for the server."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()
            return
        if not self._head_complete:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self.close()

    def on_drained(self) -> None:
        """Read from the server again."""
        if self._server_channel is not None:
            self._server_channel.resume()

    def on_closed(self, error: OSError | None) -> None:
        """Close the connection to the server: the other host has ended the call."""
        self.close()

    # Callbacks of httptools.HttpRequestParser.

    def on_url(self, url: bytes) -> None:
        """Collect a part of the path."""
        self._path += url

    def on_headers_complete(self) -> None:
        """Start to connect to the server that the path names."""
        self._head_complete = True
        server_id = self._path.removeprefix(PATH_PREFIX).decode("latin-1")
        opened = self._listener.open_server(server_id)
        if isinstance(opened, Refusal):
            self._refuse(opened)
            return
        self._server_channel = opened
        opened.owner = _ServerSide(self)

    def on_body(self, data: bytes) -> None:
        """Send a part of the body to the server."""
        server_channel = self._server_channel
        if server_channel is not None:
            server_channel.write(data)
            if server_channel.unsent_bytes > MAX_UNSENT_BYTES:
                self._channel.pause()

    # Called by the server's side.

    def on_server_connected(self) -> None:
        """Let the other host send its request."""
        self._timer.cancel()
        self._listener.record_opened()
        self._channel.write(OPENED_RESPONSE)

    def on_server_data(self, data: bytes) -> None:
        """Send data of the server to the other host."""
        self._channel.write(chunk(data))
        if self._channel.unsent_bytes > MAX_UNSENT_BYTES and self._server_channel:
            self._server_channel.pause()

    def on_server_drained(self) -> None:
        """Read from the other host again."""
        self._channel.resume()

    def on_server_closed(self, connected: bool, error: OSError | None) -> None:
        """Tell the other host how the server's connection has ended."""
        if not connected:
            self._on_unreachable()
            return
        self._channel.write(END if error is None else END_BY_RESET)
        self._close_when_sent()

    def close(self) -> None:
        """Close both connections; the other host sees that the end is missing."""
        self._timer.cancel()
        self._channel.close()
        if self._server_channel is not None:
            self._server_channel.close()
        self._listener.remove(self)

    def _on_unreachable(self) -> None:
        self._refuse(self._listener.record_unreachable())

    def _refuse(self, refusal: Refusal) -> None:
        if self._server_channel is not None:
            self._server_channel.close()
        self._channel.write(refusal_response(refusal))
        self._close_when_sent()

    def _close_when_sent(self) -> None:
        self._timer.cancel()
        self._channel.close_when_sent(lambda: self._listener.remove(self))


class _ServerSide:
    """Passes the events of the connection to the server on."""

    def __init__(self, connection: _TransitConnection) -> None:
        self._connection = connection
        self._connected = False

    def on_connected(self) -> None:
        """Let the other host send its request."""
        self._connected = True
        self._connection.on_server_connected()

    def on_data(self, data: bytes) -> None:
        """Pass on data of the server."""
        self._connection.on_server_data(data)

    def on_drained(self) -> None:
        """Read from the other host again."""
        self._connection.on_server_drained()

    def on_closed(self, error: OSError | None) -> None:
        """Pass on the end of the connection."""
        self._connection.on_server_closed(self._connected, error)
