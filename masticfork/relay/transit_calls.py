"""Connections to servers that another host holds, for a host that reaches none."""

import errno
from collections.abc import Callable

import httptools

from masticfork.core.backend_servers import Address
from masticfork.relay.channel import ChannelOwner, closed_while_sending, connect
from masticfork.relay.loop import Loop
from masticfork.relay.transit_framing import (
    Refusal,
    TransitResponseParser,
    chunk,
    open_request,
)


class TransitError(OSError):
    """The other host, or the way to it, has failed; the server may be sound."""


class TransitChannel:
    """A connection to a server through another host, in the place of a `Channel`."""

    def __init__(self, loop: Loop, host: Address, server_id: str) -> None:
        self.owner: ChannelOwner | None = None
        self._opened = False
        self._unsent: list[bytes] = []
        self._parser = TransitResponseParser(self)
        self._channel = connect(loop, host)
        self._channel.owner = self
        self._channel.write(open_request(server_id))

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._channel.closed

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that are not sent yet."""
        return self._channel.unsent_bytes + sum(map(len, self._unsent))

    def write(self, data: bytes) -> None:
        """Send data once the connection to the server is established."""
        if self._opened:
            self._channel.write(chunk(data))
        else:
            self._unsent.append(data)

    def pause(self) -> None:
        """Stop reading."""
        self._channel.pause()

    def resume(self) -> None:
        """Resume reading."""
        self._channel.resume()

    def close(self) -> None:
        """Close the connection; the other host closes that to the server."""
        self.owner = None
        self._channel.close()

    # Callbacks of the channel to the other host.

    def on_connected(self) -> None:
        """Do nothing: the other host has yet to connect to the server."""

    def on_data(self, data: bytes) -> None:
        """Parse a part of the other host's response."""
        try:
            self._parser.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._end(TransitError(errno.EPROTO, repr(error)))

    def on_drained(self) -> None:
        """Tell the owner that all is sent."""
        if self._opened and self.owner is not None:
            self.owner.on_drained()

    def on_closed(self, error: OSError | None) -> None:
        """Report the loss of the way to the other host."""
        why = "closed" if error is None else str(error)
        self._end(TransitError(errno.ECONNABORTED, f"other host: {why}"))

    # Callbacks of the parser.

    def on_opened(self) -> None:
        """Send what was held back until the server was connected."""
        self._opened = True
        if self.owner is not None:
            self.owner.on_connected()
        unsent, self._unsent = self._unsent, []
        for data in unsent:
            self._channel.write(chunk(data))

    def on_refused(self, refusal: Refusal) -> None:
        """Report that there is no connection to the server."""
        if refusal is Refusal.UNREACHABLE:
            self._end(OSError(errno.EHOSTUNREACH, "unreachable for the other host"))
        else:
            self._end(TransitError(errno.ECONNREFUSED, "other host: declined"))

    def on_server_data(self, data: bytes) -> None:
        """Pass data of the server to the owner."""
        if self.owner is not None:
            self.owner.on_data(data)

    def on_server_closed(self, reset: bool) -> None:
        """Report the end of the server's connection."""
        if reset:
            self._end(OSError(errno.ECONNRESET, "reset by the server"))
        elif self.unsent_bytes:
            self._end(closed_while_sending())
        else:
            self._end(None)

    def _end(self, error: OSError | None) -> None:
        owner = self.owner
        self.close()
        if owner is not None:
            owner.on_closed(error)


class TransitConnections:
    """Connections to one server through one other host; none is used twice."""

    def __init__(
        self, loop: Loop, host: Address, server_id: str, log: Callable[..., None]
    ) -> None:
        self._loop = loop
        self._host = host
        self._server_id = server_id
        self._log = log

    def open(self, require_new: bool) -> tuple[TransitChannel, bool]:
        """Return a new connection and True; raise OSError if none can be opened."""
        try:
            return TransitChannel(self._loop, self._host, self._server_id), True
        except OSError as error:
            raise TransitError(error.errno, f"other host: {error}") from error

    def log_stray_data(self, connection_state: str) -> None:
        """Log that the server sent data that belongs to no request."""
        self._log(
            "stray data from server",
            server=self._server_id,
            connection=connection_state,
        )
