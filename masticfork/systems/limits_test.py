"""Tests of the shares of team limits and of their division."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from masticfork.core.ids import HostName, TeamName
from masticfork.core.limits import Amounts, LimitShare, ShareRequest
from masticfork.core.manifest import Limits
from masticfork.systems.limits import SHARE_SECONDS, ShareAllocator, ShareHolder
from masticfork.systems.water_filling import divide, whole_parts

TEAM = TeamName("kremnica")
LIMIT = 100.0
HOSTS = tuple(HostName(f"entry-{number}") for number in range(4))

ACTIONS = ("answered", "late", "late_arrives", "lost", "owner_lost", "host_lost")


def share_request(
    host: HostName, demand: float, holds: LimitShare | None = None
) -> ShareRequest:
    return ShareRequest(TEAM, host, Amounts(demand), Amounts(), holds)


class Fleet:
    """Hosts that request shares from one owner; replies and owners may be lost."""

    def __init__(self) -> None:
        self.now = 0.0
        self.fencing = 1
        self.holders = {host: ShareHolder() for host in HOSTS}
        self.owner = self.new_owner()
        self.late: list[tuple[HostName, LimitShare]] = []

    def new_owner(self) -> ShareAllocator:
        limits = Limits(requests_per_second=LIMIT)
        return ShareAllocator(TEAM, limits, self.fencing, self.now)

    def step(self, host: HostName, demand: float, action: str, seconds: float) -> None:
        self.now += seconds
        if action == "owner_lost":
            self.fencing += 1
            self.owner = self.new_owner()
            return
        if action == "host_lost":
            self.holders[host] = ShareHolder()
            return
        if action == "late_arrives":
            for receiver, share in self.late:
                self.holders[receiver].accept(share)
            self.late.clear()
            return
        holds = self.holders[host].current(self.now)
        share = self.owner.grant(share_request(host, demand, holds), self.now)
        if action == "answered":
            self.holders[host].accept(share)
        if action == "late":
            self.late.append((host, share))

    def in_use(self) -> float:
        shares = (holder.current(self.now) for holder in self.holders.values())
        return sum(share.amounts.requests_per_second for share in shares if share)


class TestDivide:
    @given(
        st.floats(1, 1e6),
        st.dictionaries(st.text(min_size=1), st.floats(0, 1e6), min_size=1),
    )
    def test_parts_sum_to_the_amount(self, amount, demands):
        shares = divide(amount, demands)
        assert abs(sum(shares.values()) - amount) <= amount * 1e-9

    def test_higher_demand_gets_a_larger_part(self):
        shares = divide(100.0, {"a": 90.0, "b": 0.0, "c": 0.0, "d": 0.0})
        assert shares["a"] >= 80.0
        assert shares["b"] >= 5.0


class TestWholeParts:
    @given(st.dictionaries(st.text(min_size=1), st.floats(0, 1e3), min_size=1))
    def test_parts_are_whole_and_keep_the_sum(self, demands):
        parts = divide(7.0, demands)
        whole = whole_parts(parts, demands)
        assert sum(whole.values()) == 7
        assert all(part == int(part) for part in whole.values())

    def test_a_limit_of_one_goes_to_the_host_with_demand(self):
        demands = {"a": 0.0, "b": 0.0, "c": 1.0, "d": 0.0}
        whole = whole_parts(divide(1.0, demands), demands)
        assert whole == {"a": 0, "b": 0, "c": 1, "d": 0}


class TestShareAllocator:
    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(HOSTS),
                st.floats(0, 200),
                st.sampled_from(ACTIONS),
                st.floats(0, 2),
            ),
            max_size=60,
        )
    )
    def test_sum_of_shares_never_exceeds_the_limit(self, steps):
        fleet = Fleet()
        for host, demand, action, seconds in steps:
            fleet.step(host, demand, action, seconds)
            assert fleet.in_use() <= LIMIT * (1 + 1e-9)

    def test_a_share_in_a_delayed_reply_is_still_counted(self):
        fleet = Fleet()
        fleet.now = SHARE_SECONDS
        fleet.step(HOSTS[1], 0.0, "lost", 0.0)
        fleet.step(HOSTS[0], 200.0, "late", SHARE_SECONDS)
        fleet.step(HOSTS[0], 0.0, "lost", 0.1)
        fleet.step(HOSTS[1], 200.0, "answered", 0.1)
        fleet.step(HOSTS[0], 0.0, "late_arrives", 0.1)
        assert fleet.in_use() <= LIMIT

    def test_share_of_a_dead_host_is_reassigned_after_it_expires(self):
        fleet = Fleet()
        fleet.now = SHARE_SECONDS
        for _ in range(3):
            fleet.step(HOSTS[0], 100.0, "answered", 0.1)
            fleet.step(HOSTS[1], 100.0, "answered", 0.1)
        fleet.holders[HOSTS[0]] = ShareHolder()
        for _ in range(10):
            fleet.step(HOSTS[1], 100.0, "answered", 1.0)
        assert fleet.in_use() > 0.99 * LIMIT

    def test_new_owner_keeps_the_shares_that_hosts_report(self):
        fleet = Fleet()
        fleet.now = SHARE_SECONDS
        fleet.step(HOSTS[0], 100.0, "answered", 0.0)
        before = fleet.in_use()
        fleet.step(HOSTS[0], 0.0, "owner_lost", 0.1)
        fleet.step(HOSTS[0], 100.0, "answered", 0.1)
        assert fleet.in_use() == before


class TestShareHolder:
    def test_ignores_an_older_share(self):
        holder = ShareHolder()
        owner = ShareAllocator(TEAM, Limits(requests_per_second=LIMIT), 1, 0.0)
        first = owner.grant(share_request(HOSTS[0], 1.0), 5.0)
        second = attrs.evolve(first, number=first.number + 1)
        holder.accept(second)
        holder.accept(first)
        assert holder.current(5.0) == second

    def test_share_expires_at_its_deadline(self):
        holder = ShareHolder()
        owner = ShareAllocator(TEAM, Limits(requests_per_second=LIMIT), 1, 0.0)
        holder.accept(owner.grant(share_request(HOSTS[0], 1.0), 5.0))
        assert holder.current(5.0 + SHARE_SECONDS) is None
