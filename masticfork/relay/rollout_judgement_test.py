"""How soon a judgement of one host is known to the others."""

from result import Ok

from masticfork.core.backend_servers import (
    Address,
    BackendServer,
    VersionRollout,
)
from masticfork.core.digests import RolloutEvidence
from masticfork.platform.objects import PlatformObject
from masticfork.platform.server_format import decode_rollout
from masticfork.relay.rollout_controller import RolloutController
from masticfork.relay.tables import Tables
from masticfork.systems.exposure import ExposureLimit
from masticfork.systems.version_shift import CANARY, FULL, ResponseTime
from standins.fake_loop import FakeLoop, SynchronousExecutor

SPEC = {"service": "s", "target": "v2", "duration_s": 20.0}
RUNNING = {"state": "running", "target": "v2", "step": 1, "ordered_at": 1.0}


def ignore(*args, **fields):
    pass


def server(version, number=0):
    address = Address("127.0.0.1", 1000 + number)
    name = f"i-{version}-{number}"
    return BackendServer(name, "s", address, "zone-a", version, 6, False)


def rollout(status=None) -> VersionRollout:
    return decode_rollout(PlatformObject("s", 9, 5, SPEC, status)).unwrap()


class Store:
    """A store that records the states that are written."""

    def __init__(self):
        self.states = []

    def replace_status(self, kind, name, status, position, deadline):
        self.states.append(status["state"])
        return Ok(PlatformObject("s", position.revision + 1, 5, SPEC, status))


class JudgingHost:
    """A host with servers of both versions."""

    def __init__(self):
        self.loop, self.store = FakeLoop(100.0), Store()
        self.tables = Tables(self.loop, ignore)
        self.tables.list_servers([server("v1"), server("v2")], None)
        self.told = 0
        self.controller = RolloutController(
            self.loop,
            self.store,
            self.tables,
            "host-1",
            ignore,
            lambda service, created: [],
            ExposureLimit(0.15, 30.0),
            lambda: 4,
            executor=SynchronousExecutor(),
            on_evidence=self._count,
        )

    def _count(self):
        self.told += 1

    @property
    def versions(self):
        rows = list(self.tables.rows)
        eligible = self.controller.eligible("s", "r", "session", None, rows)
        return {row.server.version for row in eligible}


class TestJudgement:
    def test_other_hosts_are_told_at_once(self):
        """Guards against hosts that complete what another one has judged bad."""
        host = JudgingHost()
        host.tables.put_rollout(rollout({**RUNNING, "step": CANARY}))
        for number in range(4):
            host.controller.record_answer(
                server("v2", number), "r", True, ResponseTime(0, 0.1), 100.0
            )
        assert host.told == 1
        assert host.versions == {"v1"}

    def test_other_hosts_are_told_of_each_failure_under_full_load(self):
        """Guards against a host that completes what fails at the others."""
        host = JudgingHost()
        host.tables.put_rollout(rollout({**RUNNING, "step": FULL}))
        for number in range(4):
            failed = number == 2
            host.controller.record_answer(
                server("v2", number), "r", failed, ResponseTime(0, 0.1), 100.0
            )
        assert host.told == 1
        assert host.versions == {"v2"}

    def test_judgement_of_another_host_holds_from_its_digest_on(self):
        """Guards against a host that goes on until it advances the rollout next."""
        host = JudgingHost()
        host.tables.put_rollout(rollout(RUNNING))
        judged = RolloutEvidence("s", 5, (), (), judged_bad=True)
        host.controller.apply_evidence((judged,))
        assert host.versions == {"v1"}
        assert host.told == 0

    def test_judgement_on_another_order_is_ignored(self):
        host = JudgingHost()
        host.tables.put_rollout(rollout(RUNNING))
        judged = RolloutEvidence("s", 4, (), (), judged_bad=True)
        host.controller.apply_evidence((judged,))
        assert not host.controller.evidence()[0].judged_bad


class TestOrderWithoutProgress:
    def test_age_is_known_to_a_host_that_ran_when_it_was_given(self):
        host = JudgingHost()
        host.tables.list_rollouts([])
        host.loop.advance(3.0)
        host.tables.put_rollout(rollout())
        host.loop.advance(2.0)
        (evidence,) = host.controller.evidence()
        assert evidence.age == 2.0

    def test_age_is_not_known_to_a_host_that_has_started_since(self):
        """Guards against a host that takes an old order for a new one."""
        host = JudgingHost()
        host.tables.list_rollouts([rollout()])
        (evidence,) = host.controller.evidence()
        assert evidence.age is None
