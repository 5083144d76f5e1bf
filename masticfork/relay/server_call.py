"""Calls of single requests to backend servers, and the pool of their connections."""

import enum
from collections.abc import Callable
from typing import Protocol

import attrs

from masticfork.core.backend_servers import BackendServer
from masticfork.core.forwarding import ResponseHead
from masticfork.relay.channel import Channel, connect
from masticfork.relay.loop import Loop, Timer
from masticfork.relay.response_reader import (
    HeadDecoder,
    MalformedResponseError,
    ResponseReader,
)
from masticfork.relay.transit_calls import (
    TransitChannel,
    TransitConnections,
    TransitError,
)

# The hosts' links take 1 to 10 ms, and a lost SYN is retransmitted only after a second.
CONNECT_TIMEOUT_SECONDS = 0.35
# Limits on the idle time of a connection that is reused: a maximum, and a fraction of
# the keep-alive time that the server announces. A request sent on a connection that the
# server closes in the meantime is lost.
MAX_IDLE_SECONDS = 1.5
KEEP_ALIVE_FRACTION = 0.5
MAX_IDLE_CONNECTIONS_PER_SERVER = 8


class Stage(enum.Enum):
    """Progress of a call; before SENT no byte of it can have reached the server."""

    CONNECTING = "connecting"
    SENT = "sent"
    ANSWERING = "answering"


@attrs.frozen
class CallFailure:
    """Why a call ended without a complete response."""

    stage: Stage
    message: str
    # Whether the connection was closed or reset, as it is if the server crashes.
    connection_lost: bool = False
    # Whether the host through which the server was called, or the way to it, failed.
    transit_failed: bool = False


class CallSink(Protocol):
    """Receives the response of a call, or its failure."""

    def on_head(self, head: ResponseHead) -> None:
        """Receive the head of the response."""

    def on_body(self, data: bytes) -> None:
        """Receive a part of the body."""

    def on_end(self) -> None:
        """Receive the end of a complete response."""

    def on_failed(self, failure: CallFailure) -> None:
        """Receive the failure, which is the last event of the call."""


class _IdleChannelOwner:
    """Closes an idle connection as soon as any data arrives on it."""

    def __init__(self, channel: Channel, on_stray_data: Callable[[], None]) -> None:
        self._channel = channel
        self._on_stray_data = on_stray_data

    def on_connected(self) -> None:
        """Do nothing: an idle connection is already connected."""

    def on_data(self, data: bytes) -> None:
        """Close the connection: the data belongs to no request."""
        self._on_stray_data()
        self._channel.close()

    def on_drained(self) -> None:
        """Do nothing: nothing is sent on an idle connection."""

    def on_closed(self, error: OSError | None) -> None:
        """Do nothing: the pool skips closed connections and removes them later."""


@attrs.define
class _IdleConnection:
    channel: Channel
    expires_at: float


class ServerConnectionPool:
    """Pool of idle connections to one incarnation of a server."""

    def __init__(
        self, loop: Loop, server: BackendServer, log: Callable[..., None]
    ) -> None:
        self._loop = loop
        self._server = server
        self._log = log
        self._idle_connections: list[_IdleConnection] = []
        self._closed = False

    def open(self, require_new: bool) -> tuple[Channel, bool]:
        """Return a connection and whether it is new; reuse none if `require_new`.

        Raise OSError if no connection can be opened.
        """
        while self._idle_connections and not require_new:
            idle = self._idle_connections.pop()
            channel = idle.channel
            if channel.closed:
                continue
            if idle.expires_at > self._loop.now and channel.has_no_pending_input():
                return channel, False
            channel.close()
        return connect(self._loop, self._server.address), True

    def put_back(self, channel: Channel, keep_alive: float | None) -> None:
        """Keep an idle connection for reuse; close it if enough are kept, or none.

        `keep_alive` is the idle time in seconds that the server allows, if it says so.
        """
        idle_seconds = (
            MAX_IDLE_SECONDS if keep_alive is None else keep_alive * KEEP_ALIVE_FRACTION
        )
        self._idle_connections = [
            idle for idle in self._idle_connections if not idle.channel.closed
        ]
        is_full = len(self._idle_connections) >= MAX_IDLE_CONNECTIONS_PER_SERVER
        if self._closed or is_full:
            channel.close()
            return
        channel.owner = _IdleChannelOwner(channel, lambda: self.log_stray_data("idle"))
        channel.resume()
        self._idle_connections.append(
            _IdleConnection(
                channel, self._loop.now + min(MAX_IDLE_SECONDS, idle_seconds)
            )
        )

    def log_stray_data(self, connection_state: str) -> None:
        """Log that the server sent data that belongs to no request."""
        self._log(
            "stray data from server",
            server=self._server.id,
            connection=connection_state,
        )

    def sweep(self) -> None:
        """Close connections whose idle time is over."""
        for idle in self._idle_connections:
            if idle.expires_at <= self._loop.now:
                idle.channel.close()
        self._idle_connections = [
            idle for idle in self._idle_connections if not idle.channel.closed
        ]

    def close(self) -> None:
        """Close all idle connections, and others as they are put back."""
        self._closed = True
        for idle in self._idle_connections:
            idle.channel.close()
        self._idle_connections = []


