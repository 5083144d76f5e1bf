import http.client
import json
import signal
import time

import pytest

from standins.entry_world import KEY, read_answer
from tools.run_platform import EVENTS, running


@pytest.fixture(scope="module")
def platform():
    with running(2) as made:
        for host in made.hosts:
            wait_ready(host)
        yield made


def status_of(address, path, headers=None):
    connection = http.client.HTTPConnection(address.host, address.port, 5)
    try:
        connection.request("GET", path, headers=headers or {})
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


def wait_ready(host):
    until = time.monotonic() + 20
    while status_of(host.ready, "/masticfork/readiness") != 200:
        assert time.monotonic() < until, host.program.log
        time.sleep(0.1)


def headers(attempt):
    return {
        "Host": "a.example",
        "Authorization": f"Bearer {KEY}",
        "X-Masticfork-Attempt-Id": attempt,
        "X-Masticfork-Model": "*",
        "X-Masticfork-Deadline-Ms": "3000",
    }


def ask(host, path, attempt):
    connection = http.client.HTTPConnection(host.front.host, host.front.port, 5)
    try:
        connection.request("POST", path, b"x", headers(attempt))
        return read_answer(connection)
    finally:
        connection.close()


def lines(host):
    return [json.loads(line) for line in host.program.log.splitlines()]


class TestEntryHostsAsProcesses:
    def test_every_kind_of_request_is_served(self, platform):
        for number, host in enumerate(platform.hosts):
            for path in ("/safe/x", "/unsafe/x", "/streaming/x"):
                got = ask(host, path, f"{number}{path}")
                assert (got.status, got.whole) == (200, True)
        assert got.body.count(b"data:") == EVENTS

    def test_log_leads_from_a_request_to_its_server(self, platform):
        host = platform.hosts[0]
        ask(host, "/safe/x", "traced")
        time.sleep(0.2)
        found = [row for row in lines(host) if row.get("request") == "traced"]
        assert [row["message"] for row in found] == ["dispatch", "answer begins", "end"]
        assert found[0]["server"].startswith("i-")
        assert found[-1]["status"] == 200

    def test_hang_up_signal_reads_the_settings_again(self, platform):
        host = platform.hosts[0]
        host.program.signal(signal.SIGHUP)
        time.sleep(0.5)
        assert "reloaded" in [row["message"] for row in lines(host)]
        assert ask(host, "/safe/x", "after").status == 200

    def test_stopped_host_finishes_its_stream_and_ends_by_itself(self, platform):
        host = platform.hosts[1]
        connection = http.client.HTTPConnection(host.front.host, host.front.port, 5)
        connection.request("POST", "/streaming/x", b"x", headers("last"))
        time.sleep(0.1)
        began = time.monotonic()
        assert host.program.end(4.0)
        assert time.monotonic() - began < 4.0
        assert read_answer(connection).whole
        messages = [row["message"] for row in lines(host)]
        assert "stopping" in messages
        assert messages[-1] == "stopped"
