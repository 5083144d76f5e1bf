"""Open-loop load generator for streamed answers.

A pool of threads sends the requests on schedule; one thread reads all streams.
"""

import http.client
import json
import selectors
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from queue import SimpleQueue

import attrs
from hdrh.histogram import HdrHistogram

CHAT_PATH = "/v1/chat/completions"
SENDER_THREADS = 64
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3
READ_BYTES = 1 << 18
TAIL_BYTES = 8
# Each streamed token is an event with an id line.
_TOKEN_PREFIX = b"id: "
_DONE_MARKER = b"[DONE]"


@attrs.frozen
class StreamLoad:
    """Parameters of a load; requests are spread over the ports in turn."""

    ports: tuple[int, ...]
    model: str
    requests_per_second: float
    seconds: float
    max_tokens: int
    key: str = ""
    class_name: str = "drafting"


@attrs.define
class Histogram:
    """Latency histogram with a resolution of microseconds."""

    data: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
        )
    )

    def add(self, seconds: float) -> None:
        """Record a latency in seconds."""
        self.data.record_value(max(LOWEST_MICROSECONDS, int(seconds * 1e6)))

    def milliseconds(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return round(float(self.data.get_value_at_percentile(percentile)) / 1000, 3)


@attrs.define
class StreamResults:
    """Results of a load; `errors` holds a line for each failed request."""

    first_token: Histogram = attrs.field(factory=Histogram)
    token_gap: Histogram = attrs.field(factory=Histogram)
    tokens: int = 0
    answers: int = 0
    errors: list[str] = attrs.field(factory=list)


@attrs.define
class _Stream:
    connection: http.client.HTTPConnection
    due: float
    last_token_at: float = 0.0
    tail: bytes = b""


class StreamLoader:
    """Sends requests on a fixed schedule, whether or not earlier ones have ended.

    The time to the first token counts from when the request was due.
    """

    def __init__(self, load: StreamLoad) -> None:
        self._load = load
        self._results = StreamResults()
        self._selector = selectors.DefaultSelector()
        self._new_streams: SimpleQueue[_Stream] = SimpleQueue()
        self._wake_read, self._wake_write = socket.socketpair()
        self._unfinished = 0
        self._lock = threading.Lock()

    def run(self) -> StreamResults:
        """Send all requests, read all answers and return the results."""
        total = int(self._load.requests_per_second * self._load.seconds)
        self._unfinished = total
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        sender = threading.Thread(target=self._send_all, args=(total,))
        sender.start()
        while self._unfinished > 0:
            self._read_ready()
        sender.join()
        return self._results

    def _send_all(self, total: int) -> None:
        started = time.monotonic()
        with ThreadPoolExecutor(SENDER_THREADS) as pool:
            for number in range(total):
                due = started + number / self._load.requests_per_second
                time.sleep(max(0.0, due - time.monotonic()))
                pool.submit(self._send, number, due)

    def _send(self, number: int, due: float) -> None:
        load = self._load
        body = {
            "model": load.model,
            "messages": [{"role": "user", "content": f"quote {number}"}],
            "max_tokens": load.max_tokens,
            "stream": True,
        }
        headers = {
            "Authorization": f"Bearer {load.key}",
            "Content-Type": "application/json",
            "X-Request-Id": f"load-{id(self)}-{number}",
            "Masticfork-Class": load.class_name,
        }
        port = load.ports[number % len(load.ports)]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
        try:
            connection.request("POST", CHAT_PATH, json.dumps(body), headers)
        except OSError as error:
            self._finish(f"send: {error!r}")
            return
        connection.sock.setblocking(False)
        self._new_streams.put(_Stream(connection, due))
        self._wake_write.send(b"x")

    def _read_ready(self) -> None:
        for key, _ in self._selector.select(timeout=1.0):
            if key.data is None:
                self._wake_read.recv(READ_BYTES)
                self._register_new()
            else:
                self._read(key.data)

    def _register_new(self) -> None:
        while not self._new_streams.empty():
            stream = self._new_streams.get()
            self._selector.register(
                stream.connection.sock, selectors.EVENT_READ, stream
            )

    def _read(self, stream: _Stream) -> None:
        try:
            data = stream.connection.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._close(stream, repr(error))
            return
        now = time.monotonic()
        # A marker may be split over two reads, so the last bytes are kept.
        text = stream.tail + data
        tokens = text.count(_TOKEN_PREFIX) - stream.tail.count(_TOKEN_PREFIX)
        stream.tail = text[-TAIL_BYTES:]
        self._record_tokens(stream, tokens, now)
        if _DONE_MARKER in text:
            self._results.answers += 1
            self._close(stream, None)
        elif not data:
            self._close(stream, "connection closed before the end of the answer")

    def _record_tokens(self, stream: _Stream, tokens: int, now: float) -> None:
        for _ in range(tokens):
            if not stream.last_token_at:
                self._results.first_token.add(now - stream.due)
            else:
                self._results.token_gap.add(now - stream.last_token_at)
            stream.last_token_at = now
        self._results.tokens += tokens

    def _close(self, stream: _Stream, error: str | None) -> None:
        self._selector.unregister(stream.connection.sock)
        stream.connection.close()
        self._finish(error)

    def _finish(self, error: str | None) -> None:
        with self._lock:
            self._unfinished -= 1
            if error is not None:
                self._results.errors.append(error)
