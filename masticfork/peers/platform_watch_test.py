"""Tests of watching the platform, against a store in memory."""

import threading
import time

import pytest
from result import Ok

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.manifest import Manifest
from masticfork.core.tables import SelfRow, Tables
from masticfork.peers.configuration_relay import ConfigurationRelay
from masticfork.peers.configuration_relay_test import Box
from masticfork.peers.link_test import wait_until
from masticfork.peers.platform_watch import CONFIGURATION_KEY, PlatformWatch
from masticfork.store.client import CallCounter, CallKind
from masticfork.store.embedded import EmbeddedStore
from masticfork.systems.confirmation import Standing, standing


def check(number, submission_id, text):
    return Ok(Configuration(number, submission_id, Manifest((), (), ())))


class World:
    def __init__(self):
        self.calls = CallCounter()
        self.store = EmbeddedStore(time.time, self.calls)
        self.tables = Tables(SelfRow("a", "z1"))
        self.relay = ConfigurationRelay(self.tables, check, Box(), 900.0)
        self.on_duty = True
        self.watch = PlatformWatch(
            self.store, self.relay, lambda: self.on_duty, lambda _: None, time.time
        )

    def write(self, text, version=None):
        value = {"submission_id": text, "manifest": text}
        key, deadline = CONFIGURATION_KEY, Deadline.after(time.time(), 5.0)
        if version is None:
            return self.store.create(key, value, deadline).unwrap().version
        return self.store.update(key, value, version, deadline).unwrap().version


@pytest.fixture
def world():
    world = World()
    yield world
    world.watch.stop()


def start(world):
    threading.Thread(target=world.watch.run, daemon=True).start()


class TestWatch:
    def test_each_change_is_taken_in(self, world):
        start(world)
        first = world.write("one")
        wait_until(lambda: world.relay.number == first)
        second = world.write("two", first)
        wait_until(lambda: world.relay.number == second)
        now = time.time()
        wait_until(lambda: standing(world.tables, now) is Standing.CONFIRMED)

    def test_host_without_duty_reads_once_and_watches_when_it_has_it(self, world):
        world.on_duty = False
        first = world.write("one")
        start(world)
        wait_until(lambda: world.relay.number == first)
        second = world.write("two", first)
        calls = world.calls.calls()
        assert (calls[CallKind.LIST], calls.get(CallKind.WATCH, 0)) == (1, 0)
        world.on_duty = True
        wait_until(lambda: world.relay.number == second)
