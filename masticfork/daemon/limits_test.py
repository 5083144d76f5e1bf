"""Tests of shared limits over real peer links, with a clock that is set."""

import contextlib
from concurrent.futures import Future

import attrs
import pytest
from result import Err, Ok

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.hosts import HostState
from masticfork.core.limits import Amounts
from masticfork.core.manifest import Limits, Manifest, Team
from masticfork.core.tables import HostRow, SelfRow, Tables
from masticfork.daemon.limits import LimitSharing
from masticfork.daemon.topics import Topics
from masticfork.peers.link import PeerLink
from masticfork.peers.link_test import KEY, free_address, wait_until
from masticfork.peers.messages import Evidence
from masticfork.peers.records import Handlers, LinkSettings
from masticfork.peers.requests import RequestError
from masticfork.peers.selection import PeerAddress
from masticfork.systems.rollouts import DriverLease

LIMIT = 100.0
TEAM = Team("team", (), (), 0.5, limits=Limits(requests_per_second=LIMIT))
CONFIGURATION = Configuration(1, "s", Manifest((TEAM,), (), ()))


class Host:
    """One host: a link, tables, and sharing whose messages can be cut."""

    def __init__(self, name, fleet):
        self.name, self.fleet = name, fleet
        self.asked = 0.0
        self.tables = Tables(SelfRow(name, "z"), CONFIGURATION)
        self.told = 0
        topics = Topics()
        self.sharing = LimitSharing(self.tables, self, len(fleet.names), fleet.clock)
        for topic, handler in self.sharing.topics.items():
            topics.register(topic, handler)

        def receive(sender, body):
            reply = topics(sender, body)
            self.told += 1
            return reply

        address = free_address()
        seeds = tuple(fleet.addresses)
        fleet.addresses.append(address)
        settings = LinkSettings(name, "z", address, (KEY,), 1, seeds)
        self.link = PeerLink(settings, Handlers({Evidence: receive}), fleet.clock)
        assert self.link.start() == Ok(None)
        self.sharing.attach(self, self)

    def hold(self, duty):
        if self.name != self.fleet.holder:
            return None
        return DriverLease(self.fleet.fencing, Deadline(1e9))

    def demand(self, team, now):
        return Amounts(requests_per_second=self.asked)

    def in_use(self, team):
        return Amounts()

    def broadcast(self, body):
        for peer in self.fleet.reachable(self.name):
            before = peer.told
            assert self.link.send(peer.name, body)
            wait_until(lambda peer=peer, before=before: peer.told > before)

    def request(self, host, body, deadline):
        if host not in [peer.name for peer in self.fleet.reachable(self.name)]:
            lost = Future()
            lost.set_result(Err(RequestError.NOT_SENT))
            return lost
        reply = self.link.request(host, body, deadline)
        reply.result(20)
        return reply

    def may_use(self):
        return self.sharing.amounts("team", self.fleet.now).requests_per_second


class Fleet:
    """Hosts with one clock, one lease and a list of those that are cut off."""

    def __init__(self, names):
        self.names, self.now = names, 1000.0
        self.addresses, self.cut = [], set()
        self.holder, self.fencing = names[0], 1
        self.hosts = [Host(name, self) for name in names]
        peers = [
            PeerAddress(name, "z", address)
            for name, address in zip(names, self.addresses, strict=True)
        ]
        for host in self.hosts:
            # Links that were not chosen close as the clock goes on.
            host.link.set_peers(peers)
        for host in self.hosts:
            others = len(names) - 1
            wait_until(lambda host=host, n=others: len(host.link.linked) == n)
            host.tables.hosts = {
                name: HostRow(
                    name, "z", "", 0.0, Deadline(1e9), Deadline(1e9), incarnation=1
                )
                for name in names
                if name != host.name
            }

    def clock(self):
        return self.now

    def elect(self, name):
        self.holder, self.fencing = name, self.fencing + 1

    def reachable(self, name):
        return [
            host
            for host in self.hosts
            if host.name != name and (host.name in self.cut) == (name in self.cut)
        ]

    def see_dead(self, observers, names):
        for host in observers:
            for name in names:
                host.tables.hosts[name] = attrs.evolve(
                    host.tables.hosts[name],
                    state=HostState.DEAD,
                    dead_at=Deadline(self.now),
                )

    def kill(self, host):
        host.link.stop()
        self.hosts.remove(host)
        self.see_dead(self.hosts, [host.name])

    def part(self, names):
        self.cut = set(names)
        for side in (self.cut, set(self.names) - self.cut):
            here = [host for host in self.hosts if host.name in side]
            self.see_dead(here, set(self.names) - side)

    def run(self, rounds):
        """Go on by a second a round; the sum must hold at every quarter."""
        for _ in range(rounds):
            for host in list(self.hosts):
                host.sharing.round()
                self.check()
            for _ in range(4):
                self.now += 0.25
                self.check()

    def check(self):
        used = {host.name: host.may_use() for host in self.hosts}
        assert sum(used.values()) <= LIMIT * (1 + 1e-9), used


