import subprocess
import sys
import threading
import time
from concurrent.futures import Future, wait

import pytest
from result import Err

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, RequestId, ServerName, SessionId, TeamName
from masticfork.core.manifest import WorkClass
from masticfork.core.refusals import Reason, RunState
from masticfork.ledger.bill_audit import Counts, audit
from masticfork.ledger.bill_records import (
    Bill,
    BillIdentity,
    BillStep,
    batch_value,
    decode_bills,
    encode_bills,
    parse_batch,
)
from masticfork.ledger.bill_store import read_batches
from masticfork.ledger.bills import MAX_BATCH_BYTES, BillWriter
from masticfork.ledger.held_bills import HeldBills
from masticfork.store.client import CallKind, ErrorKind, PlatformError
from masticfork.store.embedded import EmbeddedStore
from masticfork.store.http import HttpObjectStore
from standins.common import serving
from standins.platform import Platform

HOST = HostName("a")


def bill(number, host="a", outcome="answered", at=1000.0, tokens=7, padding=""):
    step = BillStep("m@1", ServerName("e1"), f"try-{number}-{host}", 3, tokens, 1, 0.5)
    return Bill(
        RequestId(f"r{number}{padding}"),
        TeamName("team"),
        SessionId("s"),
        (step,),
        WorkClass.DRAFTING,
        outcome,
        at,
        HostName(host),
    )


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class PeerLink:
    """A keeper that a test makes answer, fail or stay silent."""

    def __init__(self, held):
        self.held = held
        self.works = True

    def keep(self, batch_key, bills):
        future = Future()
        if self.works and self.held.keep(HOST, batch_key, bills):
            future.set_result(None)
        else:
            future.set_exception(ConnectionError("no peer"))
        return future

    def forget(self, batch_key):
        self.held.forget(HOST, batch_key)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def store(clock):
    return EmbeddedStore(now=clock)


@pytest.fixture
def held(store, clock):
    return HeldBills(store, clock)


def stored(store):
    batches = read_batches(store, lambda: 1500.0).unwrap()
    return [found for batch in batches for found in batch.bills]


class TestRecords:
    def test_round_trip(self):
        bills = (bill(1), bill(2, outcome="cut"))
        assert decode_bills(encode_bills(bills)).unwrap() == bills

    def test_stored_names(self, store, clock):
        writer = BillWriter(store, HOST, clock)
        writer.submit(bill(1))
        writer.step()
        item = store.list("bills/", Deadline(2000)).unwrap().items[0]
        assert item.key.startswith("bills/1970-01-01T00/a/batch-")
        assert item.value["bills"][0]["class"] == "drafting"
        assert batch_value(parse_batch(item).unwrap()) == item.value

    @pytest.mark.parametrize(
        "data", [b"", b"{", b"[]", b'{"bills": 1}', b'{"bills": [{"team": "t"}]}']
    )
    def test_malformed_message_is_an_error(self, data):
        assert decode_bills(data).is_err()


