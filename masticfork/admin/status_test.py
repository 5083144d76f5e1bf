import attrs

from masticfork.admin.status import status_of
from masticfork.admin.submissions_test import manifest
from masticfork.admin.views import HostHealth, PoolView
from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.rollouts import RolloutRow
from masticfork.core.tables import HostRow, SelfRow, Tables
from masticfork.settings.manifest import parse_manifest
from masticfork.systems.servers import activate


def tables() -> Tables:
    host_tables = Tables(SelfRow("h1", "z"))
    parsed, _ = parse_manifest(manifest(), "m").unwrap()
    activate(host_tables, Configuration(7, "s1", parsed))
    return host_tables


class TestStatus:
    def test_a_host_without_configuration(self):
        status = status_of(Tables(SelfRow("h1", "z")), "10.0.0.1:1", (), 5.0)
        assert (status.configuration_number, status.pools) == (0, ())
        assert [host.name for host in status.hosts] == ["h1"]

    def test_host_health_follows_its_deadlines(self):
        host_tables = tables()
        for name, suspect, dead, leaving in [
            ("h2", 9, 9, False),
            ("h3", 4, 9, False),
            ("h4", 4, 5, False),
            ("h5", 9, 9, True),
        ]:
            host_tables.hosts[name] = HostRow(
                name, "z", "a", 1.0, Deadline(suspect), Deadline(dead), leaving, 6
            )
        hosts = status_of(host_tables, "10.0.0.1:1", (), 5.0).hosts
        assert [(h.health, h.configuration_number) for h in hosts] == [
            (HostHealth.LIVE, 7),
            (HostHealth.LIVE, 6),
            (HostHealth.SUSPECT, 6),
            (HostHealth.DEAD, 6),
            (HostHealth.LEAVING, 6),
        ]

    def test_pools_count_their_servers(self):
        host_tables = tables()
        row = host_tables.servers["a1"]
        host_tables.servers["a1"] = attrs.evolve(
            row, ejected_until=Deadline(6), in_flight=3
        )
        (pool,) = status_of(host_tables, "a", (), 5.0).pools
        assert pool == PoolView("a", 1, 0, 1, 0, 8, 3)
        (pool,) = status_of(host_tables, "a", (), 6.0).pools
        assert (pool.ready, pool.ejected) == (1, 0)

    def test_rollouts(self):
        host_tables = tables()
        host_tables.rollouts["r"] = RolloutRow(
            "r", "linen", "linen@1", "linen@2", share=0.1
        )
        (rollout,) = status_of(host_tables, "a", (), 5.0).rollouts
        assert (rollout.state, rollout.share) == ("running", 0.1)
