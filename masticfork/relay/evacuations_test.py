"""Evacuated availability zones and paced servers, with real hosts and servers."""

import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from functools import partial

import pytest

from masticfork.core.routes import RouteKind
from masticfork.platform.settings_file import Bounds
from masticfork.relay.exchange import Exchange
from masticfork.relay.server_call import Stage
from standins.entry_environment import (
    ENGINES,
    SERVICE,
    configuration,
    route,
    running_entry_host,
)
from standins.fake_exchange import FakeCaller, FakeHost, caller_request
from standins.object_store import ObjectStore
from standins.scripted_server import events, response
from standins.typed_routes import typed_route

BOUNDS = Bounds(evacuate=5.0)


def answer(request):
    yield response(request, b"whole")


def slow_answer(request):
    time.sleep(0.03)
    yield response(request, b"whole")


def stream(request):
    return events(request, 3, confidence=90)


def requests_after(server, send, count):
    """Return how many requests a server gets while `count` are sent."""
    before = len(server.requests)
    with ThreadPoolExecutor(8) as pool:
        statuses = [r.status for r in pool.map(lambda _: send(), range(count))]
    return len(server.requests) - before, statuses


class TestEvacuatedZone:
    def test_servers_get_no_requests_until_the_zone_is_taken_back(self):
        """Guards against requests to the servers of an evacuated zone."""
        with running_entry_host(bounds=BOUNDS) as env:
            evacuated = env.add_server(answer, SERVICE, zone="zone-b")
            env.add_server(answer, SERVICE, zone="zone-c")
            env.wait_for_servers(2)
            env.store.put("evacuations", "zone-b", {})
            env.wait_until(lambda: env.logged("zone evacuated", zone="zone-b"))
            for path in ("/safe/x", "/unsafe/x"):
                sent, statuses = requests_after(evacuated, partial(env.send, path), 20)
                assert sent == 0
                assert set(statuses) == {200}
            env.store.remove("evacuations", "zone-b")
            env.wait_until(lambda: env.logged("zone taken back", zone="zone-b"))
            sent, _ = requests_after(evacuated, lambda: env.send("/safe/x"), 20)
            assert sent > 0

    def test_request_that_only_an_evacuated_zone_could_serve_is_refused(self):
        with running_entry_host(bounds=BOUNDS) as env:
            server = env.add_server(answer, SERVICE, zone="zone-b")
            env.wait_for_servers(1)
            env.store.put("evacuations", "zone-b", {})
            env.wait_until(lambda: env.logged("zone evacuated", zone="zone-b"))
            refusal = env.send("/unsafe/x")
            assert refusal.status == 503
            assert float(refusal.headers["retry-after"]) > 0
            assert server.requests == []

    def test_stream_that_breaks_in_the_zone_is_resumed_elsewhere(self):
        """Guards against resumed streams and retries that enter the zone."""

        def breaking(request):
            head, first, *_ = events(request, 3, confidence=90)
            yield head
            yield first
            env.store.put("evacuations", "zone-b", {})
            env.wait_until(lambda: env.logged("zone evacuated", zone="zone-b"))

        # Without a long gap, silence would move the stream before the order is read.
        spec = configuration(1, route("streaming", gap_aim_ms=3000))
        with running_entry_host(spec, bounds=BOUNDS) as env:
            leaving = [
                env.add_server(breaking, ENGINES, zone="zone-b") for _ in range(2)
            ]
            env.wait_for_servers(2)
            sender = ThreadPoolExecutor(1).submit(env.send, "/streaming/x")
            env.wait_until(lambda: env.logged("zone evacuated", zone="zone-b"))
            env.add_server(stream, ENGINES, zone="zone-a")
            sender.result()
            assert sum(len(server.requests) for server in leaving) == 1

    def test_unknown_zone_and_quick_changes(self):
        with running_entry_host(bounds=BOUNDS) as env:
            env.add_server(answer, SERVICE, zone="zone-a")
            env.wait_for_servers(1)
            env.store.put("evacuations", "zone-unknown", {})
            for _ in range(3):
                env.store.put("evacuations", "zone-a", {})
                env.store.remove("evacuations", "zone-a")
            env.wait_until(lambda: env.logged("zone evacuated", zone="zone-unknown"))
            env.wait_until(lambda: env.send("/safe/x").status == 200)

    def test_host_that_starts_knows_the_evacuations_before_it_is_ready(self):
        store = ObjectStore()
        store.put("config", "main", configuration(1))
        store.put("evacuations", "zone-b", {})
        with running_entry_host(bounds=BOUNDS, store=store) as env:
            assert env.logged("zone evacuated", zone="zone-b")

    def test_host_without_the_store_learns_from_the_others(self):
        """Guards against a host without the store that goes on sending to the zone."""
        with (
            running_entry_host(bounds=BOUNDS) as first,
            running_entry_host(host="host-2", zone="zone-c", bounds=BOUNDS) as other,
        ):
            first.store.put("masticfork-hosts", "host-2", {"address": str(other.peer)})
            other.store.put("masticfork-hosts", "host-1", {"address": str(first.peer)})
            first.wait_until(lambda: first.host.live_peer_count == 1)
            other.wait_until(lambda: other.host.live_peer_count == 1)
            other.store.faults.set({"down": True})
            first.store.put("evacuations", "zone-b", {})
            # The handler of the host that was started last gets the records of both.
            other.wait_until(
                lambda: (
                    sum(r.message == "zone evacuated" for r in other.log.records) == 2
                )
            )

    def test_deployment_without_evacuations_does_not_read_them(self):
        """Guards against calls to the store that earlier deployments don't need."""
        with running_entry_host() as env:
            server = env.add_server(answer, SERVICE, zone="zone-b")
            env.wait_for_servers(1)
            env.store.put("evacuations", "zone-b", {})
            assert env.send("/safe/x").status == 200
            assert len(server.requests) == 1


