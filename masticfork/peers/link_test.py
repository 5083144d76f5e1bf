"""Tests of the peer link over real sockets."""

import contextlib
import os
import signal
import socket
import struct
import subprocess
import sys
import time

import pytest
from result import Err, Ok

from masticfork.core.deadlines import Deadline
from masticfork.peers.authentication import PeerKey
from masticfork.peers.drops import DropReason
from masticfork.peers.frames import frame
from masticfork.peers.link import PeerLink
from masticfork.peers.messages import (
    BillsWritten,
    Declined,
    Evidence,
    KeepBills,
    KeepBillsAck,
)
from masticfork.peers.records import Handlers, LinkSettings
from masticfork.peers.requests import RequestError
from masticfork.peers.selection import PeerAddress
from standins.ports import free_port

KEY = PeerKey("k1", b"secret of all hosts, long enough")
WAIT_TIMEOUT_SECONDS = 20

# A peer in its own process, so that the test can stop it with SIGSTOP.
PEER_PROGRAM = """
import sys, time
from masticfork.peers.link_test import KEY
from masticfork.peers.link import PeerLink
from masticfork.peers.records import Handlers, LinkSettings
link = PeerLink(
    LinkSettings("frozen", "z1", sys.argv[1], (KEY,), 1, (sys.argv[2],)),
    Handlers({}), time.time)
link.start()
print("ready", flush=True)
sys.stdin.read()
link.stop()
"""


def free_address():
    return f"127.0.0.1:{free_port()}"


def wait_until(condition):
    end = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < end, "condition not met"
        time.sleep(0.01)


def deadline_in(seconds=WAIT_TIMEOUT_SECONDS):
    return Deadline.after(time.time(), seconds)


@pytest.fixture
def make():
    with contextlib.ExitStack() as stack:

        def start(host, seeds=(), keys=(KEY,), bodies=(), incarnation=1, **options):
            address = options.pop("address", None) or free_address()
            pruned = options.pop("pruned", lambda sender: None)
            settings = LinkSettings(
                host, "z1", address, keys, incarnation, tuple(seeds), **options
            )
            link = PeerLink(settings, Handlers(dict(bodies), pruned=pruned), time.time)
            assert link.start() == Ok(None)
            stack.callback(link.stop)
            return link, address

        yield start


class TestMessages:
    def test_broadcast_and_send_reach_the_handler(self, make):
        received = []
        bodies = {Evidence: lambda sender, body: received.append((sender.host, body))}
        _, address = make("b", bodies=bodies)
        a, _ = make("a", [address])
        wait_until(lambda: a.linked == {"b"})
        assert a.broadcast(Evidence("ratings", b"1")) == 1
        assert a.send("b", Evidence("ratings", b"2"))
        assert not a.send("c", Evidence("ratings", b"3"))
        wait_until(lambda: len(received) == 2)
        assert received == [("a", Evidence("ratings", b"%d" % n)) for n in (1, 2)]
        assert a.counts.sent_messages["evidence"] == 2

    def test_request_gets_its_reply(self, make):
        bodies = {KeepBills: lambda _, body: KeepBillsAck(body.batch_id, True)}
        _, address = make("b", bodies=bodies)
        a, _ = make("a", [address])
        wait_until(lambda: a.linked)
        replies = [
            a.request("b", KeepBills(str(n), b""), deadline_in()) for n in range(50)
        ]
        acks = [reply.result(WAIT_TIMEOUT_SECONDS) for reply in replies]
        assert acks == [Ok(KeepBillsAck(str(n), True)) for n in range(50)]

    def test_request_without_reply_fails_with_its_reason(self, make):
        def fail(sender, body):
            raise RuntimeError

        bodies = {
            Evidence: lambda sender, body: None,
            KeepBills: fail,
            BillsWritten: lambda *_: Declined("no"),
        }
        b, address = make("b", bodies=bodies)
        a, _ = make("a", [address])
        wait_until(lambda: a.linked)
        late = a.request("b", Evidence("t", b""), deadline_in(0.2))
        failed = a.request("b", KeepBills("1", b""), deadline_in())
        declined = a.request("b", BillsWritten("1"), deadline_in())
        unsent = a.request("nobody", BillsWritten("1"), deadline_in())
        assert late.result(WAIT_TIMEOUT_SECONDS) == Err(RequestError.EXPIRED)
        assert failed.result(WAIT_TIMEOUT_SECONDS) == Err(RequestError.DECLINED)
        assert declined.result(WAIT_TIMEOUT_SECONDS) == Err(RequestError.DECLINED)
        assert unsent.result(WAIT_TIMEOUT_SECONDS) == Err(RequestError.NOT_SENT)
        assert b.counts.dropped[DropReason.HANDLER_FAILED] == 1

    def test_request_fails_when_the_peer_stops(self, make):
        b, address = make("b", bodies={Evidence: lambda sender, body: None})
        a, _ = make("a", [address])
        wait_until(lambda: a.linked)
        reply = a.request("b", Evidence("t", b""), deadline_in())
        b.stop()
        assert reply.result(WAIT_TIMEOUT_SECONDS) == Err(RequestError.DISCONNECTED)


