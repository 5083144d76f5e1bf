"""Run the processes to be measured and read their resource usage."""

import http.client
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from standins.ports import free_port

START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 10.0
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Fields of /proc/PID/stat after the command name; field 0 is the state.
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12


def cpu_seconds(pid: int) -> float:
    """Return the user and system processor time of a process in seconds."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES


@contextmanager
def standin(name: str, *options: str) -> Iterator[int]:
    """Run a stand-in on a free port while the context lasts; yield the port."""
    port = free_port()
    command = [sys.executable, "-m", f"standins.{name}", "--port", str(port), *options]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            if process.stdout is not None:
                process.stdout.readline()
            yield port
        finally:
            _terminate(process)


@contextmanager
def daemon(settings: Path) -> Iterator[int]:
    """Run a daemon while the context lasts; yield its process id.

    Its output goes to a log file next to the settings file.
    """
    module = "masticfork.scripts.masticforkd"
    command = [sys.executable, "-m", module, "--settings", str(settings)]
    with (
        settings.with_suffix(".log").open("w") as log,
        subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT) as process,
    ):
        try:
            yield process.pid
        finally:
            _terminate(process)


def wait_until_ok(path: str, port: int) -> None:
    """Wait until a path answers 200; raise TimeoutError after 20 s."""
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        try:
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=2)
            connection.request("GET", path)
            if connection.getresponse().status == 200:
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{path} at port {port} did not answer 200 in time")


def _terminate(process: "subprocess.Popen[str] | subprocess.Popen[bytes]") -> None:
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
