import http.client
import itertools
import socket
import time

import pytest

from masticfork.platform.settings_file import Bounds
from standins.entry_environment import (
    ENGINES,
    SERVICE,
    configuration,
    read_response,
    route,
    running_entry_host,
    server_entry,
)
from standins.scripted_server import (
    CloseConnectionError,
    ResetConnectionError,
    chunk,
    event,
    events,
    overloaded_response,
    response,
    stream_head,
    unframed_head,
)


def complete_response(request):
    yield response(request, b"body of " + request.target.encode())


def reset_connection(request):
    raise ResetConnectionError
    yield b""


def refuse_request(request):
    yield overloaded_response()


def fail_first(first, then):
    """Return a script that runs `first` for its first request and `then` for others."""
    calls = itertools.count()

    def script(request):
        yield from (first if next(calls) == 0 else then)(request)

    return script


class TestNonStreamRequests:
    def test_request_and_response_bodies_are_unchanged(self):
        with running_entry_host() as env:
            server = env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            got = env.send("/unsafe/x?y=%20z", body=bytes(range(256)))
        assert got.status == 200
        assert got.body == b"body of /unsafe/x?y=%20z"
        assert got.headers["x-masticfork-server-stamp"] == "s1"
        assert server.requests[0].body == bytes(range(256))

    def test_server_receives_the_team_but_not_the_key(self):
        forged = {"X-Masticfork-Tenant": "other", "X-Masticfork-Hold": "h"}
        with running_entry_host() as env:
            server = env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            env.send("/safe/x", headers=forged)
        headers = server.requests[0].headers
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
    def test_request_that_the_configuration_does_not_allow_is_refused(
        self, path, headers, status
    ):
        with running_entry_host() as env:
            server = env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            assert env.send(path, headers=headers).status == status
        assert server.requests == []

    def test_connection_is_kept_alive(self):
        with running_entry_host() as env:
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            connection = http.client.HTTPConnection(env.front.host, env.front.port, 5)
            bodies = []
            for path in ("/safe/1", "/safe/2", "/unsafe/3"):
                connection.request("POST", path, b"x", env.headers())
                bodies.append(read_response(connection).body)
            connection.close()
        assert bodies == [b"body of /safe/1", b"body of /safe/2", b"body of /unsafe/3"]

    def test_chunked_request_body_is_forwarded_completely(self):
        with running_entry_host() as env:
            server = env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            connection = http.client.HTTPConnection(env.front.host, env.front.port, 5)
            parts = iter([b"one", b"two"])
            connection.request(
                "POST", "/safe/1", parts, env.headers(), encode_chunked=True
            )
            assert read_response(connection).status == 200
            connection.close()
        assert server.requests[0].body == b"onetwo"

    def test_trailers_change_no_header_of_the_request(self):
        """Guards against a request that runs under the id or key of its trailers."""
        with running_entry_host() as env:
            server = env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            headers = {**env.headers(), "Transfer-Encoding": "chunked"}
            lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
            attempt_id = headers["X-Masticfork-Attempt-Id"]
            head = "POST /safe/1 HTTP/1.1\r\n" + "".join(lines) + "\r\n"
            trailers = "X-Masticfork-Attempt-Id: other\r\nHost: other.example\r\n"
            data = head + "3\r\none\r\n0\r\n" + trailers + "\r\n"
            with socket.create_connection((env.front.host, env.front.port), 5) as sock:
                sock.sendall(data.encode())
                assert sock.recv(65536).startswith(b"HTTP/1.1 200")
        assert server.requests[0].headers["x-masticfork-attempt-id"] == attempt_id
        assert server.requests[0].headers["host"] == headers["Host"]


# Faulty responses of a server, and the status that the caller of a non-idempotent
# request gets: 503 only if the request has certainly not run.
def truncated_body(request):
    yield response(request, b"whole body")[:-4]
    raise CloseConnectionError


def malformed_response(request):
    yield b"\x00\x01 no answer\r\n\r\n"


def unsigned_response(request):
    yield response(request, b"x").replace(b"X-Masticfork-Server-Stamp: s1\r\n", b"")


def other_request_response(request):
    yield response(request, b"x").replace(request.attempt_id.encode(), b"other")


def encoded_response(request):
    yield response(request, b"x", extra={"Content-Encoding": "gzip"})


