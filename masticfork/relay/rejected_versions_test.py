"""Versions that were rolled back, while the next version is tried."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from masticfork.core.backend_servers import (
    Address,
    BackendServer,
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.store_position import StorePosition
from masticfork.platform.objects import PlatformObject
from masticfork.platform.server_format import decode_rollout, encode_progress
from masticfork.relay.rollout_controller import RolloutController
from masticfork.relay.tables import Tables
from masticfork.systems.exposure import ExposureLimit
from masticfork.systems.version_shift import ResponseTime
from standins.entry_environment import SERVICE, running_entry_host
from standins.fake_loop import FakeLoop
from standins.scripted_server import response

VERSIONS = ("v1", "v2", "v3")
# Requests after the next order; they take about 3 s.
LATER_REQUESTS = 600


def ignore(*args, **fields):
    pass


def server(version):
    address = Address("127.0.0.1", 1000)
    return BackendServer(f"i-{version}", "s", address, "zone-a", version, 6, False)


def rollout(target, state, revision, **changes):
    position, progress = StorePosition(0, revision), RolloutProgress(state)
    return VersionRollout("s", target, 20.0, position, 5, 5, progress, **changes)


class Host:
    """The rollouts of one host and the versions that it would use."""

    def __init__(self, versions=VERSIONS):
        self.tables = Tables(FakeLoop(), ignore)
        self.tables.list_servers(map(server, versions), None)
        self.controller = RolloutController(
            FakeLoop(),
            None,
            self.tables,
            "host-1",
            ignore,
            lambda service, created: [],
            ExposureLimit(0.15, 30.0),
            lambda: 4,
            executor=None,
        )

    def put(self, *args):
        self.tables.put_rollout(rollout(*args))

    def versions(self):
        """Return the versions that sessions on the first version may use."""
        rows = self.tables.servers_of("s")
        eligible = self.controller.eligible("s", "r", "session", 1, rows)
        return {row.server.version for row in eligible}

    def roll_back_and_order_next(self):
        self.put("v2", RolloutState.RUNNING, 7)
        self.put("v2", RolloutState.ROLLED_BACK, 8)
        self.put("v3", RolloutState.ORDERED, 9)


class TestRejectedVersions:
    @pytest.mark.parametrize(
        ("state", "versions"),
        [
            (RolloutState.ORDERED, {"v1"}),
            (RolloutState.RUNNING, {"v1"}),
            (RolloutState.ROLLED_BACK, {"v1"}),
            (RolloutState.DONE, {"v3"}),
        ],
    )
    def test_get_no_requests_with_the_next_order(self, state, versions):
        """Guards against sessions that move to a version that was rolled back."""
        host = Host()
        host.roll_back_and_order_next()
        host.put("v3", state, 10)
        assert host.versions() == versions

    def test_get_no_requests_after_the_order_is_deleted(self):
        host = Host()
        host.put("v2", RolloutState.ROLLED_BACK, 8)
        host.tables.remove_rollout("s")
        assert host.versions() == {"v1", "v3"}
        host.put("v3", RolloutState.ORDERED, 9)
        assert host.versions() == {"v1"}

    def test_get_requests_if_there_is_no_other_server(self):
        host = Host(["v2"])
        host.roll_back_and_order_next()
        assert host.versions() == {"v2"}

    def test_can_be_ordered_again(self):
        host = Host()
        host.roll_back_and_order_next()
        host.put("v2", RolloutState.DONE, 10)
        assert host.versions() == {"v2"}

    def test_are_no_measure_for_the_next_version(self):
        """Guards against a baseline that holds failures of an earlier version."""
        host = Host()
        host.roll_back_and_order_next()
        for _ in range(9):
            host.controller.record_answer(
                server("v2"), "r", True, ResponseTime(0, 9.0), 0.0
            )
        assert host.controller.usual_times("s").usual_times == {}
        (evidence,) = host.controller.evidence()
        assert (evidence.old, evidence.new) == ((), ())


class TestStoredRejections:
    """Guards against a version that is used again after all hosts have restarted."""

    SPEC = {"service": "s", "target": "v3", "duration_s": 20}

    def decode(self, status, **changes):
        spec = {**self.SPEC, **changes}
        return decode_rollout(PlatformObject("s", 9, 5, spec, status)).ok_value

    def test_status_of_the_order_before_tells_of_its_version(self):
        before = rollout("v2", RolloutState.ROLLED_BACK, 8, rejected=frozenset({"v0"}))
        status = encode_progress(before, before.progress)
        decoded = self.decode(status)
        assert decoded.rejected == {"v0", "v2"}
        assert decoded.progress == RolloutProgress()
        assert self.decode(status, target="v2").rejected == {"v0"}

    def test_rejections_are_stored_with_later_progress(self):
        later = rollout("v3", RolloutState.RUNNING, 9, rejected=frozenset({"v2"}))
        status = encode_progress(later, later.progress)
        assert self.decode(status).rejected == {"v2"}

    @pytest.mark.parametrize("state", ["running", "done", "?", None])
    def test_other_states_reject_nothing(self, state):
        assert not self.decode({"state": state, "target": "v2"}).rejected

    @pytest.mark.parametrize("rejected", [None, "v2", 7, [7, None, "\ud800", []], {}])
    def test_malformed_rejections_are_left_out(self, rejected):
        status = {"state": "rolled_back", "target": None, "rejected": rejected}
        assert not self.decode(status).rejected

    def test_order_that_was_rolled_back_stays_so(self):
        status = {"state": "rolled_back", "target": "v3"}
        decoded = self.decode(status)
        assert decoded.progress.state is RolloutState.ROLLED_BACK
        assert not decoded.rejected


class TestNextOrder:
    def test_no_request_reaches_a_version_that_was_rolled_back(self):
        """Guards against the next order, with which the version got requests again."""
        numbers = itertools.count()

        def good(request):
            time.sleep(0.02)
            yield response(request, b"whole")

        def failing(request):
            if next(numbers) % 3:
                yield from good(request)
            else:
                yield response(request, b"", status="500 Internal Server Error")

        with running_entry_host() as env, ThreadPoolExecutor(6) as pool:

            def send(count):
                headers = [{"Session": f"s-{env._attempts + n}"} for n in range(count)]
                sent = [
                    pool.submit(env.send, "/safe/x", headers=each) for each in headers
                ]
                return [each.result().status for each in sent]

            def rolled_back():
                send(6)
                status = env.store.status("rollouts", SERVICE) or {}
                return status.get("state") == "rolled_back"

            for version in ("v1", "v2", "v2"):
                script = good if version == "v1" else failing
                env.add_server(script, SERVICE, version=version)
            env.wait_for_servers(3)
            bad = env.servers[1:3]
            spec = {"service": SERVICE, "target": "v2", "duration_s": 30}
            env.store.put("rollouts", SERVICE, spec)
            env.wait_until(rolled_back, 25.0)
            before = [len(server.requests) for server in bad]
            env.store.put("rollouts", SERVICE, {**spec, "target": "v3"})
            env.add_server(good, SERVICE, version="v3")
            env.wait_for_servers(4)
            assert set(send(LATER_REQUESTS)) == {200}
            assert [len(server.requests) for server in bad] == before
