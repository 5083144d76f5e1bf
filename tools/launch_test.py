import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from standins.testing import HttpClient
from tools import launch
from tools.launch_files import merge_settings
from tools.launch_options import Options
from tools.processes import ROOT, Program, StartError

SMALL = Options(hosts=2, engines_per_pool=1, service_servers=1, token_seconds=0.001)


def is_running(pid: int) -> bool:
    """Return whether a process is running; a zombie is not."""
    stat = Path(f"/proc/{pid}/stat")
    return stat.exists() and stat.read_text().rsplit(")", 1)[1].split()[0] != "Z"


def wait_until_exited(pids: list[int]) -> None:
    for _ in range(1000):
        if not any(map(is_running, pids)):
            return
        time.sleep(0.01)
    raise AssertionError([pid for pid in pids if is_running(pid)])


class TestCluster:
    def test_serves_after_a_killed_host_and_stops_all_programs(self):
        with launch.start(SMALL) as cluster:
            pids = list(cluster.pids.values())
            assert len(pids) == 4 + 2 + 1 + 2
            key = cluster.summary["team_keys"]["warehouse"]
            headers = {"Authorization": f"Bearer {key}"}
            path = "/services/order-desk/stock/canvas"
            cluster.kill("entry-1")
            assert "entry-1" not in cluster.pids
            second = HttpClient(cluster.entry_hosts[1].entry_port)
            assert second("GET", path, headers=headers)[0] == 200
            cluster.restart("entry-1")
            first = HttpClient(cluster.entry_hosts[0].entry_port)
            assert first("GET", path, headers=headers)[0] == 200
            pids.append(cluster.pids["entry-1"])
            # A program stopped by SIGSTOP must not prevent the shutdown of the others.
            cluster.signal("entry-2", signal.SIGSTOP)
        wait_until_exited(pids)

    def test_backend_servers_are_in_the_host_list(self):
        options = Options(hosts=0, engines_per_pool=1, service_servers=1)
        options.arguments["host_list"] = ["--lag-seconds", "0"]
        with launch.start(options) as cluster:
            hosts = cluster.client("host-list")("GET", "/hosts")[1]["hosts"]
            kinds = {host["name"]: host["kind"] for host in hosts}
            assert kinds == {
                "drafting-1": "engine",
                "drafting-2": "engine",
                "order-desk-1": "service",
            }


class TestForeground:
    @pytest.mark.parametrize("signum", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
    def test_a_signal_leaves_no_program_running(self, signum: signal.Signals):
        command = [sys.executable, "-m", "tools.launch", "--hosts", "0"]
        process = subprocess.Popen(
            [*command, "--engines-per-pool", "1"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        summary = json.loads(process.stdout.readline())
        assert set(summary) == {
            "entries",
            "admin",
            "team_keys",
            "admin_key",
            "services",
            "models",
            "standins",
        }
        children_file = Path(f"/proc/{process.pid}/task/{process.pid}/children")
        children = [int(pid) for pid in children_file.read_text().split()]
        assert len(children) == len(summary["standins"])
        os.kill(process.pid, signum)
        exit_code = process.wait(30)
        assert exit_code == (-signum if signum is signal.SIGKILL else 0)
        wait_until_exited(children)


class TestProgram:
    def test_the_error_of_a_failed_start_includes_the_log(self, tmp_path: Path):
        program = Program("bad", ["standins.platform", "--port", "x"], tmp_path)
        program.start(reports_ready=True)
        with pytest.raises(StartError, match="not a valid integer"):
            program.read_ready_line(30)


def test_merge_settings_keeps_fields_that_do_not_change():
    base = {"entry": {"port": 1, "threads": 2}, "host": "a"}
    changed = merge_settings(base, {"entry": {"threads": 3}, "log_level": "debug"})
    expected = {"entry": {"port": 1, "threads": 3}, "host": "a", "log_level": "debug"}
    assert changed == expected