def switched_protocol(request):
    yield b"HTTP/1.1 101 Other\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n"
    time.sleep(1)


def status_503_without_proof(request):
    yield b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


def switched_protocols(request):
    # Guards against a call that is left without an outcome.
    yield (
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
        b"Upgrade: other\r\n\r\n"
    )


def unframed_then_reset(request):
    yield unframed_head(request) + b"half"
    time.sleep(0.05)
    raise ResetConnectionError


FAULTS = [
    (reset_connection, 502),
    (truncated_body, 502),
    (malformed_response, 502),
    (unsigned_response, 502),
    (other_request_response, 502),
    (encoded_response, 502),
    (switched_protocol, 502),
    (status_503_without_proof, 502),
    (unframed_then_reset, 502),
    (switched_protocols, 502),
    (refuse_request, 503),
]


class TestFaultyResponses:
    @pytest.mark.parametrize(("fault", "status"), FAULTS)
    def test_non_idempotent_call_is_sent_once_with_the_right_status(
        self, fault, status
    ):
        spec = configuration(1, route("unsafe", max_attempts=1))
        with running_entry_host(spec) as env:
            server = env.add_server(fault, SERVICE)
            env.wait_for_servers(1)
            got = env.send("/unsafe/x")
            # The log has the same status as the response to the caller.
            assert env.logged("end", status=status)
        assert got.status == status
        assert len(server.requests) == 1
        assert ("retry-after" in got.headers) == (status == 503)

    def test_error_of_the_only_server_is_passed_on(self):
        def server_error(request):
            yield response(request, b"why", "500 Internal Server Error")

        with running_entry_host() as env:
            server = env.add_server(server_error, SERVICE)
            env.wait_for_servers(1)
            got = env.send("/safe/x")
        assert (got.status, got.body) == (500, b"why")
        assert got.headers["x-masticfork-server-stamp"] == "s1"
        assert len(server.requests) == 1

    @pytest.mark.parametrize("fault", [fault for fault, _ in FAULTS])
    def test_idempotent_call_is_answered_by_another_server(self, fault):
        with running_entry_host() as env:
            for _ in range(2):
                env.add_server(fail_first(fault, complete_response), SERVICE)
            env.wait_for_servers(2)
            # The first request meets the fault of both servers, one after the other.
            env.send("/safe/x")
            got = env.send("/safe/x")
        assert got.status == 200
        assert got.body == b"body of /safe/x"

    def test_response_without_length_is_complete_at_a_clean_close(self):
        def unframed(request):
            yield unframed_head(request) + b"all of it"
            raise CloseConnectionError

        with running_entry_host() as env:
            env.add_server(unframed, SERVICE)
            env.wait_for_servers(1)
            got = env.send("/unsafe/x")
        assert (got.status, got.body) == (200, b"all of it")

    def test_extra_bytes_after_a_response_reach_no_other_request(self):
        def doubled(request):
            yield response(request, b"first") + response(request, b"second")

        with running_entry_host() as env:
            env.add_server(doubled, SERVICE)
            env.wait_for_servers(1)
            assert [env.send("/safe/x").body for _ in range(3)] == [b"first"] * 3

    def test_late_response_after_an_unframed_one_reaches_no_caller(self):
        """Guards against a late second response in a body without framing (MIXED)."""

        def stutter(request):
            if len(requests) == 0:
                requests.append(request)
                yield response(request, b"first")
                return
            yield unframed_head(request) + b"second"
            time.sleep(0.05)
            yield response(requests[0], b"first")
            raise CloseConnectionError

        requests = []
        with running_entry_host() as env:
            env.add_server(stutter, SERVICE)
            env.wait_for_servers(1)
            assert env.send("/safe/1").body == b"first"
            got = env.send("/safe/2")
        assert got.status == 502

    def test_unreachable_server_gives_503_with_retry_after(self):
        spec = configuration(1, route("unsafe", max_attempts=1))
        with running_entry_host(spec) as env:
            env.add_server(complete_response, SERVICE).close()
            env.wait_for_servers(1)
            got = env.send("/unsafe/x")
        assert got.status == 503
        assert float(got.headers["retry-after"]) > 0

    def test_silent_server_gives_504_at_the_deadline(self):
        def silent(request):
            time.sleep(3)
            yield b""

        spec = configuration(1, route("unsafe", timeout_ms=400))
        with running_entry_host(spec) as env:
            env.add_server(silent, SERVICE)
            env.wait_for_servers(1)
            began = time.monotonic()
            got = env.send("/unsafe/x")
        assert got.status == 504
        assert 0.3 < time.monotonic() - began < 0.9


