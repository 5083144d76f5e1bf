"""Entries of other writers that cannot be read, beside sound ones."""

import json
import time
from contextlib import ExitStack
from types import SimpleNamespace

import pytest

from standins.entry_environment import (
    SERVICE,
    configuration,
    route,
    running_entry_host,
    server_entry,
)
from standins.object_store import ObjectStore
from standins.scripted_server import ScriptedServer, response

HOSTS = 3
# With a short target, a call counts as silent after half a second, which passes now and
# then on a busy machine.
ROUTES = [route(kind, target_latency_ms=1500) for kind in ("safe", "unsafe")]
# Time within which a change of the servers has to take effect.
CHANGE_SECONDS = 3.0


def nested(depth):
    return b"[" * depth + b"]" * depth


def entry(**raw_fields):
    """Return the encoded entry of a server with some fields replaced by raw bytes."""
    usual = server_entry(SimpleNamespace(address="127.0.0.1:9"), SERVICE)
    fields = {name: json.dumps(value).encode() for name, value in usual.items()}
    fields |= raw_fields
    parts = (b'"%b": %b' % (name.encode(), raw) for name, raw in fields.items())
    return b"{" + b", ".join(parts) + b"}"


ODD_SERVERS = {
    "nested-30": entry(slots=nested(30)),
    "nested-400": entry(slots=nested(400)),
    "nested-900": entry(slots=nested(900)),
    "nested-960": entry(slots=nested(960)),
    "nested-990": entry(slots=nested(990)),
    "nested-100000": entry(slots=nested(100_000)),
    "nested-objects": entry(slots=b'{"a":' * 5000 + b"1" + b"}" * 5000),
    "nested-unknown-field": entry(other=nested(2000)),
    "nested-spec": nested(3000),
    "slots-too-large": entry(slots=b"1" + b"0" * 400),
    "slots-of-5000-digits": entry(slots=b"9" * 5000),
    "slots-infinite": entry(slots=b"1e999"),
    "cold-too-large": entry(cold_remaining_ms=b"1" + b"0" * 400),
    "cold-of-5000-digits": entry(cold_remaining_ms=b"9" * 5000),
    "cold-infinite": entry(cold_remaining_ms=b"1e999"),
    "cold-not-a-number": entry(cold_remaining_ms=b"NaN"),
    "born-too-large": entry(born=b"1" + b"0" * 400),
    "born-of-5000-digits": entry(born=b"9" * 5000),
    "sequence-of-5000-digits": entry(sequence=b"9" * 5000, state=b'"odd"'),
    "port-70000": entry(address=b'"127.0.0.1:70000"'),
    "port-0": entry(address=b'"127.0.0.1:0"'),
    "port-of-5000-digits": entry(address=b'"127.0.0.1:' + b"9" * 5000 + b'"'),
    "port-negative": entry(address=b'"127.0.0.1:-1"'),
    "address-with-nul": entry(address=b'"127.0.0.1\\u0000:80"'),
    "address-with-long-label": entry(address=b'"' + b"a" * 70 + b'.example:80"'),
    "address-unencodable": entry(address=b'"\\ud800:80"'),
    "address-unspecified": entry(address=b'"0.0.0.0:80"'),
    "address-a-name": entry(address=b'"no-such-host:80"'),
    "version-unencodable": entry(version=b'"\\ud800"'),
    "version-not-utf-8": entry(version=b'"\xff\xfe"'),
    "version-with-newline": entry(version=b'"v1\\r\\nx: y"'),
    "version-of-100000-characters": entry(version=b'"' + b"v" * 100_000 + b'"'),
    "zone-unencodable": entry(zone=b'"\\udfff"'),
    "service-unencodable": entry(service=b'"\\ud800"'),
    "state-unencodable": entry(state=b'"\\ud800"'),
    "spec-null": b"null",
    "spec-number": b"7",
    "spec-infinite": b"-Infinity",
    "spec-string": b'"x"',
    "spec-list": b"[]",
}


def whole_response(request):
    yield response(request, b"whole")


