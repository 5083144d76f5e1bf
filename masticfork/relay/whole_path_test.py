import http.client
import itertools
import socket
import time

import pytest

from masticfork.platform.settings_file import Bounds
from standins.entry_world import (
    ENGINES,
    SERVICE,
    configuration,
    read_answer,
    route,
    server_entry,
    world,
)
from standins.scripted_server import (
    CloseConnectionError,
    ResetConnectionError,
    answer,
    chunk,
    event,
    events,
    refusal,
    stream_head,
)


def whole(asked):
    yield answer(asked, b"body of " + asked.target.encode())


def reset(asked):
    raise ResetConnectionError
    yield b""


def refuse(asked):
    yield refusal()


def once(first, then):
    """Return a script that answers its first request in another way."""
    calls = itertools.count()

    def script(asked):
        yield from (first if next(calls) == 0 else then)(asked)

    return script


class TestPlainCalls:
    def test_bytes_pass_unchanged_in_both_directions(self):
        with world() as it:
            server = it.add_server(whole, SERVICE)
            it.wait_for_servers(1)
            got = it.ask("/unsafe/x?y=%20z", body=bytes(range(256)))
        assert got.status == 200
        assert got.body == b"body of /unsafe/x?y=%20z"
        assert got.headers["x-masticfork-server-stamp"] == "s1"
        assert server.asked[0].body == bytes(range(256))

    def test_server_sees_the_team_and_never_the_key(self):
        forged = {"X-Masticfork-Tenant": "other", "X-Masticfork-Hold": "h"}
        with world() as it:
            server = it.add_server(whole, SERVICE)
            it.wait_for_servers(1)
            it.ask("/safe/x", headers=forged)
        headers = server.asked[0].headers
        assert headers["x-masticfork-tenant"] == "team-1"
        assert headers["x-masticfork-expect-instance"] == "i-1"
        assert "authorization" not in headers
        assert "x-masticfork-hold" not in headers
        assert 0 < int(headers["x-masticfork-deadline-ms"]) <= 2000

    @pytest.mark.parametrize(
        ("path", "headers", "status"),
        [
            ("/other/x", {}, 404),
            ("/safe", {}, 404),
            ("/safe/x", {"Host": "b.example"}, 404),
            ("/safe/x", {"Authorization": "Bearer wrong"}, 401),
            ("/safe/x", {"Authorization": ""}, 401),
            ("/safe/x", {"X-Masticfork-Attempt-Id": ""}, 400),
        ],
    )
    def test_what_the_configuration_does_not_allow_is_refused(
        self, path, headers, status
    ):
        with world() as it:
            server = it.add_server(whole, SERVICE)
            it.wait_for_servers(1)
            assert it.ask(path, headers=headers).status == status
        assert server.asked == []

    def test_connection_is_kept_for_the_next_request(self):
        with world() as it:
            it.add_server(whole, SERVICE)
            it.wait_for_servers(1)
            connection = http.client.HTTPConnection(it.front.host, it.front.port, 5)
            bodies = []
            for path in ("/safe/1", "/safe/2", "/unsafe/3"):
                connection.request("POST", path, b"x", it.headers())
                bodies.append(read_answer(connection).body)
            connection.close()
        assert bodies == [b"body of /safe/1", b"body of /safe/2", b"body of /unsafe/3"]

    def test_chunked_request_reaches_the_server_whole(self):
        with world() as it:
            server = it.add_server(whole, SERVICE)
            it.wait_for_servers(1)
            connection = http.client.HTTPConnection(it.front.host, it.front.port, 5)
            parts = iter([b"one", b"two"])
            connection.request(
                "POST", "/safe/1", parts, it.headers(), encode_chunked=True
            )
            assert read_answer(connection).status == 200
            connection.close()
        assert server.asked[0].body == b"onetwo"


# How a server's answer may go wrong, and what the caller of a call that may not be
# repeated gets: 503 only where the request has surely not run.
def cut_body(asked):
    yield answer(asked, b"whole body")[:-4]
    raise CloseConnectionError


def garbage(asked):
    yield b"\x00\x01 no answer\r\n\r\n"


def unsigned(asked):
    yield answer(asked, b"x").replace(b"X-Masticfork-Server-Stamp: s1\r\n", b"")


def other_answer(asked):
    yield answer(asked, b"x").replace(asked.attempt_id.encode(), b"other")


def encoded(asked):
    yield answer(asked, b"x", extra={"Content-Encoding": "gzip"})


def refused_without_proof(asked):
    yield b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