class TestStreams:
    def test_events_are_passed_on(self):
        with running_entry_host() as env:
            env.add_server(lambda a: events(a, 5, pause=0.05), ENGINES)
            env.wait_for_servers(1)
            got = env.send("/streaming/x")
        assert got.complete
        assert got.body == b"".join(event(n) for n in range(1, 6))

    def test_confident_small_model_is_not_escalated(self):
        with running_entry_host() as env:
            server = env.add_server(lambda a: events(a, 3, confidence=80), ENGINES)
            env.wait_for_servers(1)
            env.send("/streaming/x")
        assert [a.headers["x-masticfork-model"] for a in server.requests] == ["small"]
        assert server.requests[0].headers["x-masticfork-request-priority"] == "2"

    def test_unconfident_small_model_is_escalated_to_the_largest(self):
        def script(request):
            small = request.headers["x-masticfork-model"] == "small"
            yield from events(request, 3, confidence=5 if small else 90)

        with running_entry_host() as env:
            server = env.add_server(script, ENGINES)
            env.wait_for_servers(1)
            got = env.send("/streaming/x")
        models = [a.headers["x-masticfork-model"] for a in server.requests]
        assert models == ["small", "large"]
        assert got.body == b"".join(event(n) for n in range(1, 4))

    @pytest.mark.parametrize("cut", [b"", b"id: 3\nda"])
    def test_broken_stream_resumes_after_its_last_complete_event(self, cut):
        def breaking(request):
            yield stream_head(request)
            yield chunk(event(1) + event(2) + cut)
            time.sleep(0.05)
            raise ResetConnectionError

        with running_entry_host() as env:
            script = fail_first(breaking, lambda a: events(a, 4))
            servers = [env.add_server(script, ENGINES) for _ in range(2)]
            env.wait_for_servers(2)
            got = env.send("/streaming/x")
        assert got.complete
        assert got.body == b"".join(event(n) for n in range(1, 5))
        resumed = [
            a for s in servers for a in s.requests if "last-event-id" in a.headers
        ]
        assert [a.headers["last-event-id"] for a in resumed] == ["2"]

    def test_broken_stream_that_is_not_resumable_is_aborted(self):
        def breaking(request):
            yield stream_head(request)
            yield chunk(event(1))
            time.sleep(0.05)
            raise ResetConnectionError

        spec = configuration(1, route("streaming", resumable=False))
        with running_entry_host(spec) as env:
            server = env.add_server(breaking, ENGINES)
            env.wait_for_servers(1)
            got = env.send("/streaming/x")
        assert not got.complete
        assert len(server.requests) == 1

    def test_silent_stream_resumes_at_another_server(self):
        def stalling(request):
            yield stream_head(request)
            yield chunk(event(1))
            time.sleep(3)

        with running_entry_host() as env:
            script = fail_first(stalling, lambda a: events(a, 2))
            for _ in range(2):
                env.add_server(script, ENGINES)
            env.wait_for_servers(2)
            got = env.send("/streaming/x")
        assert got.body == event(1) + event(2)


class TestCallerDisconnects:
    @pytest.mark.parametrize("events_before", [0, 1])
    def test_server_call_is_cancelled_within_half_a_second(self, events_before):
        def slow(request):
            yield stream_head(request)
            for number in range(1, events_before + 1):
                yield chunk(event(number))
            for _ in range(40):
                time.sleep(0.05)
                yield b""

        with running_entry_host() as env:
            server = env.add_server(slow, ENGINES)
            env.wait_for_servers(1)
            connection = http.client.HTTPConnection(env.front.host, env.front.port, 5)
            connection.request("POST", "/streaming/x", b"x", env.headers())
            env.wait_until(lambda: len(server.requests) == 1)
            time.sleep(0.1)
            connection.close()
            env.wait_until(lambda: server.abandoned == 1, 0.5)


