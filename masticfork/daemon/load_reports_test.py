from concurrent.futures import ThreadPoolExecutor

from result import Err, Ok

from masticfork.backends.engine import CacheEvents
from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.configuration import Configuration
from masticfork.core.ids import HostName, PoolName, ServerName, ZoneName
from masticfork.core.manifest import BackendServer, Manifest, Pool
from masticfork.core.tables import SelfRow, Tables
from masticfork.daemon.load_reports import MAX_ENGINES, ROUND_SECONDS, LoadReports
from masticfork.systems.prefixes import PrefixTable
from masticfork.systems.servers import put_in_force

ZONE = ZoneName("zilina")


class Engines:
    def __init__(self, answer):
        self.answer = answer
        self.asked = []

    def load(self, server, deadline):
        self.asked.append(server.name)
        return self.answer

    def cache_events(self, server, after, deadline):
        return Ok(CacheEvents(("held",), (), after + 1))


def world(answer, count=2):
    servers = tuple(
        BackendServer(ServerName(f"drafting-{n}"), "127.0.0.1", 9000 + n, ZONE)
        for n in range(count)
    )
    tables = Tables(SelfRow(HostName("entry-1"), ZONE))
    manifest = Manifest((), (), (Pool(PoolName("small"), servers),))
    put_in_force(tables, Configuration(1, "s", manifest))
    return tables, Engines(answer)


def two_rounds(tables, engines):
    with ThreadPoolExecutor(1) as background:
        reports = LoadReports(engines, PrefixTable(), background, lambda: 7.0)
        reports.run(tables, 0.0)
    reports.run(tables, ROUND_SECONDS / 2)


class TestLoadReports:
    def test_puts_reports_in_the_table(self):
        tables, engines = world(Ok({"running": 3, "queued": 2}))
        two_rounds(tables, engines)
        rows = tables.servers.values()
        assert {(r.reported_running, r.reported_queued) for r in rows} == {(3, 2)}
        assert {row.reported_at for row in rows} == {7.0}

    def test_a_failed_or_malformed_answer_changes_nothing(self):
        failure = CallFailure(Stage.CONNECTING, FailureKind.CONNECTION, "refused")
        for answer in (Err(failure), Ok({"running": "many"})):
            tables, engines = world(answer)
            two_rounds(tables, engines)
            assert {row.reported_at for row in tables.servers.values()} == {0.0}

    def test_asks_a_bounded_number_of_engines(self):
        tables, engines = world(Ok({"running": 0, "queued": 0}), 3 * MAX_ENGINES)
        two_rounds(tables, engines)
        assert len(engines.asked) == MAX_ENGINES