def unframed_reset(asked):
    yield (
        f"HTTP/1.1 200 OK\r\nX-Masticfork-Attempt-Id: {asked.attempt_id}\r\n"
        "X-Masticfork-Server-Stamp: s1\r\n\r\nhalf"
    ).encode()
    time.sleep(0.05)
    raise ResetConnectionError


FAULTS = [
    (reset, 502),
    (cut_body, 502),
    (garbage, 502),
    (unsigned, 502),
    (other_answer, 502),
    (encoded, 502),
    (refused_without_proof, 502),
    (unframed_reset, 502),
    (refuse, 503),
]


class TestBrokenAnswers:
    @pytest.mark.parametrize(("fault", "status"), FAULTS)
    def test_non_idempotent_call_runs_once_and_is_not_misreported(self, fault, status):
        spec = configuration(1, route("unsafe", max_attempts=1))
        with world(spec) as it:
            server = it.add_server(fault, SERVICE)
            it.wait_for_servers(1)
            got = it.ask("/unsafe/x")
            # The log tells the status that the caller got.
            assert it.logged("end", status=status)
        assert got.status == status
        assert len(server.asked) == 1
        assert ("retry-after" in got.headers) == (status == 503)

    @pytest.mark.parametrize("fault", [fault for fault, _ in FAULTS])
    def test_idempotent_call_is_answered_by_another_server(self, fault):
        with world() as it:
            for _ in range(2):
                it.add_server(once(fault, whole), SERVICE)
            it.wait_for_servers(2)
            # The first request meets the fault of one server and then of the other.
            it.ask("/safe/x")
            got = it.ask("/safe/x")
        assert got.status == 200
        assert got.body == b"body of /safe/x"

    def test_answer_without_length_that_ends_cleanly_is_whole(self):
        def unframed(asked):
            yield (
                f"HTTP/1.1 200 OK\r\nX-Masticfork-Attempt-Id: {asked.attempt_id}\r\n"
                "X-Masticfork-Server-Stamp: s1\r\n\r\nall of it"
            ).encode()
            raise CloseConnectionError

        with world() as it:
            it.add_server(unframed, SERVICE)
            it.wait_for_servers(1)
            got = it.ask("/unsafe/x")
        assert (got.status, got.body) == (200, b"all of it")

    def test_extra_bytes_after_an_answer_reach_no_request(self):
        def doubled(asked):
            yield answer(asked, b"first") + answer(asked, b"second")

        with world() as it:
            it.add_server(doubled, SERVICE)
            it.wait_for_servers(1)
            assert [it.ask("/safe/x").body for _ in range(3)] == [b"first"] * 3

    def test_unreachable_server_is_not_counted_as_run(self):
        spec = configuration(1, route("unsafe", max_attempts=1))
        with world(spec) as it:
            it.add_server(whole, SERVICE).close()
            it.wait_for_servers(1)
            got = it.ask("/unsafe/x")
        assert got.status == 503
        assert float(got.headers["retry-after"]) > 0

    def test_silent_server_is_answered_for_at_the_end_of_the_time(self):
        def silent(asked):
            time.sleep(3)
            yield b""

        spec = configuration(1, route("unsafe", timeout_ms=400))
        with world(spec) as it:
            it.add_server(silent, SERVICE)
            it.wait_for_servers(1)
            began = time.monotonic()
            got = it.ask("/unsafe/x")
        assert got.status == 504
        assert 0.3 < time.monotonic() - began < 0.9