class TestCallerLimits:
    def raw(self, env, data):
        with socket.create_connection((env.front.host, env.front.port), 5) as sock:
            sock.sendall(data)
            return sock.recv(65536)

    def test_malformed_request_gets_400(self):
        with running_entry_host() as env:
            assert self.raw(env, b"no request\r\n\r\n").startswith(b"HTTP/1.1 400")

    def test_content_length_with_chunked_encoding_gets_400(self):
        with running_entry_host() as env:
            data = (
                b"POST /safe/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled"
            )
            assert self.raw(env, data).startswith(b"HTTP/1.1 400")

    def test_large_content_length_gets_413(self):
        limits = {"max_body_bytes": 1000}
        with running_entry_host(configuration(1, limits=limits)) as env:
            got = self.raw(
                env, b"POST /safe/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"
            )
        assert got.startswith(b"HTTP/1.1 413")

    def test_large_header_gets_431(self):
        limits = {"max_header_bytes": 500}
        with running_entry_host(configuration(1, limits=limits)) as env:
            got = self.raw(
                env, b"GET /safe/x HTTP/1.1\r\nX: " + b"x" * 600 + b"\r\n\r\n"
            )
        assert got.startswith(b"HTTP/1.1 431")

    def test_slow_header_gets_408(self):
        with running_entry_host(
            configuration(1, limits={"header_timeout_ms": 300})
        ) as env:
            assert self.raw(env, b"GET /safe/x HT").startswith(b"HTTP/1.1 408")

    def test_idle_connection_is_closed_after_the_timeout(self):
        with running_entry_host(
            configuration(1, limits={"idle_timeout_ms": 400})
        ) as env:
            began = time.monotonic()
            assert self.raw(env, b"") == b""
            assert 0.3 < time.monotonic() - began < 1.5


class TestConfiguration:
    def test_host_without_configuration_is_not_ready_and_refuses(self):
        with running_entry_host(False, wait=False) as env:
            env.wait_until(lambda: env.logged("started"))
            time.sleep(0.2)
            assert not env.is_ready()
            assert env.send("/safe/x").status == 503

    def test_retry_after_grows_with_the_length_of_the_outage(self):
        """A caller that returns during the outage has used up its only retry."""
        with running_entry_host(False, wait=False) as env:
            env.wait_until(lambda: env.logged("started"))
            time.sleep(1.5)
            # Retry-After is randomised from 0.6 to 1.6 times the time waited so far.
            pauses = [float(env.send("/safe/x").headers["retry-after"]) for _ in "1234"]
            assert min(pauses) > 0.9
            assert max(pauses) < 4.0

    def test_newer_configuration_is_applied_and_older_one_ignored(self):
        with running_entry_host() as env:
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            env.store.put("config", "main", configuration(5, route("unsafe")))
            env.wait_until(lambda: env.logged("configuration in force", version=5))
            assert env.send("/safe/x").status == 404
            env.store.put("config", "main", configuration(4))
            time.sleep(0.3)
            assert env.send("/safe/x").status == 404

    def test_invalid_configuration_leaves_the_last_valid_one_in_force(self):
        with running_entry_host() as env:
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            env.store.put("config", "main", {"version": "x", "routes": 3})
            env.wait_until(lambda: env.logged("entry ignored"))
            assert env.send("/safe/x").status == 200

    def test_configuration_is_listed_again_after_the_store_lost_its_history(self):
        with running_entry_host() as env:
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            env.store.compact()
            env.store.put("config", "main", configuration(7, route("unsafe")))
            env.wait_until(lambda: env.logged("configuration in force", version=7))

    def test_requests_are_served_while_the_store_is_down(self):
        with running_entry_host() as env:
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            env.store.faults.set({"down": True})
            env.wait_until(lambda: env.logged("store lost"))
            assert env.send("/safe/x").status == 200
            env.store.faults.set({"down": False})
            env.wait_until(lambda: env.logged("store regained"))


