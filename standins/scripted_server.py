"""Stand-in for a backend server whose responses are produced by a script."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator

import attrs

# SO_LINGER with a zero timeout: closing the socket sends a TCP reset.
LINGER_RESET = struct.pack("ii", 1, 0)
READ_BYTES = 65536
BACKLOG = 64


@attrs.frozen
class ReceivedRequest:
    """A request as received by the server."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Return the attempt ID sent by the caller, or an empty string."""
        return self.headers.get("x-masticfork-attempt-id", "")


class ResetConnectionError(Exception):
    """Raised by a script to reset the connection."""


class CloseConnectionError(Exception):
    """Raised by a script to close the connection cleanly."""


# Yields the bytes of a response; may sleep, or raise one of the exceptions above.
Script = Callable[[ReceivedRequest], Iterator[bytes]]


class ScriptedServer:
    """Accepts connections and serves each with a script, in its own thread."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        # Requests whose caller closed the connection before the end of the response.
        self.abandoned = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self._open_sockets: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the listening address as `HOST:PORT`."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and close all connections."""
        # Closing alone does not wake a thread blocked in `accept`, which would keep the
        # socket open.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in list(self._open_sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            self._open_sockets.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            buffer = b""
            while True:
                request, buffer = _read_request(sock, buffer)
                if request is None:
                    break
                self.requests.append(request)
                for data in self.script(request):
                    self._send(sock, data)
        except ResetConnectionError:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        except (OSError, CloseConnectionError):
            pass
        finally:
            self._open_sockets.discard(sock)
            sock.close()

    def _send(self, sock: socket.socket, data: bytes) -> None:
        sock.setblocking(False)
        try:
            disconnected = sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            disconnected = False
        except OSError:
            disconnected = True
        sock.setblocking(True)
        if disconnected:
            self.abandoned += 1
            raise ConnectionAbortedError
        sock.sendall(data)


def response(
    request: ReceivedRequest,
    body: bytes,
    status: str = "200 OK",
    extra: dict[str, str] | None = None,
) -> bytes:
    """Return a complete response with the headers that mark it as the server's."""
    lines = [f"HTTP/1.1 {status}", f"X-Masticfork-Attempt-Id: {request.attempt_id}"]
    headers = {"X-Masticfork-Server-Stamp": "s1", "Content-Length": str(len(body))}
    headers.update(extra or {})
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def overloaded_response() -> bytes:
    """Return the response of an overloaded server that did not run the request."""
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nX-Masticfork-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )


def misdirected_response() -> bytes:
    """Return the response of a server that is not the expected one."""
    return b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"


def stream_head(request: ReceivedRequest, confidence: int | None = None) -> bytes:
    """Return the status line and headers of an event stream."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Masticfork-Attempt-Id: {request.attempt_id}",
        "X-Masticfork-Server-Stamp: s1",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    if confidence is not None:
        lines.append(f"X-Masticfork-Confidence: {confidence}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def unframed_head(request: ReceivedRequest, status: str = "200 OK") -> bytes:
    """Return the head of a response that ends with its connection."""
    return (
        f"HTTP/1.1 {status}\r\nX-Masticfork-Attempt-Id: {request.attempt_id}\r\n"
        "X-Masticfork-Server-Stamp: s1\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return data encoded as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int, text: str = "x") -> bytes:
    """Return one server-sent event."""
    return f"id: {number}\ndata: {text}{number}\n\n".encode()


def events(
    request: ReceivedRequest,
    count: int,
    pause: float = 0.0,
    confidence: int | None = None,
) -> Iterator[bytes]:
    """Yield an event stream that starts after the request's `Last-Event-ID`.

    `pause` is the delay before each event, in seconds.
    """
    first = int(request.headers.get("last-event-id", "0")) + 1
    yield stream_head(request, confidence)
    for number in range(first, count + 1):
        time.sleep(pause)
        yield chunk(event(number))
    yield b"0\r\n\r\n"


def _read_request(
    sock: socket.socket, buffer: bytes
) -> tuple[ReceivedRequest | None, bytes]:
    while b"\r\n\r\n" not in buffer:
        data = sock.recv(READ_BYTES)
        if not data:
            return None, b""
        buffer += data
    head, _, buffer = buffer.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    length = int(headers.get("content-length", "0"))
    while len(buffer) < length:
        data = sock.recv(READ_BYTES)
        if not data:
            return None, b""
        buffer += data
    return ReceivedRequest(method, target, headers, buffer[:length]), buffer[length:]
