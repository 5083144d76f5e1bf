"""The reader thread, which reads all running response streams.

With one thread per stream, each token would cause a context switch, which costs more
than processing the token.
"""

import functools
import selectors
import socket
import threading
from collections.abc import Callable
from typing import Protocol

import logbook

from masticfork.backends.failures import CallFailure, FailureKind, Stage

MAX_READ_BYTES = 1 << 16
# Interval between two checks of the deadlines of all streams.
TIMEOUT_CHECK_SECONDS = 0.25

_log = logbook.Logger("pump")


class Readable(Protocol):
    """A stream that the reader thread reads."""

    @property
    def socket(self) -> socket.socket:
        """Return the connection's socket, which must be non-blocking."""

    def feed(self, data: bytes) -> bool:
        """Process received bytes, none at end of file; return whether to read on."""

    def check_timeouts(self, now: float) -> bool:
        """Fail the stream if its deadline has passed; return whether to read on."""

    def fail(self, failure: CallFailure) -> None:
        """End the stream with a failure; its socket is not read any more."""

    def finish(self) -> None:
        """Report the end to the stream's user; its socket is not read any more."""


class StreamReader:
    """A thread that reads every stream as soon as its socket is readable."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._new_streams: list[Readable] = []
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ, None)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="pump", daemon=True)
        self._thread.start()

    def add(self, stream: Readable) -> None:
        """Start to read the stream; callable from any thread."""
        with self._lock:
            self._new_streams.append(stream)
        self._wake_sender.send(b"x")

    def stop(self) -> None:
        """Stop the thread; streams still running are neither read on nor closed."""
        self._stopped.set()
        self._wake_sender.send(b"x")
        self._thread.join()

    def _run(self) -> None:
        next_timeout_check = self._now() + TIMEOUT_CHECK_SECONDS
        while not self._stopped.is_set():
            for key, _ in self._selector.select(TIMEOUT_CHECK_SECONDS):
                if key.data is None:
                    self._register_new_streams()
                else:
                    self._read(key.data)
            if self._now() >= next_timeout_check:
                self._check_timeouts()
                next_timeout_check = self._now() + TIMEOUT_CHECK_SECONDS

    def _register_new_streams(self) -> None:
        self._wake_receiver.recv(MAX_READ_BYTES)
        with self._lock:
            new_streams, self._new_streams = self._new_streams, []
        for stream in new_streams:
            self._selector.register(stream.socket, selectors.EVENT_READ, stream)

    def _read(self, stream: Readable) -> None:
        try:
            data = stream.socket.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            name = type(error).__name__
            self._unregister(stream)
            stream.fail(CallFailure(Stage.ANSWERING, FailureKind.CONNECTION, name))
            return
        self._run_step(stream, functools.partial(stream.feed, data))

    def _check_timeouts(self) -> None:
        now = self._now()
        streams = [key.data for key in self._selector.get_map().values() if key.data]
        for stream in streams:
            self._run_step(stream, functools.partial(stream.check_timeouts, now))

    def _run_step(self, stream: Readable, step: Callable[[], bool]) -> None:
        try:
            keep_reading = step()
        except Exception as error:
            # An error in one stream must not stop the others.
            _log.exception("unexpected error while reading a stream")
            self._unregister(stream)
            kind = FailureKind.MALFORMED_ANSWER
            stream.fail(CallFailure(Stage.ANSWERING, kind, repr(error)))
            return
        if not keep_reading:
            self._unregister(stream)
            stream.finish()

    def _unregister(self, stream: Readable) -> None:
        try:
            self._selector.unregister(stream.socket)
        except (KeyError, ValueError):
            _log.debug("stream was not registered for reading")