class TestRestoredStore:
    """A store that comes back from a copy that is some seconds old."""

    def test_newer_configuration_stays_in_force_and_the_host_registers_again(self):
        with running_entry_host(configuration(3)) as env:
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            stored_copy = env.store.take_copy()
            env.store.remove("masticfork-hosts", "host-1")
            env.store.put("config", "main", configuration(9, route("unsafe")))
            env.wait_until(lambda: env.logged("configuration in force", version=9))
            env.store.restore(stored_copy)
            env.store.remove("masticfork-hosts", "host-1")
            env.wait_until(lambda: env.logged("store restored from an older copy"))
            assert env.send("/safe/x").status == 404
            assert env.send("/unsafe/x").status == 200
            env.wait_until(lambda: env.store.holds("masticfork-hosts", "host-1"))
            env.store.put("config", "main", configuration(11))
            env.wait_until(lambda: env.logged("configuration in force", version=11))

    def test_changes_under_revisions_given_out_again_are_not_missed(self):
        with running_entry_host() as env:
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            stored_copy = env.store.take_copy()
            server = env.add_server(complete_response, SERVICE)
            env.wait_for_servers(2)
            env.store.restore(stored_copy)
            # By the time of the next watch, the revision that it starts from exists
            # again, with another meaning.
            entry = server_entry(server, SERVICE)
            for name in ("i-7", "i-8", "i-9"):
                env.store.put("servers", name, entry)
            env.wait_for_servers(5)
            env.wait_until(lambda: env.logged("server removed", server="i-2"))

    def test_answers_without_the_era_do_not_take_the_host_back(self):
        with running_entry_host() as env:
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            env.store.faults.set({"hide_era": True})
            env.store.put("config", "main", configuration(7, route("unsafe")))
            env.wait_until(lambda: env.logged("store lost"))
            assert env.send("/safe/x").status == 200
            env.store.faults.set({"hide_era": False})
            env.wait_until(lambda: env.logged("configuration in force", version=7))


class TestServerRemoval:
    def test_draining_server_gets_no_new_calls(self):
        with running_entry_host() as env:
            draining_server = env.add_server(complete_response, SERVICE)
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(2)
            entry = server_entry(draining_server, SERVICE, state="draining", sequence=2)
            env.store.put("servers", "i-1", entry)
            env.wait_until(lambda: env.logged("server changed", server="i-1"))
            before = len(draining_server.requests)
            for _ in range(6):
                assert env.send("/safe/x").status == 200
            assert len(draining_server.requests) == before

    def test_server_removed_during_a_store_outage_is_kept_for_some_time(self):
        with running_entry_host() as env:
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(1)
            env.store.faults.set({"down": True})
            env.wait_until(lambda: env.logged("store lost"))
            env.store.remove("servers", "i-1")
            env.store.faults.set({"down": False})
            env.wait_until(lambda: env.logged("server missing"))
            assert env.send("/safe/x").status == 200
            env.wait_until(lambda: env.logged("server removed"), 4.0)
            assert env.send("/safe/x").status == 503


class TestGracefulShutdown:
    def test_running_request_completes_and_the_host_is_not_ready(self):
        with running_entry_host(bounds=Bounds(grace=6.0)) as env:
            env.add_server(lambda a: events(a, 5, pause=0.2), ENGINES)
            env.wait_for_servers(1)
            connection = http.client.HTTPConnection(env.front.host, env.front.port, 5)
            connection.request("POST", "/streaming/x", b"x", env.headers())
            time.sleep(0.3)
            env.host.request_stop()
            env.wait_until(lambda: not env.is_ready(), 1.0)
            got = read_response(connection)
        assert got.complete
        assert got.body == b"".join(event(n) for n in range(1, 6))

    def test_late_stream_on_a_kept_alive_connection_is_refused(self):
        """Callers send on kept-alive connections until the process ends."""
        with running_entry_host(bounds=Bounds(grace=6.0)) as env:
            env.add_server(lambda a: events(a, 2), ENGINES)
            env.wait_for_servers(1)
            connection = http.client.HTTPConnection(env.front.host, env.front.port, 9)
            connection.request("POST", "/streaming/x", b"x", env.headers())
            assert read_response(connection).status == 200
            env.host.request_stop()
            # A stopping host closes idle connections after 2.6 s; send just before.
            time.sleep(2.55)
            connection.request("POST", "/streaming/x", b"x", env.headers())
            time.sleep(0.1)
            with socket.create_connection((env.front.host, env.front.port), 5) as sock:
                # A host stops once it has no connections; a request that is being read
                # keeps it from that until the last one is answered.
                sock.sendall(b"POST /")
                got = read_response(connection)
                late = env.send(
                    "/streaming/x", headers={"X-Masticfork-Deadline-Ms": "4000"}
                )
        assert got.status in (200, 503)
        assert late.status == 503
        assert late.headers["connection"] == "close"
