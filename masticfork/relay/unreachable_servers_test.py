"""Hosts that reach no server while callers and other hosts reach them."""

import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import attrs
import pytest

from masticfork.relay import server_call
from masticfork.relay.channel import connect
from standins.entry_environment import (
    ENGINES,
    SERVICE,
    configuration,
    route,
    running_entry_host,
)
from standins.object_store import ObjectStore
from standins.scripted_server import events, response
from standins.server_paths import Cut, ServerPaths

HOSTS = 3
PLAIN_SERVERS, ENGINE_COUNT = 3, 3
KINDS = ("safe", "unsafe", "streaming")
# Time from the beginning of a cut until callers must be served again.
KNOWN_SECONDS = 3.0
SPEC = configuration(
    1, route("safe"), route("unsafe"), route("streaming", sizes=["small"])
)


def answer(request):
    if request.target.startswith("/streaming/"):
        yield from events(request, 5, pause=0.01, confidence=90)
    else:
        time.sleep(0.01)
        yield response(request, b"whole")


@attrs.define(eq=False)
class Fleet:
    """Hosts, servers and the paths between each host and the servers."""

    hosts: list
    paths: list

    def send_for(self, number, seconds, per_second=15):
        """Send requests of all kinds to a host; return (kind, seconds, response)."""
        started, sent = time.monotonic(), []
        with ThreadPoolExecutor(48) as pool:
            for count in range(round(seconds * per_second)):
                kind = KINDS[count % len(KINDS)]
                at = time.monotonic() - started
                reply = pool.submit(self.hosts[number].send, f"/{kind}/x")
                sent.append((kind, at, reply))
                time.sleep(1.0 / per_second)
        return [(kind, at, reply.result()) for kind, at, reply in sent]

    def arrivals(self):
        """Return how often each attempt of an unsafe request reached a server."""
        return Counter(
            request.attempt_id
            for server in self.hosts[0].servers
            for request in server.requests
            if request.target.startswith("/unsafe/")
        )


@pytest.fixture()
def fleet(monkeypatch):
    store = ObjectStore()
    store.put("config", "main", SPEC)
    with ExitStack() as stack:
        hosts = [
            stack.enter_context(running_entry_host(host=f"host-{n}", store=store))
            for n in range(HOSTS)
        ]
        paths = [ServerPaths() for _ in hosts]
        by_loop = {env.host.loop: path for env, path in zip(hosts, paths, strict=True)}
        monkeypatch.setattr(
            server_call,
            "connect",
            lambda loop, address: (
                by_loop[loop].connect(loop, address)
                if loop in by_loop
                else connect(loop, address)
            ),
        )
        for path in paths:
            stack.callback(path.close)
        for service, count in ((SERVICE, PLAIN_SERVERS), (ENGINES, ENGINE_COUNT)):
            for _ in range(count):
                hosts[0].add_server(answer, service)
        last = f"i-{PLAIN_SERVERS + ENGINE_COUNT}"
        for number, env in enumerate(hosts):
            env.wait_until(lambda env=env: env.host.knows_server(last))
            env.wait_until(lambda env=env: env.host.live_peer_count == HOSTS - 1)
            env._attempts = number * 10_000
        yield Fleet(hosts, paths)


def failures(replies, since):
    """Return those sent later that were not answered whole."""
    return [
        (kind, reply.status)
        for kind, at, reply in replies
        if at >= since and (reply.status != 200 or not reply.complete)
    ]


class TestCallersOfACutOffHost:
    @pytest.mark.parametrize("cut", Cut)
    @pytest.mark.parametrize("cut_count", [1, 2])
    def test_are_served(self, fleet, cut, cut_count):
        """Guards against a host that tries server after server in vain."""
        fleet.send_for(0, 0.5)
        for path in fleet.paths[:cut_count]:
            path.cut(cut)
        replies = fleet.send_for(0, KNOWN_SECONDS + 2.0)
        assert not failures(replies, KNOWN_SECONDS)
        assert max(fleet.arrivals().values()) == 1

    @pytest.mark.parametrize("cut", Cut)
    def test_are_served_by_the_host_itself_after_the_cut(self, fleet, cut):
        """Guards against a host that goes on calling others when it need not."""
        fleet.paths[0].cut(cut)
        fleet.send_for(0, 1.5)
        fleet.paths[0].heal()
        time.sleep(2.0)
        fleet.paths[0].connections.clear()
        others = [len(path.connections) for path in fleet.paths[1:]]
        assert not failures(fleet.send_for(0, 1.0), 0.0)
        assert len(fleet.paths[0].connections) >= 5
        assert [len(path.connections) for path in fleet.paths[1:]] == others


class TestOtherHosts:
    @pytest.mark.parametrize("cut", Cut)
    def test_serve_their_callers_as_before(self, fleet, cut):
        """Guards against servers that all hosts avoid since one cannot reach them."""
        fleet.paths[0].cut(cut)
        with ThreadPoolExecutor(1) as pool:
            cut_off = pool.submit(fleet.send_for, 0, 4.0)
            assert not failures(fleet.send_for(1, 4.0), 0.0)
            cut_off.result()
