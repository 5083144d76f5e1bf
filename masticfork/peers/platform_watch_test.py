"""Tests of watching the platform, with an in-memory store."""

import threading
import time

import pytest
from result import Ok

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.manifest import Manifest
from masticfork.core.tables import SelfRow, Tables
from masticfork.peers.configuration_relay import ConfigurationRelay
from masticfork.peers.configuration_relay_test import RecordingTransport
from masticfork.peers.link_test import wait_until
from masticfork.peers.platform_watch import CONFIGURATION_KEY, PlatformWatch
from masticfork.store.client import CallCounter, CallKind
from masticfork.store.embedded import EmbeddedStore
from masticfork.systems.confirmation import ConfirmationState, confirmation_state


def check(number, submission_id, text):
    return Ok(Configuration(number, submission_id, Manifest((), (), ())))


class WatchHost:
    def __init__(self):
        self.calls = CallCounter()
        self.store = EmbeddedStore(time.time, self.calls)
        self.tables = Tables(SelfRow("a", "z1"))
        self.relay = ConfigurationRelay(self.tables, check, RecordingTransport(), 900.0)
        self.is_watcher = True
        self.watch = PlatformWatch(
            self.store, self.relay, lambda: self.is_watcher, lambda _: None, time.time
        )

    def write(self, text, version=None):
        value = {"submission_id": text, "manifest": text}
        key, deadline = CONFIGURATION_KEY, Deadline.after(time.time(), 5.0)
        if version is None:
            return self.store.create(key, value, deadline).unwrap().version
        return self.store.update(key, value, version, deadline).unwrap().version


@pytest.fixture
def watch_host():
    watch_host = WatchHost()
    yield watch_host
    watch_host.watch.stop()


def start(watch_host):
    threading.Thread(target=watch_host.watch.run, daemon=True).start()


class TestWatch:
    def test_each_change_is_applied(self, watch_host):
        start(watch_host)
        first = watch_host.write("one")
        wait_until(lambda: watch_host.relay.number == first)
        second = watch_host.write("two", first)
        wait_until(lambda: watch_host.relay.number == second)
        now = time.time()
        wait_until(
            lambda: (
                confirmation_state(watch_host.tables, now)
                is ConfirmationState.CONFIRMED
            )
        )

    def test_host_reads_once_and_watches_only_as_watcher(self, watch_host):
        watch_host.is_watcher = False
        first = watch_host.write("one")
        start(watch_host)
        wait_until(lambda: watch_host.relay.number == first)
        second = watch_host.write("two", first)
        calls = watch_host.calls.calls()
        assert (calls[CallKind.LIST], calls.get(CallKind.WATCH, 0)) == (1, 0)
        watch_host.is_watcher = True
        wait_until(lambda: watch_host.relay.number == second)
