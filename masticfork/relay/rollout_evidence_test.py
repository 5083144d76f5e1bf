"""Evidence that a host collects on a rollout."""

import attrs
import pytest
from result import Err

from masticfork.core.backend_servers import (
    Address,
    BackendServer,
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.digests import RolloutEvidence
from masticfork.core.store_position import StorePosition
from masticfork.relay.rollout_controller import SAME_QUEUE_SECONDS, RolloutController
from masticfork.relay.tables import Tables
from masticfork.store.client import ErrorKind, PlatformError
from masticfork.systems.exposure import ExposureLimit
from masticfork.systems.version_shift import CANARY, FULL, ResponseTime
from standins.fake_loop import FakeLoop, SynchronousExecutor


def ignore(*args, **fields):
    pass


def server(version):
    address = Address("127.0.0.1", 1000)
    return BackendServer(f"i-{version}", "s", address, "zone-a", version, 6, False)


def rollout(state, step=0):
    progress = RolloutProgress(state, step)
    return VersionRollout("s", "v2", 20.0, StorePosition(0, 7), 5, 5, progress)


def slow_answers(evidence):
    """Return the number of slow answers of the new version."""
    return sum(item.slow for item in evidence.new)


def learn_usual_times(controller):
    """Let a host serve 20 requests by the usual version, in 0.1 s each."""
    for _ in range(20):
        controller.record_answer(server("v1"), "r", False, ResponseTime(0, 0.1), 0.0)


class RecordingObjects:
    """A store that records each write and loses it."""

    def __init__(self):
        self.written = []

    def replace_status(self, kind, name, status, position, deadline):
        self.written.append(status)
        return Err(PlatformError(ErrorKind.UNAVAILABLE, "lost"))


class TestRolloutEvidence:
    def controller(self, peer_evidence=()):
        self.objects = RecordingObjects()
        tables = Tables(FakeLoop(), ignore)
        controller = RolloutController(
            FakeLoop(),
            self.objects,
            tables,
            "host-1",
            ignore,
            lambda service, created: list(peer_evidence),
            ExposureLimit(0.15, 30.0),
            lambda: 4,
            executor=SynchronousExecutor(),
        )
        return tables, controller

    def test_times_before_the_order_are_the_baseline(self):
        """Guards against hosts that know no usual times in the first seconds."""
        tables, controller = self.controller()
        learn_usual_times(controller)
        tables.put_rollout(rollout(RolloutState.RUNNING))
        controller.record_answer(server("v2"), "r", False, ResponseTime(0, 0.8), 0.0)
        (evidence,) = controller.evidence()
        assert slow_answers(evidence) == 1

    def test_slow_answers_out_of_one_queue_count_once(self):
        """Guards against good versions accused of one queue behind a long prompt."""
        assert self.slow_answers([("a", 0.0), ("a", 0.1), ("a", 0.2)]) == 1
        assert self.slow_answers([("a", 0.0), ("b", 0.0), ("c", 0.0)]) == 3
        assert self.slow_answers([("a", 0.0), ("a", SAME_QUEUE_SECONDS)]) == 2

    def test_stored_usual_times_serve_hosts_that_have_lost_theirs(self):
        """Guards against slow versions that look good after the loss of all hosts."""
        tables, controller = self.controller()
        order = rollout(RolloutState.RUNNING)
        progress = attrs.evolve(order.progress, usual_times=((0, 1.1),))
        tables.put_rollout(attrs.evolve(order, progress=progress))
        for seconds in (0.1, 0.8):
            controller.record_answer(
                server("v2"), "r", False, ResponseTime(0, seconds), 0.0
            )
        (evidence,) = controller.evidence()
        assert slow_answers(evidence) == 1

    def test_usual_times_are_stored(self):
        tables, controller = self.controller()
        learn_usual_times(controller)
        tables.put_rollout(rollout(RolloutState.ORDERED))
        for tenth in range(30):
            controller.run(tenth / 10)
        assert self.objects.written[-1]["usual_times"] == {"0": 2.0}

    def test_each_slow_answer_of_a_service_of_short_calls_counts(self):
        """Guards against slow versions whose timely answers alone count one by one."""
        tables, controller = self.controller()
        for version in ("v1", "v2"):
            tables.put_server(server(version))
        tables.put_rollout(rollout(RolloutState.RUNNING))
        for tenth in range(40):
            controller.record_call(server("v1"), "r")
            controller.record_answer(
                server("v1"), "r", False, ResponseTime(0, 0.015), tenth / 10
            )
            tables.row("i-v1").load.running = tenth % 2
            controller.run(tenth / 10)
        for at in (4.0, 4.2, 4.4):
            controller.record_answer(
                server("v2"), "r", False, ResponseTime(0, 0.12), at
            )
        (evidence,) = controller.evidence()
        assert slow_answers(evidence) == 3

    def slow_answers(self, answers):
        """Return the evidence after slow answers of servers at times."""
        tables, controller = self.controller()
        learn_usual_times(controller)
        tables.put_rollout(rollout(RolloutState.RUNNING))
        for name, at in answers:
            slow = attrs.evolve(server("v2"), id=name)
            controller.record_answer(slow, "r", False, ResponseTime(0, 0.8), at)
        (evidence,) = controller.evidence()
        return slow_answers(evidence)

    @pytest.mark.parametrize(
        ("step", "running", "seconds", "expected"),
        [
            (CANARY, 4, 0.4, 1),
            (FULL, 4, 0.4, 0),
            (FULL, 4, 0.9, 1),
            (FULL, 0, 0.4, 1),
        ],
    )
    def test_engines_may_be_slower_under_their_first_full_load(
        self, step, running, seconds, expected
    ):
        """Guards against good versions accused while their engines keep nothing."""
        tables, controller = self.controller()
        for version in ("v1", "v2"):
            tables.put_server(server(version))
        learn_usual_times(controller)
        tables.put_rollout(rollout(RolloutState.RUNNING, step))
        controller.record_call(server("v1"), "r")
        tables.row("i-v1").load.running = running
        controller.run(0.0)
        controller.record_answer(
            server("v2"), "r", False, ResponseTime(0, seconds), 0.0
        )
        (evidence,) = controller.evidence()
        assert slow_answers(evidence) == expected

    def test_withdrawn_version_does_not_change_the_usual_times(self):
        tables, controller = self.controller()
        tables.put_rollout(rollout(RolloutState.RUNNING))
        learn_usual_times(controller)
        tables.put_rollout(rollout(RolloutState.ROLLED_BACK))
        for _ in range(60):
            controller.record_answer(
                server("v2"), "r", False, ResponseTime(0, 0.8), 0.0
            )
        assert controller.usual_times("s").is_slow(ResponseTime(0, 0.8))

    def test_rollout_does_not_advance_while_no_new_server_is_known(self):
        """Guards against old servers that are stopped while no new one is known."""
        tables, controller = self.controller()
        tables.put_server(server("v1"))
        tables.put_rollout(rollout(RolloutState.RUNNING))
        controller.run(0.0)
        for tenth in range(110, 160):
            controller.run(tenth / 10)
        assert {item["step"] for item in self.objects.written} == {0}
        assert {item["state"] for item in self.objects.written} == {"running"}
        tables.put_server(server("v2"))
        for tenth in range(160, 170):
            controller.run(tenth / 10)
        assert self.objects.written[-1]["step"] == 1

    def test_version_that_a_peer_judged_bad_gets_no_requests(self):
        """Guards against hosts that complete what another one is rolling back."""
        judged = RolloutEvidence("s", 5, (), (), judged_bad=True)
        tables, controller = self.controller([judged])
        for version in ("v1", "v2"):
            tables.put_server(server(version))
        tables.put_rollout(rollout(RolloutState.RUNNING, step=2))
        controller.run(0.0)
        eligible = controller.eligible("s", "r", "session", None, list(tables.rows))
        assert [row.server.version for row in eligible] == ["v1"]
        (evidence,) = controller.evidence()
        assert evidence.judged_bad
