"""Read all running answer streams on one thread.

A thread for each stream would wake for each token; the change of threads costs more
than the token's own work.
"""

import functools
import selectors
import socket
import threading
from collections.abc import Callable
from typing import Protocol

import logbook

from masticfork.backends.failures import CallFailure, FailureKind, Stage

READ_BYTES = 1 << 16
# How often streams are looked at for their deadlines.
SWEEP_SECONDS = 0.25

_log = logbook.Logger("pump")


class Readable(Protocol):
    """A stream that takes in what its connection gives."""

    @property
    def socket(self) -> socket.socket:
        """Return the connection's socket, which does not block."""

    def feed(self, data: bytes) -> bool:
        """Take in bytes, none at the end of the connection; false when done."""

    def sweep(self, now: float) -> bool:
        """Fail where the deadline has passed; false when done."""

    def fail(self, failure: CallFailure) -> None:
        """End with a failure."""

    def finish(self) -> None:
        """Tell the stream's user of its end; its socket is not read any more."""


class StreamPump:
    """One thread that feeds every stream as soon as its socket is readable."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._added: list[Readable] = []
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="pump", daemon=True)
        self._thread.start()

    def add(self, stream: Readable) -> None:
        """Read the stream from now on."""
        with self._lock:
            self._added.append(stream)
        self._wake_write.send(b"x")

    def stop(self) -> None:
        """End the thread; streams under way are left as they are."""
        self._stopped.set()
        self._wake_write.send(b"x")
        self._thread.join()

    def _run(self) -> None:
        next_sweep = self._now() + SWEEP_SECONDS
        while not self._stopped.is_set():
            for key, _ in self._selector.select(SWEEP_SECONDS):
                if key.data is None:
                    self._take_added()
                else:
                    self._read(key.data)
            if self._now() >= next_sweep:
                self._sweep()
                next_sweep = self._now() + SWEEP_SECONDS

    def _take_added(self) -> None:
        self._wake_read.recv(READ_BYTES)
        with self._lock:
            added, self._added = self._added, []
        for stream in added:
            self._selector.register(stream.socket, selectors.EVENT_READ, stream)

    def _read(self, stream: Readable) -> None:
        try:
            data = stream.socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            name = type(error).__name__
            self._drop(stream)
            stream.fail(CallFailure(Stage.ANSWERING, FailureKind.CONNECTION, name))
            return
        self._guarded(stream, functools.partial(stream.feed, data))

    def _sweep(self) -> None:
        now = self._now()
        streams = [key.data for key in self._selector.get_map().values() if key.data]
        for stream in streams:
            self._guarded(stream, functools.partial(stream.sweep, now))

    def _guarded(self, stream: Readable, step: Callable[[], bool]) -> None:
        try:
            goes_on = step()
        except Exception as error:
            # A fault in one stream must not stop the others.
            _log.exception("stream failed")
            self._drop(stream)
            kind = FailureKind.MALFORMED_ANSWER
            stream.fail(CallFailure(Stage.ANSWERING, kind, repr(error)))
            return
        if not goes_on:
            self._drop(stream)
            stream.finish()

    def _drop(self, stream: Readable) -> None:
        try:
            self._selector.unregister(stream.socket)
        except (KeyError, ValueError):
            _log.debug("stream was not read")
