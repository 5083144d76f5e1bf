"""Hosts that reach no server while callers and other hosts reach them."""

import socket
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
from standins.repeated_refusal import RepeatedRefusal
from standins.scripted_server import (
    CloseConnectionError,
    ResetConnectionError,
    chunk,
    event,
    events,
    response,
    stream_head,
    unframed_head,
)
from standins.server_paths import Cut, ServerPaths
from standins.stream_errors import (
    STREAM_ERRORS,
    WHOLE_EVENTS,
    BreakingServers,
    is_beginning_of_the_stream,
)

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


class TestPromises:
    """What callers are promised holds for calls through another host."""

    @pytest.fixture()
    def cut_off(self, fleet):
        """Cut the first host off, and wait until it calls servers through others."""
        fleet.paths[0].cut(Cut.REFUSE)
        env = fleet.hosts[0]
        env.send("/safe/x")
        env.wait_until(lambda: env.host.cut_off)
        for server in env.servers:
            server.requests.clear()
        return env

    def use(self, env, script):
        for server in env.servers:
            server.script = script

    def requests(self, env):
        return [request for server in env.servers for request in server.requests]

    def open_request(self, env, path):
        """Send a request; return its connection, from which nothing was read."""
        sock = socket.create_connection((env.front.host, env.front.port))
        headers = env.headers({"Content-Length": "0"})
        lines = [f"{name}: {value}" for name, value in headers.items()]
        sock.sendall("\r\n".join([f"POST {path} HTTP/1.1", *lines, "", ""]).encode())
        return sock

    def test_answer_that_ends_with_its_connection_is_whole(self, cut_off):
        def unframed(request):
            yield unframed_head(request)
            yield b"all of it"
            raise CloseConnectionError

        self.use(cut_off, unframed)
        answer = cut_off.send("/safe/x")
        assert (answer.status, answer.body) == (200, b"all of it")

    def test_answer_that_its_server_resets_is_not_whole(self, cut_off):
        """Guards against a reset that arrives as the end of an answer."""

        def broken(request):
            yield unframed_head(request)
            yield b"half of"
            time.sleep(0.05)
            raise ResetConnectionError

        self.use(cut_off, broken)
        assert cut_off.send("/unsafe/x").status == 502
        assert len(self.requests(cut_off)) == 1

    @pytest.mark.parametrize("end", [CloseConnectionError, ResetConnectionError])
    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    @pytest.mark.parametrize("missing", [1, 3, 30, 120])
    def test_answer_that_ends_in_its_head_is_a_failure(
        self, cut_off, kind, missing, end
    ):
        """Guards against a short or empty answer that is framed as whole."""

        def cut(request):
            yield response(request, b"")[:-missing]
            raise end

        self.use(cut_off, cut)
        assert cut_off.send(f"/{kind}/x").status == 502
        ran = Counter(request.attempt_id for request in self.requests(cut_off))
        assert kind == "safe" or set(ran.values()) == {1}

    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    def test_repeated_refusal_of_another_request_is_not_met(self, cut_off, kind):
        """Guards against "not run" for a request that a server is running."""
        self.use(cut_off, RepeatedRefusal(503))
        for _ in range(8):
            assert cut_off.send(f"/{kind}/x").status == 200

    @pytest.mark.parametrize("name", STREAM_ERRORS)
    def test_errors_do_not_reach_a_stream_that_has_begun(self, cut_off, name):
        """Guards against an error's text, or an early end, in a caller's stream."""
        self.use(cut_off, BreakingServers(STREAM_ERRORS[name], 99, b""))
        got = cut_off.read_stream("/streaming/x")
        assert got.status == 200
        assert not got.complete
        assert is_beginning_of_the_stream(got.body)
        self.use(cut_off, BreakingServers(STREAM_ERRORS[name], 1, b""))
        got = cut_off.read_stream("/streaming/x")
        assert got.complete
        assert got.body == b"".join(WHOLE_EVENTS)

    def test_request_that_may_have_run_is_not_repeated(self, fleet, cut_off):
        """Guards against a host that fails under a call and has it sent again."""

        def slow(request):
            time.sleep(0.5)
            yield response(request, b"whole")

        self.use(cut_off, slow)
        with ThreadPoolExecutor(1) as pool:
            answer = pool.submit(cut_off.send, "/unsafe/x")
            cut_off.wait_until(lambda: len(self.requests(cut_off)) == 1)
            self.lose_transits(fleet)
            assert answer.result().status == 502
        assert len(self.requests(cut_off)) == 1

    def test_stream_goes_on_through_a_third_host(self, fleet, cut_off):
        def slow_events(request):
            yield from events(request, 6, pause=0.1, confidence=90)

        self.use(cut_off, slow_events)
        with ThreadPoolExecutor(1) as pool:
            answer = pool.submit(cut_off.send, "/streaming/x")
            cut_off.wait_until(lambda: len(self.requests(cut_off)) == 1)
            time.sleep(0.25)
            self.lose_transits(fleet)
            answer = answer.result()
        assert (answer.status, answer.complete) == (200, True)
        assert answer.body == b"".join(event(number) for number in range(1, 7))

    def lose_transits(self, fleet):
        """Break the connections that the other hosts hold for the first one."""
        for env in fleet.hosts[1:]:
            listener = env.host._transit_listener
            env.host.loop.post(
                lambda listener=listener: [
                    c.close() for c in set(listener._connections)
                ]
            )

    def test_server_is_told_that_the_caller_has_left(self, cut_off):
        def endless(request):
            yield stream_head(request, 90)
            for number in range(1, 500):
                time.sleep(0.02)
                yield chunk(event(number))

        self.use(cut_off, endless)
        with self.open_request(cut_off, "/streaming/x") as sock:
            sock.recv(4096)
        abandoned = [server.abandoned for server in cut_off.servers]
        cut_off.wait_until(
            lambda: any(server.abandoned for server in cut_off.servers), 1.0
        )
        assert sum(abandoned) <= 1

    def test_caller_that_does_not_read_stops_the_server(self, cut_off):
        """Guards against an answer that gathers in the memory of the hosts."""
        sent = []

        def large(request):
            yield unframed_head(request)
            for _ in range(1000):
                sent.append(65536)
                yield bytes(65536)
            raise CloseConnectionError

        self.use(cut_off, large)
        with self.open_request(cut_off, "/safe/x"):
            time.sleep(1.5)
            assert 0 < sum(sent) < 40 << 20

    def test_host_that_stops_ends_the_calls_of_others_first(self, fleet, cut_off):
        """Guards against a planned stop that cuts the calls of another host."""

        def slow(request):
            time.sleep(1.0)
            yield response(request, b"whole")

        self.use(cut_off, slow)
        with ThreadPoolExecutor(1) as pool:
            answer = pool.submit(cut_off.send, "/unsafe/x")
            cut_off.wait_until(lambda: len(self.requests(cut_off)) == 1)
            for env in fleet.hosts[1:]:
                env.host.request_stop()
            assert answer.result().status == 200
        refused = cut_off.send("/unsafe/x")
        assert (refused.status, len(self.requests(cut_off))) == (503, 1)

    def test_deadly_request_is_found(self, fleet, cut_off):
        """Guards against crashes that only the host between has seen."""

        def deadly(request):
            if request.body == b"deadly":
                time.sleep(0.1)
                raise CloseConnectionError
            yield response(request, b"whole")

        self.use(cut_off, deadly)
        for _ in range(8):
            assert cut_off.send("/safe/x", body=b"deadly").status in (502, 503)
            time.sleep(0.2)
        assert len(self.requests(cut_off)) <= 3
