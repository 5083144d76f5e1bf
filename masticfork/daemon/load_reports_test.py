from concurrent.futures import ThreadPoolExecutor

from result import Err, Ok

from masticfork.backends.engine import CacheEvents
from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.configuration import Configuration
from masticfork.core.ids import HostName, PoolName, ServerName, ZoneName
from masticfork.core.manifest import BackendServer, Manifest, Pool
from masticfork.core.tables import SelfRow, Tables
from masticfork.daemon.load_reports import (
    MAX_POLLED_ENGINES,
    POLL_INTERVAL_SECONDS,
    LoadReportPoller,
)
from masticfork.systems.prefixes import PrefixTable
from masticfork.systems.servers import activate

ZONE = ZoneName("zilina")


class FakeEngines:
    def __init__(self, answer):
        self.answer = answer
        self.polled = []

    def load(self, server, deadline):
        self.polled.append(server.name)
        return self.answer

    def cache_events(self, server, after, deadline):
        return Ok(CacheEvents(("held",), (), after + 1))


def make_tables_and_engines(answer, count=2):
    servers = tuple(
        BackendServer(ServerName(f"drafting-{n}"), "127.0.0.1", 9000 + n, ZONE)
        for n in range(count)
    )
    tables = Tables(SelfRow(HostName("entry-1"), ZONE))
    manifest = Manifest((), (), (Pool(PoolName("small"), servers),))
    activate(tables, Configuration(1, "s", manifest))
    return tables, FakeEngines(answer)


def poll_and_apply(tables, engines):
    with ThreadPoolExecutor(1) as background:
        poller = LoadReportPoller(engines, PrefixTable(), background, lambda: 7.0)
        poller.run(tables, 0.0)
    poller.run(tables, POLL_INTERVAL_SECONDS / 2)


class TestLoadReportPoller:
    def test_writes_reports_to_the_table(self):
        tables, engines = make_tables_and_engines(Ok({"running": 3, "queued": 2}))
        poll_and_apply(tables, engines)
        rows = tables.servers.values()
        assert {(r.reported_running, r.reported_queued) for r in rows} == {(3, 2)}
        assert {row.reported_at for row in rows} == {7.0}

    def test_failed_or_malformed_response_changes_nothing(self):
        failure = CallFailure(Stage.CONNECTING, FailureKind.CONNECTION, "refused")
        for answer in (Err(failure), Ok({"running": "many"})):
            tables, engines = make_tables_and_engines(answer)
            poll_and_apply(tables, engines)
            assert {row.reported_at for row in tables.servers.values()} == {0.0}

    def test_polls_a_bounded_number_of_engines(self):
        tables, engines = make_tables_and_engines(
            Ok({"running": 0, "queued": 0}), 3 * MAX_POLLED_ENGINES
        )
        poll_and_apply(tables, engines)
        assert len(engines.polled) == MAX_POLLED_ENGINES
