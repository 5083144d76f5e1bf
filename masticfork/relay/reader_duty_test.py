"""Hosts of one availability zone of which two read the store for the others."""

import time
from contextlib import ExitStack, contextmanager

import pytest

from masticfork.core.digests import Digest
from masticfork.core.store_position import StorePosition
from masticfork.platform.objects import Listing, PlatformObject
from masticfork.platform.settings_file import Bounds
from masticfork.relay.followers import StoreProbe
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.reader_duty import ReaderDuty
from masticfork.relay.store_view import StoreView
from masticfork.relay.tables import Tables
from masticfork.store.client import ErrorKind, PlatformError
from masticfork.systems.store_readers import (
    ReaderCandidate,
    choose_readers,
    overdue_limit,
    silence_limit,
)
from standins.entry_environment import (
    SERVICE,
    configuration,
    large_configuration,
    route,
    running_entry_host,
    server_entry,
)
from standins.fake_loop import FakeLoop
from standins.object_store import ObjectStore
from standins.scripted_server import response

HOSTS = 5
# Shortest time within which a change in the store has to take effect on all hosts.
SHORTEST_CHANGE_SECONDS = Bounds().shortest_change
# Time for which the loop of a paused host stands still.
PAUSE_SECONDS = 4.0


def complete_response(request):
    yield response(request, b"whole")


class Fleet:
    """Entry hosts that share one store."""

    def __init__(self, store, hosts):
        self.store = store
        self.hosts = hosts

    def host_names_reading(self):
        """Return the names of the hosts that read the store."""
        return {
            env.host._settings.host for env in self.hosts if env.host.reads_the_store
        }

    def wait_until(self, condition, seconds=8.0):
        self.hosts[0].wait_until(condition, seconds)

    def wait_for_readers(self, count):
        self.wait_until(lambda: len(self.host_names_reading()) == count)

    def version(self, env):
        """Return the configuration version that a host has in force."""
        table = env.host._tables.routes
        return 0 if table is None else table.version

    def wait_for_version(self, version, seconds=4.0):
        self.wait_until(
            lambda: all(self.version(env) == version for env in self.hosts), seconds
        )


@contextmanager
def running_fleet(with_store_links=False):
    store = ObjectStore()
    store.put("config", "main", configuration(1))
    with ExitStack() as stack:
        hosts = [
            stack.enter_context(
                running_entry_host(
                    host=f"host-{n}", store=store, with_store_link=with_store_links
                )
            )
            for n in range(HOSTS)
        ]
        fleet = Fleet(store, hosts)
        fleet.wait_until(
            lambda: all(env.host.live_peer_count == HOSTS - 1 for env in hosts), 12.0
        )
        fleet.wait_for_readers(2)
        yield fleet


@pytest.fixture(scope="module")
def fleet():
    with running_fleet() as running:
        yield running


class TestReaders:
    def test_changes_reach_all_hosts_within_the_time_of_their_rules(self, fleet):
        fleet.store.put("config", "main", configuration(3, route("unsafe")))
        fleet.wait_for_version(3, 2.0)
        server = fleet.hosts[0].add_server(complete_response, SERVICE)
        fleet.wait_until(
            lambda: all(env.send("/unsafe/x").status == 200 for env in fleet.hosts), 2.0
        )
        entry = server_entry(server, SERVICE, state="draining", sequence=2)
        fleet.store.put("servers", "i-1", entry)
        fleet.wait_until(
            lambda: all(env.send("/unsafe/x").status == 503 for env in fleet.hosts), 2.0
        )

    def test_configuration_too_large_for_a_datagram_is_copied(self, fleet):
        fleet.store.put("config", "main", large_configuration(5))
        fleet.wait_for_version(5, 3.0)
        fleet.store.put("config", "main", configuration(6))
        fleet.wait_for_version(6, 2.0)

    def test_calls_to_the_store_do_not_grow_with_the_hosts(self, fleet):
        before = fleet.store.counts()["calls"]
        for version in range(10, 16):
            fleet.store.put("config", "main", configuration(version))
            fleet.wait_for_version(version)
            time.sleep(0.3)
        # Two readers: a watch of each kind for at most 4 s, and one for each change.
        assert fleet.store.counts()["calls"] - before <= 2 * (6 + 6)

    def test_restored_store_is_followed_and_its_older_configuration_is_not(self, fleet):
        version = fleet.version(fleet.hosts[0])
        stored_copy = fleet.store.take_copy()
        fleet.store.put("config", "main", configuration(version + 2))
        fleet.wait_for_version(version + 2)
        fleet.store.restore(stored_copy)
        fleet.hosts[0].add_server(complete_response, SERVICE)
        fleet.wait_until(
            lambda: all(env.send("/safe/x").status == 200 for env in fleet.hosts), 4.0
        )
        assert {fleet.version(env) for env in fleet.hosts} == {version + 2}
        fleet.store.put("config", "main", configuration(version + 4))
        fleet.wait_for_version(version + 4)


