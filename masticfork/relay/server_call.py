"""One request at one backend server, and the connections that carry such requests."""

import enum
from typing import Protocol

import attrs

from masticfork.core.backend_servers import BackendServer
from masticfork.core.forwarding import AnswerHead
from masticfork.relay.answer_reader import (
    AnswerReader,
    HeadDecoder,
    UnreadableAnswerError,
)
from masticfork.relay.channel import Channel, connect
from masticfork.relay.loop import Loop, Timer

# Time in seconds for a connection to be established; the hosts' links take 1 to 10 ms,
# and a lost packet is only sent again after a second.
CONNECT_TIMEOUT = 0.35
# Greatest idle time in seconds of a connection that is used again, and the part of the
# server's own announcement: a connection that the server closes meanwhile loses the
# request.
MAX_IDLE = 1.5
KEEP_ALIVE_SHARE = 0.5
# Idle connections kept for each server.
MAX_IDLE_CONNECTIONS = 8


class Stage(enum.Enum):
    """How far a call got; before SENT no byte of it can have reached the server."""

    CONNECTING = "connecting"
    SENT = "sent"
    ANSWERING = "answering"


@attrs.frozen
class CallFailure:
    """Why a call brought no whole answer."""

    stage: Stage
    message: str


class CallSink(Protocol):
    """Takes what becomes of a call."""

    def on_head(self, head: AnswerHead) -> None:
        """Take the head of the answer."""

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""

    def on_end(self) -> None:
        """Take the end of a whole answer."""

    def on_failed(self, failure: CallFailure) -> None:
        """Take the failure; nothing follows it."""


class _IdleOwner:
    """Closes an idle connection as soon as anything comes from it."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    def on_connected(self) -> None:
        """Ignore it: an idle connection is connected."""

    def on_data(self, data: bytes) -> None:
        """Drop the connection: nobody asked for these bytes."""
        self._channel.close()

    def on_drained(self) -> None:
        """Ignore it: nothing is sent on an idle connection."""

    def on_closed(self, error: OSError | None) -> None:
        """Leave the connection to be dropped when it is next looked at."""


@attrs.define
class _Idle:
    channel: Channel
    until: float


class ServerConnections:
    """Connections to one incarnation of a server."""

    def __init__(self, loop: Loop, server: BackendServer) -> None:
        self._loop = loop
        self._server = server
        self._idle: list[_Idle] = []

    def open(self, fresh: bool) -> tuple[Channel, bool]:
        """Return a connection and whether it is new; raise OSError if none opens."""
        while self._idle and not fresh:
            idle = self._idle.pop()
            channel = idle.channel
            if channel.closed:
                continue
            if idle.until > self._loop.now and channel.is_quiet():
                return channel, False
            channel.close()
        return connect(self._loop, self._server.address), True

    def keep(self, channel: Channel, keep_alive: float | None) -> None:
        """Keep a connection for another request."""
        told = MAX_IDLE if keep_alive is None else keep_alive * KEEP_ALIVE_SHARE
        self._idle = [idle for idle in self._idle if not idle.channel.closed]
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            channel.close()
            return
        channel.owner = _IdleOwner(channel)
        channel.resume()
        self._idle.append(_Idle(channel, self._loop.now + min(MAX_IDLE, told)))

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        for idle in self._idle:
            if idle.until <= self._loop.now:
                idle.channel.close()
        self._idle = [idle for idle in self._idle if not idle.channel.closed]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle:
            idle.channel.close()
        self._idle = []


class ServerCall:
    """Sends one request and reads its answer."""

    def __init__(
        self,
        loop: Loop,
        connections: ServerConnections,
        decode: HeadDecoder,
        sink: CallSink,
        to_head: bool,
    ) -> None:
        self._loop = loop
        self._connections = connections
        self._sink = sink
        self._reader = AnswerReader(decode, self, to_head)
        self._channel: Channel | None = None
        self._timer: Timer | None = None
        self._stage = Stage.CONNECTING
        self._over = False

    @property
    def stage(self) -> Stage:
        """Return how far the call got."""
        return self._stage

    @property
    def over(self) -> bool:
        """Tell whether the call ended."""
        return self._over

    def start(self, data: bytes, fresh: bool) -> None:
        """Send the request, on a new connection if `fresh`."""
        try:
            channel, is_new = self._connections.open(fresh)
        except OSError as error:
            message = f"connect: {error}"
            self._loop.call_after(0.0, lambda: self._fail(message))
            return
        self._channel = channel
        channel.owner = self
        if is_new:
            self._timer = self._loop.call_after(CONNECT_TIMEOUT, self._on_timeout)
        else:
            self._stage = Stage.SENT
        channel.write(data)

    def cancel(self) -> None:
        """End the call and its connection; the sink hears no more."""
        self._over = True
        self._drop()

    def pause(self) -> None:
        """Stop reading the answer."""
        if self._channel is not None:
            self._channel.pause()

    def resume(self) -> None:
        """Read the answer on."""
        if self._channel is not None:
            self._channel.resume()

    # The connection calls the methods below.

    def on_connected(self) -> None:
        """Note that the request goes out."""
        self._stage = Stage.SENT
        if self._timer is not None:
            self._timer.cancel()

    def on_data(self, data: bytes) -> None:
        """Read a part of the answer."""
        try:
            self._reader.feed(data)
        except UnreadableAnswerError as error:
            self._fail(f"unreadable answer: {error}")

    def on_drained(self) -> None:
        """Ignore it: the answer tells that the request arrived."""

    def on_closed(self, error: OSError | None) -> None:
        """Judge whether the answer is whole."""
        if self._over:
            return
        whole = error is None and self._reader.feed_end()
        if not whole:
            self._fail("closed by the server" if error is None else str(error))

    # The reader calls the methods below.

    def on_head(self, head: AnswerHead) -> None:
        """Pass on the head."""
        if not self._over:
            self._stage = Stage.ANSWERING
            self._sink.on_head(head)

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        if not self._over:
            self._sink.on_body(data)

    def on_end(self) -> None:
        """Give the connection back after the reader has seen all bytes at hand."""
        if not self._over:
            self._over = True
            self._loop.call_after(0.0, self._release)
            self._sink.on_end()

    def _release(self) -> None:
        channel, head = self._channel, self._reader.head
        if channel is None or channel.closed or head is None:
            return
        # Bytes of the request that were never sent would reach the next answer.
        if self._reader.reusable and not channel.unsent:
            self._channel = None
            self._connections.keep(channel, head.keep_alive)
        else:
            self._drop()

    def _on_timeout(self) -> None:
        if self._stage is Stage.CONNECTING:
            self._fail("connect: timed out")

    def _fail(self, message: str) -> None:
        if not self._over:
            self._over = True
            self._drop()
            self._sink.on_failed(CallFailure(self._stage, message))

    def _drop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._channel is not None:
            self._channel.close()
            self._channel = None
