"""HTTP listeners on waitress, with typed errors for requests it rejects."""

import json
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.server import create_server
from waitress.task import ErrorTask, WSGITask

from masticfork.core.refusals import Reason, Refusal
from masticfork.entry.responses import openai_error

WsgiApp = Callable[[dict[str, Any], Any], Iterable[bytes]]

# Requests that wait for a thread beyond this many are answered by the backlog.
BACKLOG = 1024
CONNECTION_LIMIT = 4096
STOP_SECONDS = 5.0
# Read and dropped of a refused request, so that the caller sees its answer.
MAX_DROPPED_BYTES = 64 << 20


@attrs.frozen
class ListenerSettings:
    """Where and within which bounds a listener serves."""

    host: str
    port: int
    threads: int
    max_body_bytes: int
    max_header_bytes: int
    idle_timeout_seconds: int


class TypedErrorTask(ErrorTask):  # type: ignore[misc]
    """Answer a request that cannot be parsed with the error body of the API."""

    def execute(self) -> None:
        """Write the error and close the connection."""
        error = self.request.error
        too_large = error.code == 413
        reason = Reason.BODY_TOO_LARGE if too_large else Reason.MALFORMED
        refusal = Refusal(reason, f"{error.reason}: {error.body}")
        body = json.dumps(openai_error(refusal)).encode()
        self.status = f"{error.code} {error.reason}"
        self.response_headers.append(("Content-Type", "application/json"))
        self.response_headers.append(("Content-Length", str(len(body))))
        self.response_headers.append(("Connection", "close"))
        self.close_on_finish = True
        self.channel.refused = True
        self.content_length = len(body)
        self.write(body)


class KeepAliveTask(WSGITask):  # type: ignore[misc]
    """Keep the connection after a chunked answer, which tells its own end."""

    def set_close_on_finish(self) -> None:
        """Close only where the length of the answer is not known otherwise."""
        if not self.chunked_response:
            super().set_close_on_finish()


class EntryChannel(HTTPChannel):  # type: ignore[misc]
    """A connection with typed parse errors, polled only between its requests.

    The loop that polls all connections would wake for every chunk that a thread is
    just sending, and look at every other connection each time.
    """

    task_class = KeepAliveTask
    error_task_class = TypedErrorTask
    # Whether a request was refused before it was read to its end.
    refused = False
    # Whether the caller's end was found closed while nobody polls the connection.
    _broken = False
    # Bytes dropped since our end was shut down; none while it is open.
    _dropped: int | None = None

    def send(self, data: bytes, do_close: bool = True) -> int:
        """Return the bytes that the connection took, and note where it broke."""
        try:
            return int(self.socket.send(data))
        except BlockingIOError:
            return 0
        except OSError:
            self._broken = True
            if do_close:
                self.handle_close()
            return 0

    def write_soon(self, data: bytes) -> int:
        """Add to what is sent; ClientDisconnected where the caller has gone."""
        written = 0 if self._broken else int(super().write_soon(data))
        if self._broken:
            raise ClientDisconnected
        return written

    def readable(self) -> bool:
        """Tell whether to wait for bytes, also for those to drop."""
        return self._dropped is not None or bool(super().readable())

    def handle_read(self) -> None:
        """Read a part of a request, or drop a part of a refused one."""
        if self._dropped is None:
            super().handle_read()
            return
        self._dropped += len(self.recv(self.adj.recv_bytes))
        if self.connected and self._dropped > MAX_DROPPED_BYTES:
            self.handle_close()

    def handle_close(self) -> None:
        """Close; after a refusal, shut our end first and wait for the caller's.

        A close over unread bytes would reset the connection, and the caller might
        lose the answer. The idle timeout ends the wait.
        """
        ended = self._broken or not self.connected or self._dropped is not None
        if ended or not self.refused:
            super().handle_close()
            return
        self._dropped = 0
        self.will_close = False
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            super().handle_close()

    def service(self) -> None:
        """Answer the request at hand with the connection out of the poll."""
        polled, descriptor = self.server.polled, self.socket.fileno()
        polled.pop(descriptor, None)
        try:
            super().service()
        finally:
            if self.connected:
                polled[descriptor] = self
                self.server.pull_trigger()


class Listener:
    """A waitress server on its own thread."""

    def __init__(self, app: WsgiApp, settings: ListenerSettings) -> None:
        # Every polled socket by its descriptor, shared with the server.
        polled: dict[int, Any] = {}
        self._server = create_server(
            app,
            map=polled,
            host=settings.host,
            port=settings.port,
            threads=settings.threads,
            backlog=BACKLOG,
            connection_limit=CONNECTION_LIMIT,
            channel_timeout=settings.idle_timeout_seconds,
            max_request_body_size=settings.max_body_bytes,
            max_request_header_size=settings.max_header_bytes,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        self._server.channel_class = EntryChannel
        self._server.polled = polled
        self._thread = threading.Thread(target=self._run, name="listener", daemon=True)

    @property
    def port(self) -> int:
        """Return the port that the listener serves."""
        return int(self._server.effective_port)

    def start(self) -> None:
        """Serve in the background."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listener and its connections."""
        self._server.close()
        self._server.task_dispatcher.shutdown(timeout=STOP_SECONDS)

    def _run(self) -> None:
        self._server.run()