class TestFailingReaders:
    def test_readers_that_stop_are_replaced(self):
        with running_fleet() as fleet:
            readers = fleet.host_names_reading()
            stopped = [env for env in fleet.hosts if env.host._settings.host in readers]
            fleet.hosts = [env for env in fleet.hosts if env not in stopped]
            for env in stopped:
                env.host.loop.post(env.host.loop.stop)
            fleet.store.put("config", "main", configuration(4))
            fleet.wait_for_version(4, 4.0)
            fleet.wait_for_readers(2)
            assert not fleet.host_names_reading() & readers


def stop(env):
    env.host.loop.post(env.host.loop.stop)


def pause(env):
    env.host.loop.post(lambda: time.sleep(PAUSE_SECONDS))


def cut_from_store(env):
    env.store_link.hold(to_server=True, from_server=True)


def cut_from_answers(env):
    env.store_link.hold(to_server=False, from_server=True)


class TestLostReaders:
    @pytest.mark.parametrize("lose", [stop, pause, cut_from_store, cut_from_answers])
    def test_changes_apply_in_time_while_all_readers_are_lost(self, lose):
        """Guards against a key that other hosts accept long after its removal."""
        with running_fleet(with_store_links=True) as fleet:
            server = fleet.hosts[0].add_server(complete_response, SERVICE)
            for env in fleet.hosts:
                env.wait_until(lambda env=env: env.host.knows_server("i-1"))
            readers = fleet.host_names_reading()
            lost = [env for env in fleet.hosts if env.host._settings.host in readers]
            fleet.hosts = [env for env in fleet.hosts if env not in lost]
            for env in lost:
                lose(env)
            time.sleep(0.05)
            fleet.store.put("config", "main", configuration(4))
            entry = server_entry(server, SERVICE, state="draining", sequence=2)
            fleet.store.put("servers", "i-1", entry)
            fleet.wait_until(
                lambda: all(
                    fleet.version(env) == 4 and env.send("/safe/x").status == 503
                    for env in fleet.hosts
                ),
                SHORTEST_CHANGE_SECONDS,
            )


class FakePeers:
    """Digests of other hosts, set by the test."""

    def __init__(self):
        self.digests = []
        # Silence in seconds up to which digests were asked for.
        self.seconds = 0.0

    def recent_digests(self, seconds):
        self.seconds = seconds
        return self.digests


class FakeFollower:
    """Records whether it follows the store."""

    kind = "servers"

    def __init__(self):
        self.following = True

    def pause(self):
        self.following = False

    def resume(self, position):
        self.following = True


