"""Hosts whose store holds large entries of another writer, as real processes."""

import json
import signal
import threading
import time
from contextlib import ExitStack
from pathlib import Path

import pytest

from masticfork.core.backend_servers import Address
from soak.stop_test import wait_until_ready
from standins.common import LOOPBACK, serving
from standins.entry_environment import SERVICE, configuration, server_entry
from standins.object_store import ObjectStore
from standins.scripted_server import ScriptedServer, response
from tools.processes import stop_all
from tools.run_platform import MachineLimits, start_host

HOSTS = 3
# Memory of the smallest machines of the users' deployments.
MEMORY_MB = 205
# An entry may be as large as the store admits; their number is not bounded.
ENTRY_BYTES, ENTRIES, GAP_SECONDS = 1 << 20, 12, 0.1
SAMPLE_SECONDS, SETTLE_SECONDS, STOP_SECONDS = 0.01, 1.0, 6.0
USUAL_SERVER = {
    "service": SERVICE,
    "address": "127.0.0.1:9",
    "zone": "zone-b",
    "version": "v0",
    "slots": 1,
    "state": "draining",
}
ORDER = {"service": "other", "target": "v2", "duration_s": 9}


def entry(fields, name, unit=b"{}"):
    """Return an entry with a field that is as large as one may be."""
    start = json.dumps(fields)[:-1].encode() + b', "' + name.encode() + b'": ['
    count = (ENTRY_BYTES - len(start) - 200) // (len(unit) + 1)
    return start + b",".join([unit] * count) + b"]}"


# By what is written, the kind and the entry.
ENTRIES_BY_CASE = {
    "no server": ("servers", entry({"service": SERVICE, "state": "ready"}, "address")),
    "nested": ("servers", entry({"state": "ready"}, "address", b'{"":{"":{"":{}}}}')),
    "server": ("servers", entry(USUAL_SERVER, "models")),
    "no order": ("rollouts", entry({"service": "other"}, "target")),
    "order": ("rollouts", entry(ORDER, "notes")),
    "other configuration": ("config", entry({"version": 1}, "routes")),
    "host": ("masticfork-hosts", entry({"zone": "zone-a"}, "address")),
}


class MemorySamples:
    """The largest memory of each process without its files, in MB."""

    def __init__(self, programs):
        self.programs = programs
        self.peaks = dict.fromkeys((program.name for program in programs), 0.0)
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        self.thread.join()

    def _run(self):
        while not self.stopped.wait(SAMPLE_SECONDS):
            for program in self.programs:
                status = Path(f"/proc/{program.pid}/status").read_text()
                (line,) = [x for x in status.splitlines() if x.startswith("RssAnon")]
                megabytes = int(line.split()[1]) / 1024
                self.peaks[program.name] = max(self.peaks[program.name], megabytes)


class TestLargeEntries:
    @pytest.mark.parametrize("case", ENTRIES_BY_CASE)
    def test_hosts_stay_within_their_memory_and_start_again(self, tmp_path, case):
        """Guards against hosts that keep decoded what other writers have stored."""
        kind, large = ENTRIES_BY_CASE[case]
        store = ObjectStore()
        server = ScriptedServer(lambda request: iter([response(request, b"whole")]))
        store.put("config", "main", configuration(1))
        store.put("servers", "i-1", server_entry(server, SERVICE))
        with ExitStack() as stack:
            address = Address(LOOPBACK, stack.enter_context(serving(store)).port)
            stack.callback(server.close)
            hosts = [
                start_host(n, address, tmp_path, limits=MachineLimits(MEMORY_MB))
                for n in range(HOSTS)
            ]
            programs = [host.program for host in hosts]
            stack.callback(stop_all, programs, STOP_SECONDS)
            for host in hosts:
                wait_until_ready(host.ready)
            with MemorySamples(programs) as running:
                for number in range(ENTRIES):
                    store.put_raw(kind, f"other-{number:02}", large)
                    time.sleep(GAP_SECONDS)
                time.sleep(SETTLE_SECONDS)
            for program in programs:
                program.signal(signal.SIGKILL)
                program.wait(STOP_SECONDS)
                program.start()
            with MemorySamples(programs) as starting:
                for host in hosts:
                    wait_until_ready(host.ready)
            peaks = [running.peaks, starting.peaks]
            assert max(max(peak.values()) for peak in peaks) < MEMORY_MB
