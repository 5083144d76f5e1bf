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
from masticfork.ledger.bill_audit import ExpectedUsage, audit
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


class FakeBillReplicator:
    """A bill replicator that stores bills in `held`, or fails if `works` is false."""

    def __init__(self, held):
        self.held = held
        self.works = True

    def replicate(self, batch_key, bills):
        future = Future()
        if self.works and self.held.add(HOST, batch_key, bills):
            future.set_result(None)
        else:
            future.set_exception(ConnectionError("no peer"))
        return future

    def drop_replicas(self, batch_key):
        self.held.drop(HOST, batch_key)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def store(clock):
    return EmbeddedStore(now=clock)


@pytest.fixture
def held(store, clock):
    return HeldBills(store, clock)


def read_stored_bills(store):
    batches = read_batches(store, lambda: 1500.0).unwrap()
    return [found for batch in batches for found in batch.bills]


class TestRecords:
    def test_round_trip(self):
        bills = (bill(1), bill(2, outcome="cut"))
        assert decode_bills(encode_bills(bills)).unwrap() == bills

    def test_stored_key_and_field_names(self, store, clock):
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


class TestBatchWrites:
    def test_bills_are_durable_once_their_batch_is_written(self, store, clock):
        writer = BillWriter(store, HOST, clock)
        durable = [writer.submit(bill(n)) for n in range(5)]
        assert not any(future.done() for future in durable)
        assert writer.step() == ()
        assert all(future.done() for future in durable)
        assert store.counter.calls() == {CallKind.PUT: 1}
        assert read_stored_bills(store) == [bill(n) for n in range(5)]

    @pytest.mark.parametrize("fault", ["lose_answers", "lose_requests", "delay_writes"])
    def test_write_with_a_lost_request_or_answer_is_resolved(self, store, clock, fault):
        writer = BillWriter(store, HOST, clock)
        durable = writer.submit(bill(1))
        setattr(store.faults, fault, 1)
        assert writer.step() == ()
        store.apply_delayed_writes()
        assert durable.done()
        assert read_stored_bills(store) == [bill(1)]

    def test_batch_is_retried_after_an_outage(self, store, clock):
        writer = BillWriter(store, HOST, clock)
        store.set_down(True)
        durable = writer.submit(bill(1))
        assert [finding.code for finding in writer.step()] == ["bills_pending"]
        assert not durable.done()
        store.set_down(False)
        assert writer.step() == ()
        assert not durable.done()
        clock.now += 1
        writer.step()
        assert durable.done()

    def test_batch_with_an_unknown_write_outcome_does_not_change(self, store, clock):
        writer = BillWriter(store, HOST, clock)
        store.faults.lose_answers = 100
        writer.submit(bill(1))
        writer.step()
        writer.submit(bill(2))
        store.faults.lose_answers = 0
        assert writer.flush(Deadline(2000)) == 0
        assert sorted(b.request_id for b in read_stored_bills(store)) == ["r1", "r2"]

    def test_new_requests_are_refused_while_too_many_bills_are_unwritten(
        self, store, clock
    ):
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
        # A request that has already run is still billed.
        writer.submit(bill(3))
        store.set_down(False)
        assert writer.flush(Deadline(2000)) == 0
        assert writer.refusal() is None
        assert len(read_stored_bills(store)) == 3

    def test_write_interval_limits_the_number_of_writes(self, store, clock):
        writer = BillWriter(store, HOST, clock, write_interval_seconds=4.0)
        for number in range(40):
            writer.submit(bill(number))
            writer.step()
            clock.now += 0.5
        assert store.counter.calls() == {CallKind.PUT: 5}
        assert writer.flush(Deadline(2000)) == 0
        assert len(read_stored_bills(store)) == 40

    def test_large_batches_are_split(self, store, clock):
        writer = BillWriter(store, HOST, clock)
        durable = [writer.submit(bill(n, padding="x" * 300_000)) for n in range(5)]
        assert writer.flush(Deadline(2000)) == 0
        assert all(future.done() for future in durable)
        items = store.list("bills/", Deadline(2000)).unwrap().items
        assert [len(item.value["bills"]) for item in items].count(2) == 2
        assert MAX_BATCH_BYTES < 1 << 20

    def test_batch_rejected_as_too_large_is_halved(self, store, clock):
        create = store.create

        def create_small(key, value, deadline):
            if len(value["bills"]) > 2:
                return Err(PlatformError(ErrorKind.TOO_LARGE, "too large"))
            return create(key, value, deadline)

        store.create = create_small
        writer = BillWriter(store, HOST, clock)
        durable = [writer.submit(bill(number)) for number in range(5)]
        assert writer.flush(Deadline(2000)) == 0
        assert all(future.done() for future in durable)
        assert len(read_stored_bills(store)) == 5

    def test_writer_thread_writes_submitted_bills(self):
        store = EmbeddedStore(now=Clock())
        writer = BillWriter(store, HOST, Clock())
        thread = threading.Thread(target=writer.run)
        thread.start()
        durable = [writer.submit(bill(number)) for number in range(100)]
        assert not wait(durable, timeout=10).not_done
        writer.stop()
        thread.join()
        assert len(read_stored_bills(store)) == 100


