import http.client
import json
import signal
import time

import pytest

from standins.entry_environment import KEY, read_response
from tools.run_platform import EVENT_COUNT, running_platform


@pytest.fixture(scope="module")
def platform():
    with running_platform(2) as running:
        for host in running.hosts:
            wait_ready(host)
        yield running


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
        return read_response(connection)
    finally:
        connection.close()


def log_records(host):
    return [json.loads(line) for line in host.program.log.splitlines()]


class TestEntryHostProcesses:
    def test_every_kind_of_route_is_served(self, platform):
        for number, host in enumerate(platform.hosts):
            for path in ("/safe/x", "/unsafe/x", "/streaming/x"):
                answer = ask(host, path, f"{number}{path}")
                assert (answer.status, answer.complete) == (200, True)
        assert answer.body.count(b"data:") == EVENT_COUNT

    def test_log_traces_a_request_to_its_server(self, platform):
        host = platform.hosts[0]
        ask(host, "/safe/x", "traced")
        time.sleep(0.2)
        found = [
            record for record in log_records(host) if record.get("request") == "traced"
        ]
        assert [record["message"] for record in found] == [
            "dispatch",
            "answer begins",
            "end",
        ]
        assert found[0]["server"].startswith("i-")
        assert found[-1]["status"] == 200

    def test_sighup_reloads_the_settings(self, platform):
        host = platform.hosts[0]
        host.program.signal(signal.SIGHUP)
        time.sleep(0.5)
        assert "reloaded" in [record["message"] for record in log_records(host)]
        assert ask(host, "/safe/x", "after").status == 200

    def test_stopped_host_finishes_its_stream_and_exits_without_a_kill(self, platform):
        host = platform.hosts[1]
        connection = http.client.HTTPConnection(host.front.host, host.front.port, 5)
        connection.request("POST", "/streaming/x", b"x", headers("last"))
        time.sleep(0.1)
        signalled_at = time.monotonic()
        assert host.program.stop(4.0)
        assert time.monotonic() - signalled_at < 4.0
        assert read_response(connection).complete
        messages = [record["message"] for record in log_records(host)]
        assert "stopping" in messages
        assert messages[-1] == "stopped"