class Fleet:
    """Entry hosts of one zone, of which two read the store for all."""

    def __init__(self, store, stack):
        self.store = store
        self.stack = stack
        self.hosts = []
        self.number = 0

    def start_host(self):
        name = f"host-{len(self.hosts)}"
        env = running_entry_host(host=name, store=self.store)
        self.hosts.append(self.stack.enter_context(env))

    def wait_until(self, condition, seconds=CHANGE_SECONDS):
        self.hosts[0].wait_until(lambda: all(map(condition, self.hosts)), seconds)

    def add_server(self):
        server = ScriptedServer(whole_response)
        self.stack.callback(server.close)
        self.number += 1
        name = f"i-{self.number}"
        self.store.put("servers", name, server_entry(server, SERVICE))
        return name, server

    def assert_serving(self, server):
        """Send some requests to each host, which the server answers."""
        before = len(server.requests)
        for env in self.hosts:
            for kind in ("safe", "unsafe"):
                for number in range(3):
                    session = {"Session": f"s-{number}"}
                    assert env.send(f"/{kind}/x", headers=session).status == 200
        assert len(server.requests) - before == 6 * len(self.hosts)


@pytest.fixture(scope="module")
def fleet():
    with ExitStack() as stack:
        store = ObjectStore()
        store.put("config", "main", configuration(1, *ROUTES))
        fleet = Fleet(store, stack)
        for _ in range(HOSTS):
            fleet.start_host()
        fleet.wait_until(lambda env: env.host.live_peer_count == HOSTS - 1, 12.0)
        name, _ = fleet.add_server()
        fleet.wait_until(lambda env: env.host.knows_server(name))
        yield fleet


class TestOddServers:
    """Guards against hosts that stop following the list at an entry of another."""

    @pytest.mark.parametrize("odd", ODD_SERVERS)
    def test_later_changes_take_effect_on_all_hosts(self, fleet, odd):
        before = f"i-{fleet.number}"
        fleet.store.put_raw("servers", "odd", ODD_SERVERS[odd])
        time.sleep(0.1)
        name, server = fleet.add_server()
        fleet.store.remove("servers", before)
        fleet.wait_until(
            lambda env: (
                env.host.knows_server(name) and not env.host.knows_server(before)
            )
        )
        assert not any(env.host.knows_server("odd") for env in fleet.hosts)
        fleet.assert_serving(server)

    def test_finding_is_logged_once_for_each_entry(self, fleet):
        """Guards against a log that is flooded by a writer that repeats its entry."""
        fleet.store.remove("servers", "odd")
        name, _ = fleet.add_server()
        fleet.wait_until(lambda env: env.host.knows_server(name))

        def findings():
            return sum(
                record.kwargs.get("place") == "servers/repeated"
                for env in fleet.hosts
                for record in list(env.log.records)
            )

        for _ in range(4):
            fleet.store.put_raw("servers", "repeated", ODD_SERVERS["port-70000"])
            time.sleep(0.8)
        assert 1 <= findings() <= len(fleet.hosts)

    def test_server_whose_entry_becomes_odd_gets_no_more_requests(self, fleet):
        name, server = fleet.add_server()
        other = server_entry(server, SERVICE)
        fleet.wait_until(lambda env: env.host.knows_server(name))
        fleet.store.put_raw("servers", name, ODD_SERVERS["nested-400"])
        fleet.wait_until(lambda env: not env.host.knows_server(name))
        fleet.store.put("servers", name, other)
        fleet.wait_until(lambda env: env.host.knows_server(name))


class TestOtherKinds:
    @pytest.mark.parametrize("odd", ["nested-400", "nested-100000", "spec-infinite"])
    @pytest.mark.parametrize(
        ("kind", "name"),
        [
            ("config", "main"),
            ("config", "other"),
            ("rollouts", "other"),
            ("masticfork-hosts", "host-9"),
        ],
    )
    def test_later_configurations_take_effect_on_all_hosts(
        self, fleet, kind, name, odd
    ):
        fleet.store.put_raw(kind, name, ODD_SERVERS[odd])
        time.sleep(0.1)
        version = 1 + max(env.host._tables.routes.version for env in fleet.hosts)
        fleet.store.put("config", "main", configuration(version, *ROUTES))
        fleet.wait_until(lambda env: env.host._tables.routes.version == version)


class TestStart:
    def test_host_that_starts_among_odd_entries_gets_ready_and_serves(self, fleet):
        """Guards against a host that never gets ready after a restart."""
        for kind in ("servers", "rollouts", "masticfork-hosts"):
            for name, spec in ODD_SERVERS.items():
                fleet.store.put_raw(kind, f"odd-{name}", spec)
        fleet.start_host()
        name, server = fleet.add_server()
        for number in range(1, fleet.number):
            fleet.store.remove("servers", f"i-{number}")
        fleet.wait_until(lambda env: env.host.knows_server(name))
        fleet.wait_until(lambda env: not env.host.knows_server(f"i-{fleet.number - 1}"))
        fleet.assert_serving(server)
