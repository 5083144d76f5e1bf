import socket
import time
from concurrent.futures import ThreadPoolExecutor

from standins.entry_world import (
    ENGINES,
    SERVICE,
    configuration,
    route,
    server_entry,
    world,
)
from standins.scripted_server import ScriptedServer, answer, events


def whole(asked):
    yield answer(asked, b"ok")


def introduce(one, other):
    """Enter two hosts of separate stores into both of them."""
    for it in (one, other):
        for host, world_ in (("host-1", one), ("host-2", other)):
            it.store.put("masticfork-hosts", host, {"address": str(world_.peer)})


def cut_off(one, other):
    """Make the hosts known to each other, then let the store turn `other` away."""
    introduce(one, other)
    one.wait_until(lambda: other.host.peers_heard == one.host.peers_heard == 1)
    other.store.faults.set({"down": True})


class TestHostsThatTheStoreTurnsAway:
    def test_configuration_and_servers_come_from_a_peer(self):
        with world() as served, world(host="host-2") as turned_away:
            cut_off(served, turned_away)
            server = ScriptedServer(whole)
            served.store.put("servers", "i-1", server_entry(server, SERVICE))
            served.store.put("config", "main", configuration(8, route("safe")))
            turned_away.wait_until(lambda: turned_away.ask("/unsafe/x").status == 404)
            turned_away.wait_until(lambda: turned_away.ask("/safe/x").status == 200)
            server.close()

    def test_older_copy_changes_nothing(self):
        with world() as old, world(configuration(9), host="host-2") as turned_away:
            cut_off(old, turned_away)
            old.store.put("config", "main", configuration(2, route("safe")))
            old.wait_until(lambda: old.ask("/unsafe/x").status == 404)
            time.sleep(1.0)
            assert turned_away.ask("/unsafe/x").status == 503


class TestLoads:
    def test_other_hosts_know_of_a_call_while_it_waits(self):
        """A host that learns of a call when it has ended chooses the same server."""

        def slow(asked):
            time.sleep(0.35)
            yield from events(asked, 2, confidence=90)

        with world() as one, world(host="host-2") as other:
            introduce(one, other)
            one.wait_until(lambda: other.host.peers_heard == one.host.peers_heard == 1)
            for it in (one, other):
                it.add_server(slow, ENGINES)
            # The log goes to the handler that was bound last.
            other.wait_for_servers(2)
            with ThreadPoolExecutor(1) as pool:
                asked = pool.submit(one.ask, "/streaming/x")
                one.wait_until(lambda: bool(one.servers[0].asked))
                other.wait_until(lambda: other.host.running_elsewhere("i-1") == 1, 0.25)
                assert asked.result().status == 200
            other.wait_until(lambda: other.host.running_elsewhere("i-1") == 0, 0.25)


class TestDigests:
    def test_other_datagrams_are_ignored(self):
        with world() as it, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(b"\xff" * 40, (it.peer.host, it.peer.port))
            it.wait_until(lambda: it.logged("digest ignored"))
            assert it.is_ready()