class TestOwnBatch:
    def test_safe_once_written_together(self, store, clock):
        writer = BillWriter(store, HOST, clock)
        safe = [writer.submit(bill(n)) for n in range(5)]
        assert not any(future.done() for future in safe)
        assert writer.step() == ()
        assert all(future.done() for future in safe)
        assert store.counter.calls() == {CallKind.PUT: 1}
        assert stored(store) == [bill(n) for n in range(5)]

    @pytest.mark.parametrize("fault", ["lose_answers", "lose_requests", "delay_writes"])
    def test_lost_write_is_settled(self, store, clock, fault):
        writer = BillWriter(store, HOST, clock)
        safe = writer.submit(bill(1))
        setattr(store.faults, fault, 1)
        assert writer.step() == ()
        store.land_delayed()
        assert safe.done()
        assert stored(store) == [bill(1)]

    def test_outage_keeps_the_batch_until_it_ends(self, store, clock):
        writer = BillWriter(store, HOST, clock)
        store.set_down(True)
        safe = writer.submit(bill(1))
        assert [finding.code for finding in writer.step()] == ["bills_pending"]
        assert not safe.done()
        store.set_down(False)
        assert writer.step() == ()
        assert not safe.done()
        clock.now += 1
        writer.step()
        assert safe.done()

    def test_batch_whose_write_is_in_doubt_does_not_change(self, store, clock):
        writer = BillWriter(store, HOST, clock)
        store.faults.lose_answers = 100
        writer.submit(bill(1))
        writer.step()
        writer.submit(bill(2))
        store.faults.lose_answers = 0
        assert writer.flush(Deadline(2000)) == 0
        assert sorted(b.request_id for b in stored(store)) == ["r1", "r2"]

    def test_too_many_waiting_bills_refuse_new_work(self, store, clock):
        writer = BillWriter(store, HOST, clock, max_unwritten=2)
        store.set_down(True)
        writer.submit(bill(1))
        assert writer.refusal() is None
        writer.submit(bill(2))
        refusal = writer.refusal()
        assert (refusal.reason, refusal.run_state) == (
            Reason.BILL_NOT_KEPT,
            RunState.NOT_RUN,
        )
        # Work that already ran is billed even so.
        writer.submit(bill(3))
        store.set_down(False)
        assert writer.flush(Deadline(2000)) == 0
        assert writer.refusal() is None
        assert len(stored(store)) == 3

    def test_writes_stay_in_their_budget(self, store, clock):
        writer = BillWriter(store, HOST, clock, write_interval_seconds=4.0)
        for number in range(40):
            writer.submit(bill(number))
            writer.step()
            clock.now += 0.5
        assert store.counter.calls() == {CallKind.PUT: 5}
        assert writer.flush(Deadline(2000)) == 0
        assert len(stored(store)) == 40

    def test_large_batches_are_split(self, store, clock):
        writer = BillWriter(store, HOST, clock)
        safe = [writer.submit(bill(n, padding="x" * 300_000)) for n in range(5)]
        assert writer.flush(Deadline(2000)) == 0
        assert all(future.done() for future in safe)
        items = store.list("bills/", Deadline(2000)).unwrap().items
        assert [len(item.value["bills"]) for item in items].count(2) == 2
        assert MAX_BATCH_BYTES < 1 << 20

    def test_platform_that_finds_a_batch_too_large_gets_halves(self, store, clock):
        create = store.create

        def create_small(key, value, deadline):
            if len(value["bills"]) > 2:
                return Err(PlatformError(ErrorKind.TOO_LARGE, "too large"))
            return create(key, value, deadline)

        store.create = create_small
        writer = BillWriter(store, HOST, clock)
        safe = [writer.submit(bill(number)) for number in range(5)]
        assert writer.flush(Deadline(2000)) == 0
        assert all(future.done() for future in safe)
        assert len(stored(store)) == 5

    def test_thread_writes_what_is_submitted(self):
        store = EmbeddedStore(now=Clock())
        writer = BillWriter(store, HOST, Clock())
        thread = threading.Thread(target=writer.run)
        thread.start()
        safe = [writer.submit(bill(number)) for number in range(100)]
        assert not wait(safe, timeout=10).not_done
        writer.stop()
        thread.join()
        assert len(stored(store)) == 100