class TestLinking:
    def test_hosts_that_dial_each_other_keep_one_connection(self, make):
        addresses = [free_address() for _ in range(4)]
        links = [
            make(f"h{n}", addresses, address=address)[0]
            for n, address in enumerate(addresses)
        ]
        wait_until(lambda: all(len(link.linked) == 3 for link in links))
        assert all(link.broadcast(Evidence("t", b"")) == 3 for link in links)

    def test_restarted_host_replaces_its_connection(self, make):
        b, address = make("b")
        a, _ = make("a", [address])
        wait_until(lambda: a.linked)
        b.stop()
        make("b", address=address, incarnation=2)
        wait_until(lambda: a.linked == {"b"})

    def test_peers_that_are_set_are_dialled(self, make):
        _, address = make("b")
        a, _ = make("a")
        a.set_peers([PeerAddress("b", "z1", address)])
        wait_until(lambda: a.linked == {"b"})

    def test_own_address_among_the_seeds_is_not_linked(self, make):
        port = free_address().split(":")[1]
        a, _ = make("a", [f"127.0.0.1:{port}"], address=f"0.0.0.0:{port}")
        wait_until(lambda: a.counts.dropped.get(DropReason.OWN_ADDRESS))
        assert not a.linked


class TestPruning:
    def test_unselected_link_is_closed_on_both_sides(self, make):
        pruned = []
        addresses = [
            make(f"b{n}", pruned=lambda s, me=f"b{n}": pruned.append((me, s.host)))[1]
            for n in range(3)
        ]
        a, _ = make(
            "a",
            addresses,
            prune_seconds=0.05,
            pruned=lambda s: pruned.append(("a", s.host)),
        )
        wait_until(lambda: len(a.linked) == 3)
        # Links to hosts that are not known to be live are kept.
        a.set_peers([])
        time.sleep(0.3)
        assert (len(a.linked), pruned) == (3, [])
        others = [PeerAddress(f"x{n}", "z1", free_address()) for n in range(9)]
        known = [PeerAddress(f"b{n}", "z9", at) for n, at in enumerate(addresses)]
        a.set_peers([*others, *known])
        wait_until(lambda: len(a.linked) == 2)
        wait_until(lambda: len(pruned) == 2)
        (gone,) = {f"b{n}" for n in range(3)} - a.linked
        assert sorted(pruned) == [("a", gone), (gone, "a")]


class TestKeyRotation:
    def test_keys_are_replaced_without_disconnecting(self, make):
        received = []
        bodies = {Evidence: lambda sender, body: received.append(body.payload)}
        b, address = make("b", bodies=bodies)
        a, _ = make("a", [address])
        wait_until(lambda: a.linked)
        new = PeerKey("k2", b"another secret, also long enough")
        for step, keys in enumerate([(KEY, new), (new, KEY), (new,)]):
            for link in (a, b):
                link.replace_keys(keys)
                assert a.send("b", Evidence("t", b"%d" % step))
            wait_until(lambda expected=2 * step + 2: len(received) == expected)
        assert a.linked == {"b"}
        assert not b.counts.dropped


class TestUnauthenticatedPeers:
    @pytest.mark.parametrize(
        ("key", "reason"),
        [
            (PeerKey("k1", b"x" * 32), DropReason.BAD_SIGNATURE),
            (PeerKey("k9", b"x" * 32), DropReason.UNKNOWN_KEY),
        ],
    )
    def test_wrong_key_is_not_linked(self, make, key, reason):
        b, address = make("b")
        a, _ = make("a", [address], keys=(key,))
        wait_until(lambda: b.counts.dropped.get(reason))
        assert not a.linked
        assert not b.linked

    @pytest.mark.parametrize(
        ("raw", "reason"),
        [
            (struct.pack(">I", 1 << 30), DropReason.OVERSIZE),
            (struct.pack(">I", 0), DropReason.MALFORMED),
            (frame(b"no hello"), DropReason.MALFORMED),
            (frame(b"\xff" * 64), DropReason.MALFORMED),
            (b"\x00", DropReason.HANDSHAKE_TIMEOUT),
        ],
    )
    def test_bad_bytes_are_counted_and_the_connection_closed(self, make, raw, reason):
        b, address = make("b", handshake_seconds=0.3)
        host, port = address.split(":")
        with socket.create_connection((host, int(port)), WAIT_TIMEOUT_SECONDS) as sock:
            sock.sendall(raw)
            with contextlib.suppress(ConnectionResetError):
                assert sock.recv(1) == b""
        wait_until(lambda: b.counts.dropped == {reason: 1})

    def test_slow_handshake_is_aborted(self, make):
        b, address = make("b", handshake_seconds=0.3)
        host, port = address.split(":")
        with (
            socket.create_connection((host, int(port))) as sock,
            contextlib.suppress(OSError),
        ):
            sock.sendall(struct.pack(">I", 1000))
            while not b.counts.dropped:
                sock.sendall(b"x")
                time.sleep(0.05)
        wait_until(lambda: b.counts.dropped == {DropReason.HANDSHAKE_TIMEOUT: 1})


class TestFrozenPeer:
    def test_sender_does_not_block_and_the_link_recovers(self, make):
        a, address = make("a", silence_seconds=2.0)
        frozen_address = free_address()
        with subprocess.Popen(
            [sys.executable, "-c", PEER_PROGRAM, frozen_address, address],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as peer:
            try:
                assert peer.stdout.readline() == b"ready\n"
                wait_until(lambda: a.linked == {"frozen"})
                os.kill(peer.pid, signal.SIGSTOP)
                large = Evidence("t", bytes(500_000))
                while a.broadcast(large):
                    pass
                wait_until(lambda: not a.linked)
                assert a.counts.dropped[DropReason.QUEUE_FULL] == 1
                os.kill(peer.pid, signal.SIGCONT)
                wait_until(lambda: a.linked == {"frozen"})
            finally:
                os.kill(peer.pid, signal.SIGCONT)
                peer.stdin.close()
                peer.wait(WAIT_TIMEOUT_SECONDS)
