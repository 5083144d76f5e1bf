"""Tests of the link over real sockets."""

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
LONGEST_WAIT_SECONDS = 20

# A peer in a process of its own, so that it can be frozen.
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
    end = time.monotonic() + LONGEST_WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end, "condition not met"
        time.sleep(0.01)


def soon(seconds=LONGEST_WAIT_SECONDS):
    return Deadline.after(time.time(), seconds)


@pytest.fixture
def make():
    with contextlib.ExitStack() as stack:

        def start(host, seeds=(), keys=(KEY,), bodies=(), incarnation=1, **options):
            address = options.pop("address", None) or free_address()
            parted = options.pop("parted", lambda sender: None)
            settings = LinkSettings(
                host, "z1", address, keys, incarnation, tuple(seeds), **options
            )
            link = PeerLink(settings, Handlers(dict(bodies), parted=parted), time.time)
            assert link.start() == Ok(None)
            stack.callback(link.stop)
            return link, address

        yield start


class TestMessages:
    def test_broadcast_and_send_reach_the_handler(self, make):
        got = []
        bodies = {Evidence: lambda sender, body: got.append((sender.host, body))}
        _, address = make("b", bodies=bodies)
        a, _ = make("a", [address])
        wait_until(lambda: a.linked == {"b"})
        assert a.broadcast(Evidence("ratings", b"1")) == 1
        assert a.send("b", Evidence("ratings", b"2"))
        assert not a.send("c", Evidence("ratings", b"3"))
        wait_until(lambda: len(got) == 2)
        assert got == [("a", Evidence("ratings", b"%d" % n)) for n in (1, 2)]
        assert a.counts.sent_messages["evidence"] == 2

    def test_request_gets_its_reply(self, make):
        bodies = {KeepBills: lambda _, body: KeepBillsAck(body.batch_id, True)}
        _, address = make("b", bodies=bodies)
        a, _ = make("a", [address])
        wait_until(lambda: a.linked)
        replies = [a.request("b", KeepBills(str(n), b""), soon()) for n in range(50)]
        acks = [reply.result(LONGEST_WAIT_SECONDS) for reply in replies]
        assert acks == [Ok(KeepBillsAck(str(n), True)) for n in range(50)]

    def test_request_without_reply_is_a_typed_error(self, make):
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
        late = a.request("b", Evidence("t", b""), soon(0.2))
        failed = a.request("b", KeepBills("1", b""), soon())
        declined = a.request("b", BillsWritten("1"), soon())
        unsent = a.request("nobody", BillsWritten("1"), soon())
        assert late.result(LONGEST_WAIT_SECONDS) == Err(RequestError.EXPIRED)
        assert failed.result(LONGEST_WAIT_SECONDS) == Err(RequestError.DECLINED)
        assert declined.result(LONGEST_WAIT_SECONDS) == Err(RequestError.DECLINED)
        assert unsent.result(LONGEST_WAIT_SECONDS) == Err(RequestError.NOT_SENT)
        assert b.counts.dropped[DropReason.HANDLER_FAILED] == 1

    def test_request_fails_when_the_peer_goes(self, make):
        b, address = make("b", bodies={Evidence: lambda sender, body: None})
        a, _ = make("a", [address])
        wait_until(lambda: a.linked)
        reply = a.request("b", Evidence("t", b""), soon())
        b.stop()
        assert reply.result(LONGEST_WAIT_SECONDS) == Err(RequestError.DISCONNECTED)


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

    def test_set_peers_is_dialled(self, make):
        _, address = make("b")
        a, _ = make("a")
        a.set_peers([PeerAddress("b", "z1", address)])
        wait_until(lambda: a.linked == {"b"})

    def test_own_address_among_the_seeds_is_let_be(self, make):
        port = free_address().split(":")[1]
        a, _ = make("a", [f"127.0.0.1:{port}"], address=f"0.0.0.0:{port}")
        wait_until(lambda: a.counts.dropped.get(DropReason.OWN_ADDRESS))
        assert not a.linked


class TestPruning:
    def test_link_that_is_not_chosen_is_given_up_on_both_sides(self, make):
        parted = []
        addresses = [
            make(f"b{n}", parted=lambda s, me=f"b{n}": parted.append((me, s.host)))[1]
            for n in range(3)
        ]
        a, _ = make(
            "a",
            addresses,
            prune_seconds=0.05,
            parted=lambda s: parted.append(("a", s.host)),
        )
        wait_until(lambda: len(a.linked) == 3)
        # Who is not known to be live is not given up.
        a.set_peers([])
        time.sleep(0.3)
        assert (len(a.linked), parted) == (3, [])
        others = [PeerAddress(f"x{n}", "z1", free_address()) for n in range(9)]
        known = [PeerAddress(f"b{n}", "z9", at) for n, at in enumerate(addresses)]
        a.set_peers([*others, *known])
        wait_until(lambda: len(a.linked) == 2)
        wait_until(lambda: len(parted) == 2)
        (gone,) = {f"b{n}" for n in range(3)} - a.linked
        assert sorted(parted) == [("a", gone), (gone, "a")]


class TestKeyRotation:
    def test_keys_are_replaced_without_a_break(self, make):
        got = []
        bodies = {Evidence: lambda sender, body: got.append(body.payload)}
        b, address = make("b", bodies=bodies)
        a, _ = make("a", [address])
        wait_until(lambda: a.linked)
        new = PeerKey("k2", b"another secret, also long enough")
        for step, keys in enumerate([(KEY, new), (new, KEY), (new,)]):
            for link in (a, b):
                link.replace_keys(keys)
                assert a.send("b", Evidence("t", b"%d" % step))
            wait_until(lambda expected=2 * step + 2: len(got) == expected)
        assert a.linked == {"b"}
        assert not b.counts.dropped


class TestStrangers:
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
        with socket.create_connection((host, int(port)), LONGEST_WAIT_SECONDS) as sock:
            sock.sendall(raw)
            with contextlib.suppress(ConnectionResetError):
                assert sock.recv(1) == b""
        wait_until(lambda: b.counts.dropped == {reason: 1})

    def test_handshake_fed_slowly_is_broken_off(self, make):
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
    def test_sender_never_waits_and_the_link_recovers(self, make):
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
                peer.wait(LONGEST_WAIT_SECONDS)