class ServerCall:
    """Sends one request to a server and passes the response to a sink.

    `on_reached` is called when a new connection to the server is established, unless it
    leads through another host, whose name is `via`.
    """

    def __init__(
        self,
        loop: Loop,
        connections: ServerConnectionPool | TransitConnections,
        decode: HeadDecoder,
        sink: CallSink,
        is_head_request: bool,
        on_reached: Callable[[], None] = lambda: None,
        via: str | None = None,
    ) -> None:
        self._loop = loop
        self._connections = connections
        self._sink = sink
        self._on_reached = on_reached
        self._via = via
        self._reader = ResponseReader(decode, self, is_head_request)
        self._channel: Channel | TransitChannel | None = None
        self._connect_timer: Timer | None = None
        self._stage = Stage.CONNECTING
        self._ended = False
        self._reused_connection = False

    @property
    def via(self) -> str | None:
        """Return the host through which the server is called, None for this one."""
        return self._via

    @property
    def reused_connection(self) -> bool:
        """Return whether the request was sent on a connection with earlier ones."""
        return self._reused_connection

    @property
    def may_hold_other_response(self) -> bool:
        """Return whether the body may hold a late response to an earlier request.

        Nothing tells where a body without framing ends and such a response begins.
        """
        return self._reused_connection and self.ends_at_close

    @property
    def ends_at_close(self) -> bool:
        """Return whether the body has no framing and ends with the connection."""
        return self._reader.ends_at_close

    @property
    def stage(self) -> Stage:
        """Return the progress of the call."""
        return self._stage

    @property
    def ended(self) -> bool:
        """Return whether the call has ended."""
        return self._ended

    def start(self, data: bytes, require_new: bool) -> None:
        """Send the encoded request, on a new connection if `require_new`."""
        try:
            channel, is_new = self._connections.open(require_new)
        except OSError as error:
            message, transit_failed = f"connect: {error}", self._via is not None
            self._loop.call_after(
                0.0, lambda: self._fail(message, transit_failed=transit_failed)
            )
            return
        self._channel = channel
        channel.owner = self
        if is_new:
            self._connect_timer = self._loop.call_after(
                CONNECT_TIMEOUT_SECONDS, self._on_connect_timeout
            )
        else:
            self._reused_connection = True
            self._stage = Stage.SENT
        channel.write(data)

    def cancel(self) -> None:
        """End the call and close its connection without notifying the sink."""
        self._ended = True
        self._close_channel()

    def pause(self) -> None:
        """Stop reading the response."""
        if self._channel is not None:
            self._channel.pause()

    def resume(self) -> None:
        """Resume reading the response."""
        if self._channel is not None:
            self._channel.resume()

    # Callbacks of the channel.

    def on_connected(self) -> None:
        """Mark the request as sent."""
        self._stage = Stage.SENT
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        if self._via is None:
            self._on_reached()

    def on_data(self, data: bytes) -> None:
        """Parse a part of the response."""
        try:
            self._reader.feed(data)
        except MalformedResponseError as error:
            self._fail(f"malformed response: {error}")

    def on_drained(self) -> None:
        """Do nothing: the response shows that the request arrived."""

    def on_closed(self, error: OSError | None) -> None:
        """Fail the call unless the response is complete."""
        if self._ended:
            return
        complete = error is None and self._reader.feed_end()
        if not complete:
            message = "closed by the server" if error is None else str(error)
            transit_failed = isinstance(error, TransitError)
            self._fail(message, not transit_failed, transit_failed)

    # Callbacks of the response reader.

    def on_head(self, head: ResponseHead) -> None:
        """Pass the head to the sink."""
        if not self._ended:
            self._stage = Stage.ANSWERING
            self._sink.on_head(head)

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the sink."""
        if not self._ended:
            self._sink.on_body(data)

    def on_end(self) -> None:
        """End the call, and release the connection in the next iteration.

        By then the reader has seen all data received with the end of the response.
        """
        if not self._ended:
            self._ended = True
            self._loop.call_after(0.0, self._release_channel)
            self._sink.on_end()

    def _release_channel(self) -> None:
        channel, head = self._channel, self._reader.head
        if self._reader.has_extra_bytes:
            self._connections.log_stray_data("after a response")
        if channel is None or channel.closed or head is None:
            return
        # Unsent bytes of this request would be sent ahead of the next one.
        if self._reader.reusable and not channel.unsent_bytes:
            self._channel = None
            self._put_back(channel, head.keep_alive)
        else:
            self._close_channel()

    def _put_back(
        self, channel: Channel | TransitChannel, keep_alive: float | None
    ) -> None:
        if isinstance(channel, Channel) and isinstance(
            self._connections, ServerConnectionPool
        ):
            self._connections.put_back(channel, keep_alive)
        else:
            channel.close()

    def _on_connect_timeout(self) -> None:
        if self._stage is Stage.CONNECTING:
            self._fail("connect: timed out", transit_failed=self._via is not None)

    def _fail(
        self,
        message: str,
        connection_lost: bool = False,
        transit_failed: bool = False,
    ) -> None:
        if not self._ended:
            self._ended = True
            self._close_channel()
            self._sink.on_failed(
                CallFailure(self._stage, message, connection_lost, transit_failed)
            )

    def _close_channel(self) -> None:
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        if self._channel is not None:
            self._channel.close()
            self._channel = None
