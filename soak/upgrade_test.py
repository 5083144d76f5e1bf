"""Upgrades: hosts of the previous build are replaced one after the other."""

import subprocess
import tarfile

import pytest

from soak.main import Size, play_faults
from soak.records import Fault, FaultKind
from tools.processes import ROOT

# Commit of the build before this one.
PREVIOUS_BUILD = "2183c6a"
HOSTS, SEED = 3, 1
# Time between the restarts of two hosts, and how long a host is away.
STEP_SECONDS, RESTART_SECONDS = 2.5, 0.5
SIZE = Size(STEP_SECONDS * (HOSTS + 1), HOSTS, servers=6, callers=8)


@pytest.fixture(scope="module")
def previous_build(tmp_path_factory):
    """Return the sources of the build before this one, from the history."""
    folder = tmp_path_factory.mktemp("previous")
    archive = folder / "sources.tar"
    command = ["git", "-C", str(ROOT), "archive", "-o", str(archive), PREVIOUS_BUILD]
    subprocess.run(command, check=True)
    with tarfile.open(archive) as sources:
        sources.extractall(folder, filter="data")
    return folder


def upgrade_faults(*others):
    """Stop the hosts in turn; each starts again with the new build."""
    stops = [
        Fault(at, FaultKind.HOST_STOPPED, host, at + RESTART_SECONDS)
        for host, at in enumerate(STEP_SECONDS * (n + 1) for n in range(HOSTS))
    ]
    return sorted([*stops, *others], key=lambda fault: fault.at)


def play(folder, build, faults):
    """Play an upgrade from a build to this one; return the history and findings."""
    result = play_faults(SEED, SIZE, folder, faults, build)
    return result.history, [str(finding) for finding in result.findings]


class TestUpgrade:
    def test_nothing_is_lost_doubled_or_misreported(self, previous_build, tmp_path):
        """Guards against messages between hosts that one of two builds can't read."""
        history, findings = play(tmp_path, previous_build, upgrade_faults())
        assert findings == []
        assert sum(attempt.complete for attempt in history.attempts) > 200
        # The previous build told no protocol version.
        log = (tmp_path / "host-0.log").read_text().splitlines()
        discovered = [line for line in log if "peer discovered" in line]
        assert "protocol" not in discovered[0]
        assert "protocol" in discovered[-1]

    def test_failures_while_both_builds_run(self, previous_build, tmp_path):
        """Guards against a host of the new build that relies on what old ones tell."""
        at = 1.5 * STEP_SECONDS
        others = [
            Fault(at, FaultKind.STORE_DOWN, 0, at + 1.0),
            Fault(at + 1.2, FaultKind.HOST_KILLED, 2, at + 1.7),
            Fault(2.6 * STEP_SECONDS, FaultKind.CONFIGURATION_CHANGED, 0, 7.0),
        ]
        history, findings = play(tmp_path, previous_build, upgrade_faults(*others))
        assert findings == []
        assert sum(attempt.complete for attempt in history.attempts) > 200

    def test_orders_in_force_once_all_hosts_know_them(self, previous_build, tmp_path):
        """Guards against an upgraded host that has not read the orders."""
        at = STEP_SECONDS * HOSTS + 1.5
        order = Fault(at, FaultKind.ZONE_EVACUATED, 0, at + 3.0)
        _, findings = play(tmp_path, previous_build, upgrade_faults(order))
        assert findings == []
