"""Tests of the totals of other hosts' calls at the servers."""

from masticfork.core.backend_servers import Address, BackendServer
from masticfork.core.digests import HostLoad
from masticfork.core.ids import short_key
from masticfork.relay.peer_loads import PeerLoads
from masticfork.relay.tables import Tables
from standins.fake_loop import FakeLoop

SERVER = BackendServer("i-1", "s", Address("10.0.0.1", 80), "z", "v1", 6, False)
KEY = short_key("i-1")


class TestNewServer:
    def test_load_counts_at_once_at_a_server_just_added(self):
        """Between two ticks, so that it does not wait for the next one."""
        tables = Tables(FakeLoop(), lambda *_, **__: None)
        loads = PeerLoads(tables)
        loads.refresh()
        tables.put_server(SERVER)
        loads.count(KEY, HostLoad(2, 0.6, 0.0), 1)
        assert tables.row("i-1").load.running_elsewhere == 2

    def test_load_reported_before_the_server_is_listed_counts_from_the_next_tick(self):
        tables = Tables(FakeLoop(), lambda *_, **__: None)
        loads = PeerLoads(tables)
        loads.count(KEY, HostLoad(2, 0.6, 0.0), 1)
        tables.put_server(SERVER)
        loads.refresh()
        assert tables.row("i-1").load.running_elsewhere == 2
