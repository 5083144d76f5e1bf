"""Periodic background tasks, each on its own thread."""

import threading
from collections.abc import Callable

import logbook

_log = logbook.Logger("loops")


class Loop:
    """Calls a function periodically, with a pause before each call."""

    def __init__(
        self, name: str, pause_seconds: float, step: Callable[[], None]
    ) -> None:
        self._name = name
        self._pause_seconds = pause_seconds
        self._step = step
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self, *, wait: bool = False) -> None:
        """Stop after the current step; with `wait`, block until it has ended."""
        self._stopped.set()
        if wait:
            self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(self._pause_seconds):
            try:
                self._step()
            except Exception:
                # A failed step must not end the loop.
                _log.exception("step failed", loop=self._name)