class TestStreams:
    def test_events_pass_as_they_come(self):
        with world() as it:
            it.add_server(lambda a: events(a, 5, pause=0.05), ENGINES)
            it.wait_for_servers(1)
            got = it.ask("/streaming/x")
        assert got.whole
        assert got.body == b"".join(event(n) for n in range(1, 6))

    def test_small_model_answers_where_it_is_confident(self):
        with world() as it:
            server = it.add_server(lambda a: events(a, 3, confidence=80), ENGINES)
            it.wait_for_servers(1)
            it.ask("/streaming/x")
        assert [a.headers["x-masticfork-model"] for a in server.asked] == ["small"]
        assert server.asked[0].headers["x-masticfork-request-priority"] == "2"

    def test_largest_model_answers_where_the_small_one_is_not_confident(self):
        def script(asked):
            small = asked.headers["x-masticfork-model"] == "small"
            yield from events(asked, 3, confidence=5 if small else 90)

        with world() as it:
            server = it.add_server(script, ENGINES)
            it.wait_for_servers(1)
            got = it.ask("/streaming/x")
        models = [a.headers["x-masticfork-model"] for a in server.asked]
        assert models == ["small", "large"]
        assert got.body == b"".join(event(n) for n in range(1, 4))

    @pytest.mark.parametrize("cut", [b"", b"id: 3\nda"])
    def test_broken_stream_goes_on_after_its_last_whole_event(self, cut):
        def breaking(asked):
            yield stream_head(asked)
            yield chunk(event(1) + event(2) + cut)
            time.sleep(0.05)
            raise ResetConnectionError

        with world() as it:
            script = once(breaking, lambda a: events(a, 4))
            servers = [it.add_server(script, ENGINES) for _ in range(2)]
            it.wait_for_servers(2)
            got = it.ask("/streaming/x")
        assert got.whole
        assert got.body == b"".join(event(n) for n in range(1, 5))
        resumed = [a for s in servers for a in s.asked if "last-event-id" in a.headers]
        assert [a.headers["last-event-id"] for a in resumed] == ["2"]

    def test_stream_that_may_not_go_on_never_looks_whole(self):
        def breaking(asked):
            yield stream_head(asked)
            yield chunk(event(1))
            time.sleep(0.05)
            raise ResetConnectionError

        spec = configuration(1, route("streaming", resumable=False))
        with world(spec) as it:
            server = it.add_server(breaking, ENGINES)
            it.wait_for_servers(1)
            got = it.ask("/streaming/x")
        assert not got.whole
        assert len(server.asked) == 1

    def test_silent_stream_goes_on_elsewhere(self):
        def stalling(asked):
            yield stream_head(asked)
            yield chunk(event(1))
            time.sleep(3)

        with world() as it:
            script = once(stalling, lambda a: events(a, 2))
            for _ in range(2):
                it.add_server(script, ENGINES)
            it.wait_for_servers(2)
            got = it.ask("/streaming/x")
        assert got.body == event(1) + event(2)


class TestCallersThatLeave:
    @pytest.mark.parametrize("events_before", [0, 1])
    def test_server_is_freed_within_half_a_second(self, events_before):
        def slow(asked):
            yield stream_head(asked)
            for number in range(1, events_before + 1):
                yield chunk(event(number))
            for _ in range(40):
                time.sleep(0.05)
                yield b""

        with world() as it:
            server = it.add_server(slow, ENGINES)
            it.wait_for_servers(1)
            connection = http.client.HTTPConnection(it.front.host, it.front.port, 5)
            connection.request("POST", "/streaming/x", b"x", it.headers())
            it.wait_until(lambda: len(server.asked) == 1)
            time.sleep(0.1)
            connection.close()
            it.wait_until(lambda: server.abandoned == 1, 0.5)


class TestCallerLimits:
    def raw(self, it, data):
        with socket.create_connection((it.front.host, it.front.port), 5) as sock:
            sock.sendall(data)
            return sock.recv(65536)

    def test_bytes_that_are_no_request_get_400(self):
        with world() as it:
            assert self.raw(it, b"no request\r\n\r\n").startswith(b"HTTP/1.1 400")

    def test_two_lengths_are_refused(self):
        with world() as it:
            data = (
                b"POST /safe/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled"
            )
            assert self.raw(it, data).startswith(b"HTTP/1.1 400")

    def test_large_body_is_refused_before_it_is_read(self):
        limits = {"max_body_bytes": 1000}
        with world(configuration(1, limits=limits)) as it:
            got = self.raw(
                it, b"POST /safe/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"
            )
        assert got.startswith(b"HTTP/1.1 413")

    def test_large_header_is_refused(self):
        limits = {"max_header_bytes": 500}
        with world(configuration(1, limits=limits)) as it:
            got = self.raw(
                it, b"GET /safe/x HTTP/1.1\r\nX: " + b"x" * 600 + b"\r\n\r\n"
            )
        assert got.startswith(b"HTTP/1.1 431")

    def test_slow_header_is_refused(self):
        with world(configuration(1, limits={"header_timeout_ms": 300})) as it:
            assert self.raw(it, b"GET /safe/x HT").startswith(b"HTTP/1.1 408")

    def test_idle_connection_is_closed_in_time(self):
        with world(configuration(1, limits={"idle_timeout_ms": 400})) as it:
            began = time.monotonic()
            assert self.raw(it, b"") == b""
            assert 0.3 < time.monotonic() - began < 1.5


