import pytest
from result import Err, Ok

from masticfork.core.backend_servers import Address
from masticfork.core.digests import Digest
from masticfork.core.store_position import StorePosition
from masticfork.relay.store_copies import (
    COPY_INTERVAL_SECONDS,
    COPY_TIMEOUT_SECONDS,
    HEDGE_SECONDS,
    MAX_ATTEMPTS,
    UNANSWERED_MEMORY_SECONDS,
    StoreCopies,
    ThreadedFetcher,
)
from standins.fake_loop import FakeLoop

STEP_SECONDS = 0.05


class FakeFetcher:
    """Hosts that answer 50 ms later, or not at all."""

    def __init__(self, loop):
        self._loop = loop
        self.silent = set()
        # Addresses that were asked, in order, with the times.
        self.asked = []

    def fetch(self, address, on_fetched):
        self.asked.append((address.host, self._loop.now))
        if address.host in self.silent:
            failed = Err("timed out")
            self._loop.call_after(COPY_TIMEOUT_SECONDS, lambda: on_fetched(failed))
        else:
            copy = Ok({"config": address.host})
            self._loop.call_after(0.05, lambda: on_fetched(copy))


class Copying:
    """A host that is behind until it has a copy."""

    def __init__(self):
        self.loop = FakeLoop()
        self.fetcher = FakeFetcher(self.loop)
        self.copies = StoreCopies(self.loop, "own", self.fetcher, lambda *_, **__: None)
        self.applied = []
        self.candidates = []

    def know(self, name, zone="own", version=2, silent=False):
        digest = Digest(name, 1, 1, version, StorePosition(), {}, (), zone=zone)
        self.candidates.append((digest, Address(name, 1)))
        if silent:
            self.fetcher.silent.add(name)

    def request_for(self, seconds, stop=True):
        for _ in range(round(seconds / STEP_SECONDS)):
            if stop and self.applied:
                return
            self.copies.request(self.candidates, self.applied.append)
            self.loop.advance(STEP_SECONDS)

    @property
    def hosts_asked(self):
        return [host for host, _ in self.fetcher.asked]


class TestChoice:
    def test_newest_configuration_goes_first(self):
        copying = Copying()
        copying.know("old", version=2)
        copying.know("new", zone="other", version=3)
        copying.request_for(STEP_SECONDS)
        assert copying.hosts_asked == ["new"]

    def test_own_zone_goes_first_among_equals(self):
        copying = Copying()
        copying.know("far", zone="other")
        copying.know("near")
        copying.request_for(STEP_SECONDS)
        assert copying.hosts_asked == ["near"]

    def test_other_zones_are_asked_once_a_host_has_not_answered(self):
        """Guards against a zone whose hosts ask only each other."""
        copying = Copying()
        copying.know("near-1", silent=True)
        copying.know("near-2", silent=True)
        copying.know("far", zone="other")
        for _ in range(20):
            copying.know(f"far-{_}", zone="other")
        copying.request_for(3.0)
        assert copying.applied
        assert len(copying.fetcher.asked) <= 3

    def test_host_that_has_not_answered_is_asked_last(self):
        """Guards against a silent host that has the newest version, asked again."""
        copying = Copying()
        copying.know("silent", version=9, silent=True)
        copying.know("answers", version=3)
        copying.request_for(3.0)
        assert copying.hosts_asked == ["silent", "answers"]

    def test_silent_host_is_asked_again_if_no_other_is_left(self):
        copying = Copying()
        copying.know("only", silent=True)
        copying.request_for(COPY_TIMEOUT_SECONDS + 2 * STEP_SECONDS)
        copying.fetcher.silent.clear()
        copying.request_for(COPY_TIMEOUT_SECONDS)
        assert copying.applied

    def test_silence_is_forgotten(self):
        copying = Copying()
        copying.know("near", silent=True)
        copying.know("far", zone="other")
        copying.request_for(1.0)
        copying.fetcher.silent.clear()
        copying.loop.advance(UNANSWERED_MEMORY_SECONDS)
        copying.request_for(STEP_SECONDS, stop=False)
        assert copying.hosts_asked[-1] == "near"


class TestTimes:
    @pytest.mark.parametrize("silent", [1, 2, 3, 4, 5, 6])
    def test_copy_arrives_whatever_number_of_hosts_is_silent(self, silent):
        """Guards against attempts that wait for each other's timeouts."""
        copying = Copying()
        for number in range(silent):
            copying.know(f"silent-{number}", version=9, silent=True)
        copying.know("answers", version=3)
        copying.request_for(9.0)
        assert copying.applied
        rounds = silent // MAX_ATTEMPTS
        limit = silent * HEDGE_SECONDS + rounds * COPY_TIMEOUT_SECONDS
        assert copying.loop.now <= limit + 0.3

    def test_attempts_at_a_time_are_bounded(self):
        copying = Copying()
        for number in range(9):
            copying.know(f"silent-{number}", silent=True)
        copying.request_for(COPY_TIMEOUT_SECONDS - STEP_SECONDS)
        assert len(copying.fetcher.asked) == MAX_ATTEMPTS

    def test_pause_follows_a_copy(self):
        copying = Copying()
        copying.know("answers")
        copying.request_for(COPY_INTERVAL_SECONDS, stop=False)
        assert len(copying.applied) == 1
        copying.request_for(0.3, stop=False)
        assert len(copying.applied) == 2


class TestThreadedFetcher:
    def test_attempt_that_fails_unexpectedly_ends(self, monkeypatch):
        """Guards against a host that never copies again after one odd failure."""

        def fail(address):
            raise KeyError("odd")

        monkeypatch.setattr("masticfork.relay.store_copies._fetch_copy", fail)
        loop, results = FakeLoop(), []
        fetcher = ThreadedFetcher(loop)
        fetcher.fetch(Address("127.0.0.1", 1), results.append)
        fetcher._executor.shutdown(wait=True)
        assert [result.err_value for result in results] == ["KeyError('odd')"]
