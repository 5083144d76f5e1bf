import socket
import time
from concurrent.futures import ThreadPoolExecutor

from standins.entry_environment import (
    ENGINES,
    SERVICE,
    configuration,
    route,
    running_entry_host,
    server_entry,
)
from standins.object_store import ObjectStore
from standins.scripted_server import ScriptedServer, events, response


def answer_ok(request):
    yield response(request, b"ok")


def introduce(one, other):
    """Register two hosts, each with a store of its own, in both stores."""
    for deployment in (one, other):
        for host, registered in (("host-1", one), ("host-2", other)):
            deployment.store.put(
                "masticfork-hosts", host, {"address": str(registered.peer)}
            )


def disconnect_from_store(one, other):
    """Introduce the hosts to each other, then make the store of `other` fail."""
    introduce(one, other)
    one.wait_until(lambda: other.host.live_peer_count == one.host.live_peer_count == 1)
    other.store.faults.set({"down": True})


class TestHostWithoutStore:
    def test_configuration_and_servers_come_from_a_peer(self):
        with (
            running_entry_host() as served,
            running_entry_host(host="host-2") as cut_off_host,
        ):
            disconnect_from_store(served, cut_off_host)
            server = ScriptedServer(answer_ok)
            served.store.put("servers", "i-1", server_entry(server, SERVICE))
            served.store.put("config", "main", configuration(8, route("safe")))
            cut_off_host.wait_until(
                lambda: cut_off_host.send("/unsafe/x").status == 404
            )
            cut_off_host.wait_until(lambda: cut_off_host.send("/safe/x").status == 200)
            server.close()

    def test_older_copy_is_ignored(self):
        with (
            running_entry_host() as old,
            running_entry_host(configuration(9), host="host-2") as cut_off_host,
        ):
            disconnect_from_store(old, cut_off_host)
            old.store.put("config", "main", configuration(2, route("safe")))
            old.wait_until(lambda: old.send("/unsafe/x").status == 404)
            time.sleep(1.0)
            assert cut_off_host.send("/unsafe/x").status == 503


class TestLoads:
    def test_other_hosts_learn_of_a_call_before_it_is_answered(self):
        """A host that learns of a call only after its end chooses the same server."""

        def slow(request):
            time.sleep(0.35)
            yield from events(request, 2, confidence=90)

        store = ObjectStore()
        store.put("config", "main", configuration(1))
        with (
            running_entry_host(store=store) as one,
            running_entry_host(host="host-2", store=store) as other,
        ):
            one.wait_until(
                lambda: other.host.live_peer_count == one.host.live_peer_count == 1
            )
            one.add_server(slow, ENGINES)
            for deployment in (one, other):
                deployment.wait_until(
                    lambda host=deployment.host: host.knows_server("i-1")
                )
            with ThreadPoolExecutor(1) as pool:
                response = pool.submit(one.send, "/streaming/x")
                one.wait_until(lambda: bool(one.servers[0].requests))
                other.wait_until(lambda: other.host.running_elsewhere("i-1") == 1, 0.25)
                assert response.result().status == 200
            other.wait_until(lambda: other.host.running_elsewhere("i-1") == 0, 0.25)


class TestDigests:
    def test_malformed_datagrams_are_ignored(self):
        with (
            running_entry_host() as deployment,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock,
        ):
            sock.sendto(b"\xff" * 40, (deployment.peer.host, deployment.peer.port))
            deployment.wait_until(lambda: deployment.logged("digest ignored"))
            assert deployment.is_ready()
