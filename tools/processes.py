"""Child processes of the launchers: start, signal and stop them."""

import ctypes
import json
import os
import select
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
# From <sys/prctl.h>: the signal that a process gets when its parent dies.
PR_SET_PDEATHSIG = 1
ERROR_LOG_CHARACTERS = 2000
_LIBC = ctypes.CDLL(None)


class StartError(Exception):
    """Raised when a program does not start; the message has the end of its log."""


class Program:
    """A Python module run as a child process in a source folder, with a log file.

    `arguments` are the module's name and command line; the log is folder/name.log. The
    `source` may be changed between two starts.
    """

    def __init__(
        self, name: str, arguments: list[str], folder: Path, source: Path = ROOT
    ) -> None:
        self.name = name
        self.source = source
        self._command = [sys.executable, "-m", *arguments]
        self._log_path = folder / f"{name}.log"
        self._process: subprocess.Popen[str] | None = None

    @property
    def pid(self) -> int:
        """Return the process id of the latest start."""
        return self._started_process().pid

    @property
    def alive(self) -> bool:
        """Return whether the program is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, -N if killed by signal N, or None while running."""
        return self._started_process().poll()

    @property
    def log(self) -> str:
        """Return the log of all starts; empty if there is none."""
        return (
            self._log_path.read_text(errors="replace")
            if self._log_path.exists()
            else ""
        )

    def start(self, *, reports_ready: bool = False) -> None:
        """Start the program.

        With `reports_ready`, standard output is a pipe for `read_ready_line`.
        """
        with self._log_path.open("a") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=self.source,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE if reports_ready else log,
                stderr=log,
                text=True,
                preexec_fn=_kill_with_parent,
            )

    def read_ready_line(self, seconds: float) -> dict[str, Any]:
        """Return the JSON line that the program prints when it is ready.

        Raise StartError if there is none within `seconds`.
        """
        stdout = self._started_process().stdout
        if stdout is None:
            raise self.start_error("was not started with reports_ready")
        poller = select.poll()
        poller.register(stdout, select.POLLIN)
        readable = poller.poll(seconds * 1000.0)
        line = stdout.readline() if readable else ""
        if not line:
            raise self.start_error(f"printed no ready line within {seconds} s")
        ready_line: dict[str, Any] = json.loads(line)
        return ready_line

    def start_error(self, reason: str) -> StartError:
        """Return a StartError with the reason and the end of the log."""
        return StartError(f"{self.name} {reason}\n{self.log[-ERROR_LOG_CHARACTERS:]}")

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the program if it is running."""
        if self.alive:
            os.kill(self.pid, signum)

    def stop(self, seconds: float) -> bool:
        """Send SIGTERM, after `seconds` SIGKILL; return whether SIGTERM was enough."""
        if not self.alive:
            return True
        # A process stopped by SIGSTOP does not handle SIGTERM until it continues.
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        return self.wait(seconds) or not self.kill()

    def wait(self, seconds: float) -> bool:
        """Wait up to `seconds` for the program to exit; return whether it did."""
        try:
            self._started_process().wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def kill(self) -> bool:
        """Send SIGKILL and wait for the exit; return whether it was running."""
        was_running = self.alive
        self.signal(signal.SIGKILL)
        self._started_process().wait()
        return was_running

    def _started_process(self) -> subprocess.Popen[str]:
        if self._process is None:
            raise StartError(f"{self.name} was not started")
        return self._process


def stop_all(programs: list[Program], seconds: float) -> list[str]:
    """Stop programs concurrently; return the names of those that had to be killed."""
    for program in programs:
        program.signal(signal.SIGCONT)
        program.signal(signal.SIGTERM)
    until = time.monotonic() + seconds
    running = [program for program in programs if program.alive]
    killed = [p for p in running if not p.wait(max(0.0, until - time.monotonic()))]
    for program in killed:
        program.kill()
    return [program.name for program in killed]


def _kill_with_parent() -> None:
    # A launcher killed by SIGKILL cannot stop its children itself.
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