class TestConfiguration:
    def test_host_that_knows_none_is_not_ready_and_refuses(self):
        with world(False, wait=False) as it:
            it.wait_until(lambda: it.logged("started"))
            time.sleep(0.2)
            assert not it.is_ready()
            assert it.ask("/safe/x").status == 503

    def test_callers_come_back_later_the_longer_the_outage_lasts(self):
        """A caller that comes back within the outage has used up its second try."""
        with world(False, wait=False) as it:
            it.wait_until(lambda: it.logged("started"))
            time.sleep(1.5)
            # The pause is spread from 0.6 to 1.6 of the time waited so far.
            pauses = [float(it.ask("/safe/x").headers["retry-after"]) for _ in "1234"]
            assert min(pauses) > 0.9
            assert max(pauses) < 4.0

    def test_newer_one_is_in_force_and_an_older_one_never_again(self):
        with world() as it:
            it.add_server(whole, SERVICE)
            it.wait_for_servers(1)
            it.store.put("config", "main", configuration(5, route("unsafe")))
            it.wait_until(lambda: it.logged("configuration in force", version=5))
            assert it.ask("/safe/x").status == 404
            it.store.put("config", "main", configuration(4))
            time.sleep(0.3)
            assert it.ask("/safe/x").status == 404

    def test_unreadable_one_leaves_the_last_good_one_in_force(self):
        with world() as it:
            it.add_server(whole, SERVICE)
            it.wait_for_servers(1)
            it.store.put("config", "main", {"version": "x", "routes": 3})
            it.wait_until(lambda: it.logged("entry ignored"))
            assert it.ask("/safe/x").status == 200

    def test_forgotten_history_is_listed_again(self):
        with world() as it:
            it.add_server(whole, SERVICE)
            it.wait_for_servers(1)
            it.store.forget_history()
            it.store.put("config", "main", configuration(7, route("unsafe")))
            it.wait_until(lambda: it.logged("configuration in force", version=7))

    def test_store_that_is_down_changes_nothing(self):
        with world() as it:
            it.add_server(whole, SERVICE)
            it.wait_for_servers(1)
            it.store.faults.set({"down": True})
            it.wait_until(lambda: it.logged("store lost"))
            assert it.ask("/safe/x").status == 200
            it.store.faults.set({"down": False})
            it.wait_until(lambda: it.logged("store regained"))


class TestLeavingServers:
    def test_draining_server_gets_no_new_call(self):
        with world() as it:
            leaving = it.add_server(whole, SERVICE)
            it.add_server(whole, SERVICE)
            it.wait_for_servers(2)
            entry = server_entry(leaving, SERVICE, state="draining", sequence=2)
            it.store.put("servers", "i-1", entry)
            it.wait_until(lambda: it.logged("server changed", server="i-1"))
            before = len(leaving.asked)
            for _ in range(6):
                assert it.ask("/safe/x").status == 200
            assert len(leaving.asked) == before

    def test_entry_that_vanishes_in_an_outage_stays_for_a_while(self):
        with world() as it:
            it.add_server(whole, SERVICE)
            it.wait_for_servers(1)
            it.store.faults.set({"down": True})
            it.wait_until(lambda: it.logged("store lost"))
            it.store.remove("servers", "i-1")
            it.store.faults.set({"down": False})
            it.wait_until(lambda: it.logged("server missing"))
            assert it.ask("/safe/x").status == 200
            it.wait_until(lambda: it.logged("server removed"), 4.0)
            assert it.ask("/safe/x").status == 503


class TestGracefulShutdown:
    def test_running_request_is_finished_and_the_host_is_not_ready(self):
        with world(bounds=Bounds(grace=6.0)) as it:
            it.add_server(lambda a: events(a, 5, pause=0.2), ENGINES)
            it.wait_for_servers(1)
            connection = http.client.HTTPConnection(it.front.host, it.front.port, 5)
            connection.request("POST", "/streaming/x", b"x", it.headers())
            time.sleep(0.3)
            it.host.request_stop()
            it.wait_until(lambda: not it.is_ready(), 1.0)
            got = read_answer(connection)
        assert got.whole
        assert got.body == b"".join(event(n) for n in range(1, 6))

    def test_late_stream_on_a_kept_connection_is_refused_not_cut(self):
        """A caller sends on a kept connection until the process is gone."""
        with world(bounds=Bounds(grace=7.0)) as it:
            it.add_server(lambda a: events(a, 2), ENGINES)
            it.wait_for_servers(1)
            connection = http.client.HTTPConnection(it.front.host, it.front.port, 9)
            connection.request("POST", "/streaming/x", b"x", it.headers())
            assert read_answer(connection).status == 200
            it.host.request_stop()
            # The stop closes idle connections after 2.6 s; this one is about to send.
            time.sleep(2.55)
            connection.request("POST", "/streaming/x", b"x", it.headers())
            time.sleep(0.1)
            got = read_answer(connection)
            late = it.ask("/streaming/x")
        assert got.status in (200, 503)
        assert late.status == 503
        assert late.headers["connection"] == "close"
