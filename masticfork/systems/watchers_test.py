"""Tests of which hosts watch the platform."""

from masticfork.core.deadlines import Deadline
from masticfork.core.hosts import HostState
from masticfork.core.tables import HostRow, SelfRow, Tables
from masticfork.systems.watchers import is_watcher, watchers

LATER = Deadline(10.0)


def fleet(count, regions=1, dead=()):
    """Return the tables of every live host of a fleet."""
    rows = {
        f"h{n}": HostRow(
            f"h{n}",
            "z1",
            "10.0.0.1:1",
            0.0,
            LATER,
            LATER,
            region=f"r{n % regions}",
            state=HostState.DEAD if f"h{n}" in dead else HostState.ALIVE,
        )
        for n in range(count)
    }
    return [
        Tables(
            SelfRow(name, "z1", region=row.region),
            hosts={other: rows[other] for other in rows if other != name},
        )
        for name, row in rows.items()
        if name not in dead
    ]


class TestWatchers:
    def test_all_hosts_of_a_small_fleet_watch(self):
        assert all(is_watcher(tables) for tables in fleet(4))

    def test_two_hosts_a_region_watch_in_a_large_fleet(self):
        watching = [t.me.region for t in fleet(60, regions=4) if is_watcher(t)]
        assert sorted(watching) == sorted(["r0", "r1", "r2", "r3"] * 2)

    def test_dead_watcher_is_replaced(self):
        gone = next(iter(sorted(watchers(fleet(12)[0]))))
        survivors = fleet(12, dead={gone})
        assert sum(is_watcher(tables) for tables in survivors) == 2

    def test_stopping_host_does_not_watch(self):
        tables = fleet(1)[0]
        tables.me = SelfRow("h0", "z1", stopping=True)
        assert not is_watcher(tables)
