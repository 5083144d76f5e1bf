"""Stand-in for a backend server of the users, whose answers a script writes."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator

import attrs

RESET = struct.pack("ii", 1, 0)
READ_BYTES = 65536
BACKLOG = 64


@attrs.frozen
class Asked:
    """A request as the server read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Return the caller's identifier."""
        return self.headers.get("x-masticfork-attempt-id", "")


class ResetConnectionError(Exception):
    """Raised by a script to reset the connection."""


class CloseConnectionError(Exception):
    """Raised by a script to close the connection cleanly."""


# Yields the bytes of an answer; may sleep between them, or raise one of the above.
Script = Callable[[Asked], Iterator[bytes]]


class ScriptedServer:
    """Accepts connections and answers by a script, each on a thread of its own."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.asked: list[Asked] = []
        self.connections = 0
        # Requests whose caller closed the connection before the answer's end.
        self.abandoned = 0
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self._open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return HOST:PORT."""
        host, port = self._sock.getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and close all connections."""
        # A thread that waits in `accept` keeps a socket that is only closed.
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        for sock in list(self._open):
            sock.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            self.connections += 1
            self._open.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            rest = b""
            while True:
                asked, rest = _read_request(sock, rest)
                if asked is None:
                    break
                self.asked.append(asked)
                for data in self.script(asked):
                    self._send(sock, data)
        except ResetConnectionError:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        except (OSError, CloseConnectionError):
            pass
        finally:
            self._open.discard(sock)
            sock.close()

    def _send(self, sock: socket.socket, data: bytes) -> None:
        sock.setblocking(False)
        try:
            gone = sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            gone = False
        except OSError:
            gone = True
        sock.setblocking(True)
        if gone:
            self.abandoned += 1
            raise ConnectionAbortedError
        sock.sendall(data)


def answer(
    asked: Asked,
    body: bytes,
    status: str = "200 OK",
    extra: dict[str, str] | None = None,
) -> bytes:
    """Return a whole signed answer."""
    lines = [f"HTTP/1.1 {status}", f"X-Masticfork-Attempt-Id: {asked.attempt_id}"]
    headers = {"X-Masticfork-Server-Stamp": "s1", "Content-Length": str(len(body))}
    headers.update(extra or {})
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def refusal() -> bytes:
    """Return the answer of a server that has no room."""
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nX-Masticfork-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )


def stream_head(asked: Asked, confidence: int | None = None) -> bytes:
    """Return the head of a stream of events."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Masticfork-Attempt-Id: {asked.attempt_id}",
        "X-Masticfork-Server-Stamp: s1",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    if confidence is not None:
        lines.append(f"X-Masticfork-Confidence: {confidence}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int, text: str = "x") -> bytes:
    """Return one event."""
    return f"id: {number}\ndata: {text}{number}\n\n".encode()


def events(
    asked: Asked, count: int, pause: float = 0.0, confidence: int | None = None
) -> Iterator[bytes]:
    """Yield a stream of events after the last one that the caller names."""
    first = int(asked.headers.get("last-event-id", "0")) + 1
    yield stream_head(asked, confidence)
    for number in range(first, count + 1):
        time.sleep(pause)
        yield chunk(event(number))
    yield b"0\r\n\r\n"


def _read_request(sock: socket.socket, rest: bytes) -> tuple[Asked | None, bytes]:
    while b"\r\n\r\n" not in rest:
        data = sock.recv(READ_BYTES)
        if not data:
            return None, b""
        rest += data
    head, _, rest = rest.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        data = sock.recv(READ_BYTES)
        if not data:
            return None, b""
        rest += data
    return Asked(method, target, headers, rest[:length]), rest[length:]