@pytest.fixture
def fleet():
    with contextlib.ExitStack() as stack:
        made = Fleet(["a", "b", "c", "d"])
        for host in made.hosts:
            stack.callback(host.link.stop)
        yield made


class TestShares:
    def test_follow_demand(self, fleet):
        a, b, c, d = fleet.hosts
        b.asked = 200.0
        fleet.run(12)
        assert b.may_use() >= 0.8 * LIMIT
        b.asked, d.asked = 0.0, 200.0
        fleet.run(8)
        assert d.may_use() >= 0.8 * LIMIT
        assert min(host.may_use() for host in (a, b, c)) > 0

    def test_without_an_owner_the_limit_is_split_evenly(self, fleet):
        fleet.elect(None)
        fleet.run(20)
        assert [host.may_use() for host in fleet.hosts] == [LIMIT / 4] * 4

    def test_a_new_owner_takes_over(self, fleet):
        a, b, c, _ = fleet.hosts
        c.asked = 200.0
        fleet.run(10)
        fleet.kill(a)
        fleet.run(3)
        fleet.elect("b")
        fleet.run(30)
        assert b.may_use() > 0
        assert c.may_use() >= 0.8 * LIMIT

    def test_a_dead_hosts_share_comes_back_once(self, fleet):
        a, _, c, d = fleet.hosts
        c.asked = d.asked = 200.0
        fleet.run(10)
        fleet.kill(d)
        # It no longer counts as a claimant after six seconds.
        fleet.run(8)
        # Its even part is kept while it could be cut off only; the rest is back.
        assert c.may_use() > 0.6 * LIMIT
        fleet.run(25)
        assert c.may_use() >= 0.8 * LIMIT
        assert a.may_use() > 0

    def test_a_host_that_is_cut_off_keeps_an_even_part_for_a_while(self, fleet):
        a, _, _, d = fleet.hosts
        a.asked = d.asked = 200.0
        fleet.run(10)
        fleet.part(["d"])
        fleet.run(5)
        assert d.may_use() == LIMIT / 4
        fleet.run(30)
        assert d.may_use() == 0
        assert a.may_use() >= 0.8 * LIMIT

    def test_an_idle_host_that_is_cut_off_is_counted_with_its_even_part(self, fleet):
        fleet.hosts[0].asked = 200.0
        fleet.run(10)
        fleet.part(["d"])
        fleet.run(30)

    def test_halves_that_lost_each_other_both_go_on(self, fleet):
        a, _, c, _ = fleet.hosts
        a.asked = c.asked = 200.0
        fleet.run(10)
        fleet.part(["c", "d"])
        fleet.run(12)
        assert c.may_use() == LIMIT / 4
        assert a.may_use() > 0
        fleet.run(30)

    def test_an_owner_on_the_smaller_side_frees_nothing(self, fleet):
        fleet.run(10)
        fleet.part(["a"])
        fleet.run(40)
        assert fleet.hosts[0].may_use() <= LIMIT / 4
        assert fleet.hosts[1].may_use() == LIMIT / 4

    def test_a_new_host_waits_for_an_owner_or_the_others(self, fleet):
        now = fleet.now
        assert [host.may_use() for host in fleet.hosts] == [0.0] * 4
        assert not fleet.hosts[1].sharing.settled(now)
        fleet.run(3)
        assert fleet.hosts[1].sharing.settled(fleet.now)