class TestReplication:
    @pytest.fixture
    def replicator(self, held):
        return FakeBillReplicator(held)

    @pytest.fixture
    def writer(self, store, clock, replicator):
        return BillWriter(store, HOST, clock, 4.0, replicator)

    def test_durable_before_the_write_and_dropped_by_the_peer_after(
        self, writer, store, held
    ):
        assert writer.submit(bill(1)).done()
        assert read_stored_bills(store) == []
        assert held.count == 1
        writer.step()
        assert read_stored_bills(store) == [bill(1)]
        assert held.count == 0

    def test_without_a_peer_the_bill_is_durable_after_the_write(
        self, writer, replicator
    ):
        replicator.works = False
        durable = writer.submit(bill(1))
        assert not durable.done()
        writer.step()
        assert durable.done()

    def test_peer_that_replies_after_the_write_drops_the_bills(
        self, store, clock, held, replicator
    ):
        late_reply = Future()
        replicator.replicate = lambda key, bills: late_reply
        writer = BillWriter(store, HOST, clock, 0.0, replicator)
        writer.submit(bill(1))
        waiting = writer.submit(bill(2))
        writer.step()
        assert waiting.done()
        key = store.list("bills/", Deadline(2000)).unwrap().items[0].key
        held.add(HOST, key, (bill(1),))
        replicator.replicate = lambda *_: pytest.fail(
            "a written bill was sent to a peer"
        )
        late_reply.set_result(None)
        assert held.count == 0

    def test_peer_writes_the_bills_of_a_failed_host(self, writer, store, held):
        writer.submit(bill(1))
        writer.submit(bill(2))
        assert held.recover(HOST) == ()
        assert read_stored_bills(store) == [bill(1), bill(2)]
        assert held.count == 0

    def test_live_host_after_recovery_by_a_peer_writes_only_new_bills(
        self, writer, store, held
    ):
        writer.submit(bill(1))
        held.recover(HOST)
        writer.submit(bill(2))
        assert writer.flush(Deadline(2000)) == 0
        assert sorted(read_stored_bills(store), key=repr) == [bill(1), bill(2)]
        assert held.count == 0

    def test_repeated_recovery_writes_only_new_bills(self, writer, store, held, clock):
        writer.submit(bill(1))
        held.recover(HOST)
        writer.submit(bill(2))
        held.recover(HOST)
        assert sorted(read_stored_bills(store), key=repr) == [bill(1), bill(2)]
        assert held.count == 0

    def test_recovery_is_retried_after_an_outage(self, writer, store, held):
        writer.submit(bill(1))
        store.set_down(True)
        assert [f.code for f in held.recover_all()] == ["held_bills_pending"]
        store.set_down(False)
        assert held.recover_all() == ()
        assert read_stored_bills(store) == [bill(1)]

    def test_peer_at_its_limit_rejects_new_bills(self, store, clock):
        held = HeldBills(store, clock, max_held=1)
        assert held.add(HOST, "bills/x", (bill(1),))
        assert held.add(HOST, "bills/x", (bill(1),))
        assert not held.add(HOST, "bills/x", (bill(2),))
        assert held.count == 1


CHILD_PROGRAM = """
import sys, threading, time
sys.path.insert(0, sys.argv[2])
from masticfork.ledger.bills import BillWriter
from masticfork.ledger.bills_test import bill
from masticfork.store.http import HttpObjectStore
writer = BillWriter(HttpObjectStore(sys.argv[1], time.time), "a", time.time)
threading.Thread(target=writer.run, daemon=True).start()
for number in range(100_000):
    durable = writer.submit(bill(number))
    durable.add_done_callback(lambda _, n=number: print(n, flush=True))
    time.sleep(0.001)
"""


class TestKilledHost:
    @pytest.mark.parametrize("durable_bills", [1, 7, 40])
    def test_no_durable_bill_is_missing(self, durable_bills):
        with serving(Platform(), threads=8) as server:
            address = f"127.0.0.1:{server.port}"
            command = [sys.executable, "-c", CHILD_PROGRAM, address, "."]
            child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
            seen = [child.stdout.readline() for _ in range(durable_bills)]
            child.kill()
            seen += child.communicate()[0].splitlines()
            answered = frozenset(
                BillIdentity(TeamName("team"), RequestId(f"r{line.strip()}"))
                for line in seen
            )
            store = HttpObjectStore(address, time.time)
            findings = audit(store, ExpectedUsage((), answered), time.time).unwrap()
            store.close()
        codes = {finding.code for finding in findings}
        assert len(answered) >= durable_bills
        assert "bill_missing" not in codes
        assert "attempt_doubled" not in codes