class TestCallUnderWay:
    @pytest.mark.parametrize(
        ("stage", "calls"), [(Stage.CONNECTING, 2), (Stage.SENT, 1)]
    )
    def test_only_a_call_that_has_not_been_sent_moves(self, stage, calls):
        """Guards against a connection that is established after the bound."""
        host = FakeHost()
        exchange = Exchange(
            host=host,
            caller=FakeCaller(),
            request=caller_request(),
            route=typed_route(RouteKind.NON_IDEMPOTENT, max_attempts=2),
            service="s",
            team=None,
            priority=1,
            deadline=2.0,
        )
        exchange.start()
        host.calls[0].stage = stage
        zone = exchange.unanswered_call.row.server.zone
        exchange.on_evacuation("zone-elsewhere")
        assert len(host.calls) == 1
        exchange.on_evacuation(zone)
        assert len(host.calls) == calls


COLD_RATE = 4.0


def cold_configuration():
    spec = configuration(1, route("safe", timeout_ms=500))
    spec["services"][0].update(cold_per_s=COLD_RATE, cold_start_s=3.0)
    return spec


class TestPacedServer:
    @pytest.mark.parametrize("hosts", [1, 3])
    def test_cold_server_gets_no_more_than_it_tolerates(self, hosts):
        """Guards against an empty server that draws the calls of all hosts."""
        store = ObjectStore()
        store.put("config", "main", cold_configuration())
        with ExitStack() as stack:
            environments = [
                stack.enter_context(running_entry_host(host=f"host-{n}", store=store))
                for n in range(hosts)
            ]
            first = environments[0]
            first.add_server(slow_answer, SERVICE)
            for env in environments:
                env.wait_until(lambda env=env: env.host.knows_server("i-1"))
                env.wait_until(lambda env=env: env.host.live_peer_count == hosts - 1)
            # A host that has just started leaves cold servers to the others.
            time.sleep(2.5)
            cold = first.add_server(answer, SERVICE, cold_remaining_ms=3000)
            for env in environments:
                env.wait_until(lambda env=env: env.host.knows_server("i-2"))
            times = send_for(environments, 2.0)
            assert 0 < len(cold.requests) <= (1.5 * COLD_RATE + 5) * 2.0
            assert times

    def test_request_is_refused_while_all_servers_are_paced(self):
        with running_entry_host(cold_configuration()) as env:
            env.add_server(answer, SERVICE, cold_remaining_ms=3000)
            env.wait_for_servers(1)
            refusal = env.send("/safe/x")
            assert refusal.status == 503
            assert float(refusal.headers["retry-after"]) > 0


def send_for(environments, seconds, per_second=60):
    """Send requests to the hosts in turn; return the statuses."""
    until, count, sent = time.monotonic() + seconds, 0, []
    with ThreadPoolExecutor(16) as pool:
        while time.monotonic() < until:
            environment = environments[count % len(environments)]
            sent.append(pool.submit(environment.send, "/safe/x"))
            count += 1
            time.sleep(1.0 / per_second)
    return [future.result().status for future in sent]
