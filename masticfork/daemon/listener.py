"""HTTP listeners on waitress, with API error bodies for requests that it rejects."""

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

# Connections that the kernel queues until the listener accepts them.
BACKLOG = 1024
CONNECTION_LIMIT = 4096
STOP_TIMEOUT_SECONDS = 5.0
# Maximum number of bytes of a refused request that are read and discarded so that the
# caller can read the error response before the connection closes.
MAX_DISCARDED_BYTES = 64 << 20


@attrs.frozen
class ListenerSettings:
    """Address, thread count and limits of a listener."""

    host: str
    port: int
    threads: int
    max_body_bytes: int
    max_header_bytes: int
    idle_timeout_seconds: int


class TypedErrorTask(ErrorTask):  # type: ignore[misc]
    """Responds to an unparsable request with the error body of the API."""

    def execute(self) -> None:
        """Write the error response and close the connection."""
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
    """Keeps the connection open after a chunked response, which delimits itself."""

    def set_close_on_finish(self) -> None:
        """Close the connection only if it must mark the end of the response."""
        if not self.chunked_response:
            super().set_close_on_finish()


class EntryChannel(HTTPChannel):  # type: ignore[misc]
    """A connection with API error bodies, polled only between its requests.

    If it were polled while a thread sends its response, the polling loop would wake
    for every chunk and scan all other connections each time.
    """

    task_class = KeepAliveTask
    error_task_class = TypedErrorTask
    # Whether a request was refused before all of it was read.
    refused = False
    # Whether a send failed because the caller closed the connection.
    _send_failed = False
    # Bytes discarded since the write side was shut down; None while it is open.
    _discarded_bytes: int | None = None

    def send(self, data: bytes, do_close: bool = True) -> int:
        """Send data; return the bytes sent, 0 if the send would block or failed."""
        try:
            return int(self.socket.send(data))
        except BlockingIOError:
            return 0
        except OSError:
            self._send_failed = True
            if do_close:
                self.handle_close()
            return 0

    def write_soon(self, data: bytes) -> int:
        """Queue data to send; raise ClientDisconnected if the caller has gone."""
        written = 0 if self._send_failed else int(super().write_soon(data))
        if self._send_failed:
            raise ClientDisconnected
        return written

    def readable(self) -> bool:
        """Return whether to poll for input, including input to discard."""
        return self._discarded_bytes is not None or bool(super().readable())

    def handle_read(self) -> None:
        """Read part of a request, or discard part of a refused one."""
        if self._discarded_bytes is None:
            super().handle_read()
            return
        self._discarded_bytes += len(self.recv(self.adj.recv_bytes))
        if self.connected and self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.handle_close()

    def handle_close(self) -> None:
        """Close; after a refusal, shut down writing and wait for the caller to close.

        Closing with unread input would reset the connection, and the caller might
        lose the response. The idle timeout bounds the wait.
        """
        can_close = (
            self._send_failed or not self.connected or self._discarded_bytes is not None
        )
        if can_close or not self.refused:
            super().handle_close()
            return
        self._discarded_bytes = 0
        self.will_close = False
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            super().handle_close()

    def service(self) -> None:
        """Handle the current request while the connection is not polled."""
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
        # Polled sockets by file descriptor, shared with the waitress server.
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
        """Return the port that the listener is bound to."""
        return int(self._server.effective_port)

    def start(self) -> None:
        """Serve in the background."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listener and its connections."""
        self._server.close()
        self._server.task_dispatcher.shutdown(timeout=STOP_TIMEOUT_SECONDS)

    def _run(self) -> None:
        self._server.run()