class TestPeerHeld:
    @pytest.fixture
    def link(self, held):
        return PeerLink(held)

    @pytest.fixture
    def writer(self, store, clock, link):
        return BillWriter(store, HOST, clock, 4.0, link)

    def test_safe_before_the_write_and_forgotten_after(self, writer, store, held):
        assert writer.submit(bill(1)).done()
        assert stored(store) == []
        assert held.count == 1
        writer.step()
        assert stored(store) == [bill(1)]
        assert held.count == 0

    def test_without_a_peer_the_write_makes_it_safe(self, writer, link):
        link.works = False
        safe = writer.submit(bill(1))
        assert not safe.done()
        writer.step()
        assert safe.done()

    def test_peer_that_answers_after_the_write_keeps_nothing(
        self, store, clock, held, link
    ):
        late = Future()
        link.keep = lambda key, bills: late
        writer = BillWriter(store, HOST, clock, 0.0, link)
        writer.submit(bill(1))
        waiting = writer.submit(bill(2))
        writer.step()
        assert waiting.done()
        key = store.list("bills/", Deadline(2000)).unwrap().items[0].key
        held.keep(HOST, key, (bill(1),))
        link.keep = lambda *_: pytest.fail("a written bill was sent to a peer")
        late.set_result(None)
        assert held.count == 0

    def test_peer_writes_for_a_dead_host(self, writer, store, held):
        writer.submit(bill(1))
        writer.submit(bill(2))
        assert held.recover(HOST) == ()
        assert stored(store) == [bill(1), bill(2)]
        assert held.count == 0

    def test_host_wrongly_taken_for_dead_writes_only_the_rest(
        self, writer, store, held
    ):
        writer.submit(bill(1))
        held.recover(HOST)
        writer.submit(bill(2))
        assert writer.flush(Deadline(2000)) == 0
        assert sorted(stored(store), key=repr) == [bill(1), bill(2)]
        assert held.count == 0

    def test_peer_after_the_host_writes_only_the_rest(self, writer, store, held, clock):
        writer.submit(bill(1))
        held.recover(HOST)
        writer.submit(bill(2))
        held.recover(HOST)
        assert sorted(stored(store), key=repr) == [bill(1), bill(2)]
        assert held.count == 0

    def test_recovery_waits_for_the_platform(self, writer, store, held):
        writer.submit(bill(1))
        store.set_down(True)
        assert [f.code for f in held.recover_all()] == ["held_bills_pending"]
        store.set_down(False)
        assert held.recover_all() == ()
        assert stored(store) == [bill(1)]

    def test_full_peer_takes_no_more(self, store, clock):
        held = HeldBills(store, clock, max_held=1)
        assert held.keep(HOST, "bills/x", (bill(1),))
        assert held.keep(HOST, "bills/x", (bill(1),))
        assert not held.keep(HOST, "bills/x", (bill(2),))
        assert held.count == 1


CHILD = """
import sys, threading, time
sys.path.insert(0, sys.argv[2])
from masticfork.ledger.bills import BillWriter
from masticfork.ledger.bills_test import bill
from masticfork.store.http import HttpObjectStore
writer = BillWriter(HttpObjectStore(sys.argv[1], time.time), "a", time.time)
threading.Thread(target=writer.run, daemon=True).start()
for number in range(100_000):
    safe = writer.submit(bill(number))
    safe.add_done_callback(lambda _, n=number: print(n, flush=True))
    time.sleep(0.001)
"""


class TestKilledHost:
    @pytest.mark.parametrize("safe_bills", [1, 7, 40])
    def test_no_bill_that_was_called_safe_is_missing(self, safe_bills):
        with serving(Platform(), threads=8) as server:
            address = f"127.0.0.1:{server.port}"
            command = [sys.executable, "-c", CHILD, address, "."]
            child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
            seen = [child.stdout.readline() for _ in range(safe_bills)]
            child.kill()
            seen += child.communicate()[0].splitlines()
            answered = frozenset(
                BillIdentity(TeamName("team"), RequestId(f"r{line.strip()}"))
                for line in seen
            )
            store = HttpObjectStore(address, time.time)
            findings = audit(store, Counts((), answered), time.time).unwrap()
            store.close()
        codes = {finding.code for finding in findings}
        assert len(answered) >= safe_bills
        assert "bill_missing" not in codes
        assert "attempt_doubled" not in codes
