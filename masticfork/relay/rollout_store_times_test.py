"""When a rollout is completed after calls to the store have failed."""

import pytest
from result import Err, Ok

from masticfork.platform.objects import PlatformObject
from masticfork.platform.server_format import decode_rollout
from masticfork.relay.rollout_controller import (
    WRITE_TIMEOUT_SECONDS,
    RolloutController,
)
from masticfork.relay.rollout_judgement_test import SPEC, ignore, server
from masticfork.relay.tables import Tables
from masticfork.store.client import ErrorKind, PlatformError
from masticfork.systems.exposure import ExposureLimit
from masticfork.systems.rollout_plan import COMPLETION_SECONDS
from standins.fake_loop import FakeLoop, SynchronousExecutor

DURATION_SECONDS = SPEC["duration_s"]
ORDERED = PlatformObject("s", 9, 9, SPEC, None)


class Store:
    """A store whose answers to writes take some time, or do not come."""

    def __init__(self, loop):
        self._loop = loop
        self._revision = 9
        self.seconds = 0.01
        self.answers = True

    def replace_status(self, kind, name, status, position, deadline):
        self._loop.now += self.seconds
        if not self.answers:
            return Err(PlatformError(ErrorKind.UNKNOWN, "timed out"))
        self._revision += 1
        return Ok(PlatformObject("s", self._revision, 9, SPEC, status))


class Host:
    """A host that writes the progress of a rollout."""

    def __init__(self):
        self.loop = FakeLoop(100.0)
        self.store = Store(self.loop)
        self.lines = []
        tables = Tables(self.loop, ignore)
        tables.list_servers([server("v1"), server("v2")], None)
        self.controller = RolloutController(
            self.loop,
            self.store,
            tables,
            "host-1",
            lambda message, **fields: self.lines.append((message, fields)),
            lambda service, created: [],
            ExposureLimit(0.15, 30.0),
            lambda: 4,
            executor=SynchronousExecutor(),
        )
        tables.list_rollouts([], False)
        tables.put_rollout(decode_rollout(ORDERED).unwrap())

    def run_for(self, seconds):
        end = self.loop.now + seconds
        while self.loop.now < end:
            self.loop.advance(0.25)
            self.controller.run(self.loop.now)

    @property
    def completed_from(self):
        """Return when the version is completed, as of the latest write."""
        written = [f for m, f in self.lines if m == "writing rollout progress"]
        return written[-1]["complete_from"]


@pytest.fixture
def host():
    return Host()


class TestWritesWithoutAnAnswer:
    def test_version_is_not_completed_earlier_after_an_outage(self, host):
        """Guards against a version that turns bad and is completed on older answers."""
        host.store.answers, host.store.seconds = False, WRITE_TIMEOUT_SECONDS
        host.run_for(3.0)
        host.store.answers, host.store.seconds = True, 0.01
        host.run_for(3.0)
        latest = DURATION_SECONDS - COMPLETION_SECONDS - 2 * 0.1
        assert host.completed_from >= latest

    def test_version_is_completed_earlier_if_the_store_is_slow(self, host):
        host.store.seconds = 0.5
        host.run_for(6.0)
        assert host.completed_from <= DURATION_SECONDS - COMPLETION_SECONDS - 2 * 0.5