class DutyOfOneHost:
    """The duty of one host among others whose digests the test sets."""

    def __init__(self):
        self.loop = FakeLoop()
        self.peers = FakePeers()
        self.follower = FakeFollower()
        self.tables = Tables(self.loop, lambda *_, **__: None)
        self.view = StoreView(
            self.loop,
            self.tables,
            self.peers,
            RelayMetrics(),
            lambda *_, **__: None,
            lambda: None,
            lambda: None,
        )
        spec = configuration(1)
        stored = PlatformObject("main", 2, 2, spec, None)
        self.view.on_listing("config", Listing((stored,), 3))
        self.view.on_listing("servers", Listing((), 3))
        self.view.on_listing("rollouts", Listing((), 3))
        self.names = [f"host-{number}" for number in range(9)]
        candidates = [ReaderCandidate(name, "z", False) for name in self.names]
        self.chosen = choose_readers(candidates)
        self.me = next(name for name in self.names if name not in self.chosen)
        self.duty = ReaderDuty(
            self.loop,
            self.me,
            "z",
            self.tables,
            self.peers,
            self.view,
            [self.follower],
            lambda *_, **__: None,
            lambda: SHORTEST_CHANGE_SECONDS,
        )

    def hear(self, failing=(), silent=()):
        """Set the digests of the other hosts and run the duty."""
        self.peers.digests = [
            Digest(
                name,
                1,
                1,
                1,
                StorePosition(),
                {},
                (),
                zone="z",
                reading=name in self.chosen,
                store_failing=name in failing,
            )
            for name in self.names
            if name not in (self.me, *silent)
        ]
        self.duty.run()


class FakeObjects:
    """A store whose answers to probes the test sets; the last one is repeated."""

    def __init__(self, *answers):
        self.probes = 0
        self.answered_at = float("-inf")
        self._answers = list(answers)

    def answers(self, kind, name, deadline):
        answered = self._answers[min(self.probes, len(self._answers) - 1)]
        self.probes += 1
        if answered:
            self.answered_at = time.monotonic()
        return answered


class ProbeResults:
    """Receives the results of probes."""

    def __init__(self):
        self.results = []

    def on_probe(self, answered):
        self.results.append(answered)


def run_probe(objects, silence, seconds=0.5):
    """Run a probe of a store for some time and return its results."""
    loop, listener = FakeLoop(), ProbeResults()
    loop.running = True
    StoreProbe(
        "masticfork-hosts", "host-1", objects, loop, listener, lambda: silence
    ).start()
    time.sleep(seconds)
    loop.running = False
    return listener.results


class TestProbe:
    def test_store_that_answers_no_probe_counts_as_failed(self):
        results = run_probe(FakeObjects(False), silence=0.2)
        assert results
        assert not any(results)

    def test_single_lost_answer_does_not_count(self):
        """Guards against readers that are replaced for each lost answer."""
        assert all(run_probe(FakeObjects(False, True), silence=0.2))

    def test_answers_to_other_calls_take_the_place_of_probes(self):
        objects = FakeObjects(True)
        objects.answered_at = time.monotonic() + 60.0
        assert all(run_probe(objects, silence=0.2))
        assert not objects.probes

    def test_no_probe_is_sent_while_no_host_relies_on_this_one(self):
        objects = FakeObjects(True)
        run_probe(objects, silence=None)
        assert not objects.probes


