"""Tests of complete nodes over real sockets; the test runs their ticks."""

import contextlib
import threading
import time

import pytest
from result import Ok

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.hosts import HostState
from masticfork.core.manifest import Manifest
from masticfork.core.tables import SelfRow, Tables
from masticfork.peers.link_test import KEY, free_address, wait_until
from masticfork.peers.node import NodeSettings, PeerNode
from masticfork.peers.platform_watch import CONFIGURATION_KEY
from masticfork.peers.records import LinkSettings
from masticfork.store.embedded import EmbeddedStore
from masticfork.systems.confirmation import ConfirmationState, confirmation_state

MANIFEST = Manifest((), (), ())


def check(number, submission_id, text):
    return Ok(Configuration(number, submission_id, MANIFEST))


class Host:
    def __init__(self, name, seeds, store=None, address=None, incarnation=1):
        self.address = address or free_address()
        self.tables = Tables(SelfRow(name, "z1", region="r1"))
        link = LinkSettings(name, "z1", self.address, (KEY,), incarnation, tuple(seeds))
        settings = NodeSettings(link, self.address, 900.0, heartbeat_seconds=0.1)
        self.node = PeerNode(settings, self.tables, check, store, time.time)
        assert self.node.start() == Ok(None)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._tick)
        self._thread.start()

    def _tick(self):
        while not self._stopped.wait(0.02):
            self.node.run(self.tables, time.time())

    def stop(self):
        self._stopped.set()
        self._thread.join()
        self.node.stop()

    def states(self):
        return {host: row.state for host, row in sorted(self.tables.hosts.items())}

    def number(self):
        return self.node.relay.number


@pytest.fixture
def make():
    with contextlib.ExitStack() as stack:

        def start(*arguments, **options):
            host = Host(*arguments, **options)
            stack.callback(host.stop)
            return host

        yield start


def submit(store, text):
    value = {"submission_id": text, "manifest": text}
    deadline = Deadline.after(time.time(), 5.0)
    return store.create(CONFIGURATION_KEY, value, deadline).unwrap().version


class TestFleet:
    def test_hosts_find_each_other_through_one_seed(self, make):
        first = make("h0", [])
        rest = [make(f"h{n}", [first.address]) for n in range(1, 4)]
        hosts = [first, *rest]
        wait_until(lambda: all(len(h.node.link.linked) == 3 for h in hosts))
        wait_until(
            lambda: all(
                list(h.states().values()) == [HostState.ALIVE] * 3 for h in hosts
            )
        )

    def test_leaving_host_is_announced_immediately(self, make):
        first = make("h0", [])
        second = make("h1", [first.address])
        wait_until(lambda: "h1" in first.tables.hosts)
        second.stop()
        wait_until(lambda: first.tables.hosts["h1"].leaving)

    def test_restarted_host_is_live_again(self, make):
        first = make("h0", [])
        second = make("h1", [first.address])
        wait_until(lambda: "h1" in first.tables.hosts)
        second.stop()
        wait_until(lambda: first.tables.hosts["h1"].leaving)
        make("h1", [first.address], address=second.address, incarnation=2)
        wait_until(lambda: not first.tables.hosts["h1"].leaving)


class TestConfiguration:
    def test_host_without_the_platform_gets_it_from_a_peer(self, make):
        store = EmbeddedStore(time.time)
        first = make("h0", [], store)
        number = submit(store, "one")
        wait_until(lambda: first.number() == number)
        second = make("h1", [first.address])
        wait_until(lambda: second.number() == number)
        now = time.time()
        wait_until(
            lambda: (
                confirmation_state(second.tables, now) is ConfirmationState.CONFIRMED
            )
        )

    def test_change_reaches_hosts_that_do_not_watch(self, make):
        store = EmbeddedStore(time.time)
        first = make("h0", [], store)
        hosts = [first, *(make(f"h{n}", [first.address]) for n in range(1, 6))]
        wait_until(lambda: all(len(h.tables.hosts) == 5 for h in hosts))
        number = submit(store, "one")
        wait_until(lambda: all(h.number() == number for h in hosts))
