import json
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from http.client import HTTPException

import pytest

from masticfork.core.findings import Severity
from masticfork.core.ids import AttemptId, RequestId, TeamName, VersionId
from masticfork.ledger.bill_audit import ExpectedUsage, Generation
from masticfork.ledger.bill_audit import audit as audit_batches
from masticfork.ledger.bill_records import BillIdentity
from masticfork.store.http import HttpObjectStore
from proofs.calling import TEAM, Caller, new_key, wait_for
from proofs.counting import engine_names, generations, set_faults
from tools import launch
from tools.launch_options import Options
from tools.processes import ROOT

TOKENS = 30
OPTIONS = Options(
    hosts=4,
    engines_per_pool=2,
    service_servers=1,
    tokens=TOKENS,
    token_seconds=0.02,
    first_token_seconds=0,
)
KILLED = "entry-4"


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


@pytest.fixture
def caller(cluster):
    yield Caller(cluster)
    set_faults(cluster, "platform", down=False)


class Load:
    """Streams on several hosts; remembers who got the end of its answer."""

    def __init__(self, caller, hosts):
        self.answered = set()
        self.started = 0
        self._caller = caller
        self._hosts = hosts
        self._stopped = threading.Event()
        self._lock = threading.Lock()

    def run(self, seconds, during):
        with ThreadPoolExecutor(2 * len(self._hosts)) as pool:
            done = [pool.submit(self._stream, host) for host in 2 * self._hosts]
            time.sleep(seconds / 2)
            during()
            time.sleep(seconds / 2)
            self._stopped.set()
            for future in done:
                future.result()

    def _stream(self, host):
        while not self._stopped.is_set():
            key = new_key()
            with self._lock:
                self.started += 1
            # A killed host breaks its streams and refuses new ones.
            with suppress(OSError, HTTPException):
                stream = self._caller.stream(host, f"bill {key}", key).read_all()
                if stream.whole and stream.tokens == TOKENS:
                    assert stream.content == stream.expected
                    with self._lock:
                        self.answered.add(key)
                    continue
            time.sleep(0.1)


def run_tool(cluster, *arguments):
    """Run the operator's tool against the first host."""
    command = [sys.executable, "-m", "masticfork.scripts.masticfork"]
    connected = ["--url", cluster.admins[0], "--output", "json"]
    environment = {"MASTICFORK_KEY": cluster.secrets.admin_key}
    return subprocess.run(
        [*command, *arguments, *connected],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )


def audit(cluster):
    """Return what `masticfork bills --audit` finds."""
    engines = [
        part
        for name in engine_names(cluster)
        for part in ("--engine", cluster.standins[name])
    ]
    shown = run_tool(cluster, "bills", "--audit", *engines)
    assert shown.stdout, shown.stderr
    return json.loads(shown.stdout)


def billed(cluster):
    """Return the identities of all billed requests, one for each bill."""
    shown = run_tool(cluster, "bills")
    return [bill["request_id"] for bill in json.loads(shown.stdout)["items"]]


def errors_in_batches(cluster, answered):
    """Return the errors in the bills as written, before those of a request merge."""
    url = cluster.standins["platform"].removeprefix("http://")
    counts = ExpectedUsage(
        tuple(
            Generation(AttemptId(g["id"]), VersionId(g["version"]), g["tokens"])
            for g in generations(cluster)
        ),
        frozenset(BillIdentity(TeamName(TEAM), RequestId(key)) for key in answered),
    )
    store = HttpObjectStore(url, time.time)
    findings = audit_batches(store, counts, time.time).unwrap()
    return [finding for finding in findings if finding.severity is Severity.ERROR]


def assert_billed_once(cluster, answered):
    def none_missing():
        return answered <= set(billed(cluster))

    # The bills of a dead host are written by the peers that hold them.
    wait_for(none_missing, 15, "bills of all answered requests")
    requests = billed(cluster)
    assert len(requests) == len(set(requests))
    found = audit(cluster)
    wrong = ("doubled_requests", "doubled_attempts", "unfounded", "different")
    assert {what: found[what] for what in wrong} == {what: [] for what in wrong}
    assert errors_in_batches(cluster, answered) == []
    return found


class TestBilledOnce:
    def test_chats_on_all_hosts(self, cluster, caller):
        load = Load(caller, [0, 1, 2, 3])
        load.run(1.5, lambda: None)
        assert len(load.answered) == load.started > 8
        found = assert_billed_once(cluster, load.answered)
        assert found["missing"] == []

    def test_outage_of_the_platform_at_the_end_of_answers(self, cluster, caller):
        def outage():
            set_faults(cluster, "platform", down=True)
            time.sleep(1.5)
            set_faults(cluster, "platform", down=False)

        load = Load(caller, [0, 1, 2, 3])
        load.run(2.0, outage)
        assert len(load.answered) > 8
        found = assert_billed_once(cluster, load.answered)
        assert found["missing"] == []

    def test_a_host_killed_under_load(self, cluster, caller):
        load = Load(caller, [0, 1, 2, 3])
        load.run(2.0, lambda: cluster.kill(KILLED))
        assert len(load.answered) > 8
        found = assert_billed_once(cluster, load.answered)
        # What the dead host's callers did not get whole may be in no bill.
        done = sum(g["state"] == "done" for g in generations(cluster))
        assert len(found["missing"]) <= done - len(load.answered)

    def test_a_host_killed_in_an_outage(self, cluster, caller):
        cluster.restart(KILLED)

        def both():
            set_faults(cluster, "platform", down=True)
            time.sleep(0.8)
            cluster.kill(KILLED)
            time.sleep(0.5)
            set_faults(cluster, "platform", down=False)

        load = Load(caller, [0, 1, 2, 3])
        load.run(2.0, both)
        assert len(load.answered) > 8
        assert_billed_once(cluster, load.answered)
