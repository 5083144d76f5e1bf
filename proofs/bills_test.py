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
from masticfork.ledger.bill_audit import audit as audit_stored_bills
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
KILLED_HOST = "entry-4"


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


@pytest.fixture
def caller(cluster):
    yield Caller(cluster)
    set_faults(cluster, "platform", down=False)


class StreamLoad:
    """Streams from several hosts; `answered` holds the keys that got a full answer."""

    def __init__(self, caller, hosts):
        self.answered = set()
        self.started = 0
        self._caller = caller
        self._hosts = hosts
        self._stopped = threading.Event()
        self._lock = threading.Lock()

    def run(self, seconds, action):
        with ThreadPoolExecutor(2 * len(self._hosts)) as pool:
            futures = [pool.submit(self._stream, host) for host in 2 * self._hosts]
            time.sleep(seconds / 2)
            action()
            time.sleep(seconds / 2)
            self._stopped.set()
            for future in futures:
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
                    assert stream.content == stream.expected_content
                    with self._lock:
                        self.answered.add(key)
                    continue
            time.sleep(0.1)


def run_cli(cluster, *arguments):
    """Run the operator's command-line tool against the first host."""
    command = [sys.executable, "-m", "masticfork.scripts.masticfork"]
    connection_options = ["--url", cluster.admin_urls[0], "--output", "json"]
    environment = {"MASTICFORK_KEY": cluster.secrets.admin_key}
    return subprocess.run(
        [*command, *arguments, *connection_options],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )


def audit_report(cluster):
    """Return the report of `masticfork bills --audit`."""
    engines = [
        argument
        for name in engine_names(cluster)
        for argument in ("--engine", cluster.standins[name])
    ]
    completed = run_cli(cluster, "bills", "--audit", *engines)
    assert completed.stdout, completed.stderr
    return json.loads(completed.stdout)


def billed_request_ids(cluster):
    """Return the request ids of all bills, one for each bill."""
    completed = run_cli(cluster, "bills")
    return [bill["request_id"] for bill in json.loads(completed.stdout)["items"]]


def errors_in_stored_bills(cluster, answered):
    """Return the errors in the stored bills, before those of one request are merged."""
    url = cluster.standins["platform"].removeprefix("http://")
    counts = ExpectedUsage(
        tuple(
            Generation(AttemptId(g["id"]), VersionId(g["version"]), g["tokens"])
            for g in generations(cluster)
        ),
        frozenset(BillIdentity(TeamName(TEAM), RequestId(key)) for key in answered),
    )
    store = HttpObjectStore(url, time.time)
    findings = audit_stored_bills(store, counts, time.time).unwrap()
    return [finding for finding in findings if finding.severity is Severity.ERROR]


def assert_billed_once(cluster, answered):
    def all_billed():
        return answered <= set(billed_request_ids(cluster))

    # Peers that hold the bills of a killed host write them.
    wait_for(all_billed, 15, "bills of all answered requests")
    request_ids = billed_request_ids(cluster)
    assert len(request_ids) == len(set(request_ids))
    report = audit_report(cluster)
    error_fields = ("doubled_requests", "doubled_attempts", "unfounded", "different")
    assert {field: report[field] for field in error_fields} == {
        field: [] for field in error_fields
    }
    assert errors_in_stored_bills(cluster, answered) == []
    return report


class TestBilledOnce:
    def test_chats_on_all_hosts(self, cluster, caller):
        load = StreamLoad(caller, [0, 1, 2, 3])
        load.run(1.5, lambda: None)
        assert len(load.answered) == load.started > 8
        report = assert_billed_once(cluster, load.answered)
        assert report["missing"] == []

    def test_platform_outage_while_streams_end(self, cluster, caller):
        def outage():
            set_faults(cluster, "platform", down=True)
            time.sleep(1.5)
            set_faults(cluster, "platform", down=False)

        load = StreamLoad(caller, [0, 1, 2, 3])
        load.run(2.0, outage)
        assert len(load.answered) > 8
        report = assert_billed_once(cluster, load.answered)
        assert report["missing"] == []

    def test_host_killed_under_load(self, cluster, caller):
        load = StreamLoad(caller, [0, 1, 2, 3])
        load.run(2.0, lambda: cluster.kill(KILLED_HOST))
        assert len(load.answered) > 8
        report = assert_billed_once(cluster, load.answered)
        # Answers that the killed host's callers did not get in full may have no bill.
        finished = sum(g["state"] == "done" for g in generations(cluster))
        assert len(report["missing"]) <= finished - len(load.answered)

    def test_host_killed_during_an_outage(self, cluster, caller):
        cluster.restart(KILLED_HOST)

        def kill_during_outage():
            set_faults(cluster, "platform", down=True)
            time.sleep(0.8)
            cluster.kill(KILLED_HOST)
            time.sleep(0.5)
            set_faults(cluster, "platform", down=False)

        load = StreamLoad(caller, [0, 1, 2, 3])
        load.run(2.0, kill_during_outage)
        assert len(load.answered) > 8
        assert_billed_once(cluster, load.answered)
