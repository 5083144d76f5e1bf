"""Servers that announce in a response that they leave or want no calls for a while."""

import pytest

from standins.entry_environment import (
    ENGINES,
    SERVICE,
    configuration,
    route,
    running_entry_host,
    server_entry,
)
from standins.object_store import ObjectStore
from standins.scripted_server import events, misdirected_response, response

LEAVING = {"Server-Leaving": "1"}


def complete_response(request):
    yield response(request, b"whole")


def leaving_response(request):
    yield response(request, b"whole", extra=LEAVING)


def leaving_error(request):
    yield response(request, b"", "500 Internal Server Error", extra=LEAVING)


def leaving_refusal(request):
    extra = {"X-Masticfork-Not-Executed": "1", **LEAVING}
    yield response(request, b"", "503 Service Unavailable", extra=extra)


def leaving_elsewhere(request):
    yield response(request, b"", "421 Misdirected Request", extra=LEAVING)


def leaving_stream(request):
    head, *rest = events(request, 3)
    yield head.replace(b"\r\n\r\n", b"\r\nserver-leaving: 1\r\n\r\n")
    yield from rest


def pausing(retry_after):
    def script(request):
        extra = {"X-Masticfork-Not-Executed": "1", "Retry-After": retry_after}
        yield response(request, b"", "503 Service Unavailable", extra=extra)

    return script


class TestLeavingServer:
    @pytest.mark.parametrize(
        "script", [leaving_response, leaving_error, leaving_refusal, leaving_elsewhere]
    )
    def test_gets_no_call_after_its_first_response_that_says_so(self, script):
        with running_entry_host() as env:
            leaving = env.add_server(script, SERVICE)
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(2)
            for _ in range(12):
                assert env.send("/safe/x").status == 200
        assert len(leaving.requests) == 1

    def test_gets_no_call_after_the_head_of_a_stream_that_says_so(self):
        spec = configuration(1, route("streaming", sizes=["small"]))
        with running_entry_host(spec) as env:
            leaving = env.add_server(leaving_stream, ENGINES)
            env.add_server(lambda request: events(request, 3), ENGINES)
            env.wait_for_servers(2)
            for _ in range(8):
                assert env.send("/streaming/x").status == 200
        assert len(leaving.requests) <= 1

    def test_stays_excluded_though_the_store_lists_it_as_ready_again(self):
        with running_entry_host() as env:
            leaving = env.add_server(leaving_response, SERVICE)
            env.wait_for_servers(1)
            assert env.send("/safe/x").status == 200
            env.store.remove("servers", "i-1")
            env.wait_until(lambda: env.logged("server removed", server="i-1"))
            env.store.put("servers", "i-1", server_entry(leaving, SERVICE))
            env.wait_for_servers(2)
            refused = env.send("/safe/x")
        assert refused.status == 503
        assert len(leaving.requests) == 1

    def test_restarted_process_under_the_same_id_gets_calls(self):
        with running_entry_host() as env:
            server = env.add_server(leaving_response, SERVICE)
            env.wait_for_servers(1)
            env.send("/safe/x")
            entry = server_entry(server, SERVICE, born=1_700_000_001_000)
            env.store.put("servers", "i-1", entry)
            env.wait_for_servers(2)
            assert env.send("/safe/x").status == 200

    def test_other_values_of_the_header_mean_nothing(self):
        def not_leaving(request):
            yield response(request, b"whole", extra={"Server-Leaving": "0"})

        with running_entry_host() as env:
            server = env.add_server(not_leaving, SERVICE)
            env.wait_for_servers(1)
            assert [env.send("/safe/x").status for _ in range(3)] == [200] * 3
        assert len(server.requests) == 3


class TestPausedServer:
    def test_gets_no_call_while_other_servers_do(self):
        with running_entry_host() as env:
            paused = env.add_server(pausing("30"), SERVICE)
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(2)
            for _ in range(12):
                assert env.send("/safe/x").status == 200
        assert len(paused.requests) == 1

    def test_only_server_is_called_again_after_its_pause(self):
        with running_entry_host() as env:
            server = env.add_server(pausing("0.6"), SERVICE)
            env.wait_for_servers(1)
            # Refused by the server, then at once by the host.
            refused = [env.send("/unsafe/x") for _ in range(5)]
            assert [got.status for got in refused] == [503] * 5
            assert len(server.requests) == 1
            # The callers are asked to return after the pause, and not all together.
            delays = {float(got.headers["retry-after"]) for got in refused}
            assert min(delays) > 0.5
            assert len(delays) > 1
            server.script = complete_response
            env.wait_until(lambda: env.send("/unsafe/x").status == 200)

    @pytest.mark.parametrize(
        "value", ["0", "-1", "soon", "nan", "inf", "Fri, 04 Dec 2026 09:00:00 GMT"]
    )
    def test_value_that_is_no_number_of_seconds_is_ignored(self, value):
        with running_entry_host() as env:
            server = env.add_server(pausing(value), SERVICE)
            env.wait_for_servers(1)
            assert env.send("/unsafe/x").status == 503
            server.script = complete_response
            assert env.send("/unsafe/x").status == 200

    def test_pause_without_rejection_is_ignored(self):
        def answers_with_retry_after(request):
            yield response(request, b"whole", extra={"Retry-After": "30"})

        with running_entry_host() as env:
            env.add_server(answers_with_retry_after, SERVICE)
            env.wait_for_servers(1)
            assert [env.send("/safe/x").status for _ in range(2)] == [200, 200]


class TestOtherHosts:
    def test_other_hosts_learn_of_a_leaving_server(self):
        store = ObjectStore()
        store.put("config", "main", configuration(1))
        with (
            running_entry_host(store=store) as one,
            running_entry_host(store=store, host="host-2") as other,
        ):
            one.wait_until(lambda: one.host.live_peer_count == 1)
            leaving = one.add_server(leaving_response, SERVICE)
            for env in (one, other):
                env.wait_until(lambda env=env: env.host.knows_server("i-1"))
            assert one.send("/safe/x").status == 200
            other.wait_until(lambda: other.logged("server leaving", source="host-1"))
            assert other.send("/safe/x").status == 503
        assert len(leaving.requests) == 1


class TestServerThatIsNoLongerThere:
    def test_gets_no_calls_while_its_entry_is_outdated(self):
        """Guards against an idle server that draws all calls and refuses them."""

        def misdirected(request):
            yield misdirected_response()

        with running_entry_host() as env:
            successor = env.add_server(misdirected, SERVICE)
            env.add_server(complete_response, SERVICE)
            env.wait_for_servers(2)
            statuses = [env.send("/unsafe/x").status for _ in range(12)]
        assert statuses == [200] * 12
        assert len(successor.requests) <= 1

    def test_request_is_refused_at_once_if_there_is_no_other(self):
        def misdirected(request):
            yield misdirected_response()

        with running_entry_host() as env:
            successor = env.add_server(misdirected, SERVICE)
            env.wait_for_servers(1)
            answers = [env.send("/unsafe/x") for _ in range(4)]
        assert {answer.status for answer in answers} == {503}
        assert float(answers[-1].headers["retry-after"]) > 0.0
        assert len(successor.requests) <= 1