class TestDuty:
    """Pattern: 77 hosts whose store fails, for all of them or for some."""

    def test_host_that_was_not_chosen_stops_reading(self):
        host = DutyOfOneHost()
        host.hear()
        assert not host.follower.following

    def test_host_that_hears_no_reader_reads(self):
        host = DutyOfOneHost()
        host.hear()
        assert not host.follower.following
        host.hear(silent=host.chosen)
        assert host.follower.following
        host.hear(silent=host.names)
        assert host.follower.following

    def test_reader_is_replaced_long_before_a_change_must_take_effect(self):
        host = DutyOfOneHost()
        host.hear()
        assert host.peers.seconds == silence_limit(SHORTEST_CHANGE_SECONDS) <= 1.0

    def test_host_that_stood_still_waits_until_it_can_hear_the_others(self):
        """Guards against all hosts reading after a moment without processor time."""
        host = DutyOfOneHost()
        host.hear()
        host.loop.now += 3.0
        host.hear(silent=host.names)
        assert not host.duty.reading
        host.loop.now += 0.25
        host.hear(silent=host.names)
        assert host.duty.reading

    def test_host_whose_checks_are_always_late_takes_over_nevertheless(self):
        host = DutyOfOneHost()
        host.hear()
        for _ in range(2):
            host.loop.now += 3.0
            host.hear(silent=host.names)
        assert host.duty.reading

    def test_host_that_is_behind_for_too_long_reads_the_store_itself(self):
        """Guards against hosts that wait for others who do not pass on a change."""
        host = DutyOfOneHost()
        host.hear()
        newer = Digest("host-x", 1, 1, 2, StorePosition(), {}, ())
        host.view.apply_updates(newer)
        host.hear()
        assert not host.duty.reading
        steps = round(overdue_limit(SHORTEST_CHANGE_SECONDS) / 0.25)
        for _ in range(steps):
            host.loop.now += 0.25
            host.hear()
        assert host.duty.reading
        stored = PlatformObject("main", 4, 2, configuration(2), None)
        host.view.on_listing("config", Listing((stored,), 5))
        host.peers.live_digests = []
        host.view.run(host.loop.now, reading=True)
        host.hear()
        assert not host.duty.reading

    def test_reader_sends_several_digests_within_the_silence(self):
        host = DutyOfOneHost()
        silence = silence_limit(SHORTEST_CHANGE_SECONDS)
        assert host.duty.digest_interval_seconds <= silence / 4
        host.hear()
        assert host.duty.digest_interval_seconds == float("inf")

    def test_probes_are_for_readers_on_which_others_rely(self):
        host = DutyOfOneHost()
        host.hear(silent=host.names)
        assert host.duty.reading
        assert host.duty.tolerated_silence is None
        host.hear(silent=host.chosen)
        assert host.duty.reading
        assert host.duty.tolerated_silence == silence_limit(SHORTEST_CHANGE_SECONDS)
        host.hear()
        assert host.duty.tolerated_silence is None

    def test_each_reader_probes_the_store(self):
        """Guards against a return of the store that is noticed late."""
        host = DutyOfOneHost()
        host.hear(silent=host.names)
        assert host.duty.reading
        assert host.duty.probe_silence == silence_limit(SHORTEST_CHANGE_SECONDS)
        host.hear()
        assert not host.duty.reading
        assert host.duty.probe_silence is None

    def test_reader_without_answers_to_probes_is_replaced(self):
        host = DutyOfOneHost()
        host.hear(silent=host.chosen)
        host.view.on_probe(False)
        assert host.view.store_failing
        host.hear()
        assert not host.duty.reading

    def test_outage_does_not_make_all_hosts_read(self):
        host = DutyOfOneHost()
        host.hear()
        host.hear(failing=[name for name in host.names if name != host.me])
        # Now this host is first in rank; once it fails as well, it waits again.
        assert host.follower.following
        error = PlatformError(ErrorKind.UNAVAILABLE, "down")
        host.view.on_store_failure("servers", error)
        for _ in range(4):
            host.loop.now += 0.25
            host.hear(failing=[name for name in host.names if name != host.me])
        assert not host.follower.following

    def test_failure_of_a_call_in_progress_does_not_exclude_a_paused_host(self):
        host = DutyOfOneHost()
        host.hear()
        host.view.on_store_failure(
            "servers", PlatformError(ErrorKind.UNAVAILABLE, "cut")
        )
        host.hear()
        host.loop.now += 5.0
        assert not host.view.store_failing

    def test_failed_listing_of_hosts_does_not_exclude_a_reader(self):
        host = DutyOfOneHost()
        host.view.on_store_failure(
            "masticfork-hosts", PlatformError(ErrorKind.UNAVAILABLE, "old era")
        )
        host.loop.now += 5.0
        assert not host.view.store_failing
