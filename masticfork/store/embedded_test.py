import threading
import time

from masticfork.core.deadlines import Deadline
from masticfork.store.client import ErrorKind
from masticfork.store.embedded import EmbeddedStore

LATER = Deadline(time.time() + 600)


class TestFaults:
    def test_write_during_an_outage_has_no_effect(self):
        store = EmbeddedStore()
        store.set_down(True)
        refused = store.create("k", {}, LATER).unwrap_err()
        store.set_down(False)
        assert refused.kind is ErrorKind.UNAVAILABLE
        assert store.get("k", LATER).unwrap_err().kind is ErrorKind.NOT_FOUND

    def test_outage_ends_a_running_watch(self):
        store = EmbeddedStore()
        outage = threading.Timer(0.05, lambda: store.set_down(True))
        outage.start()
        outcome = store.watch("", 0, LATER)
        outage.join()
        assert outcome.unwrap_err().kind is ErrorKind.UNAVAILABLE

    def test_write_takes_effect_if_its_response_is_lost_but_not_its_request(self):
        store = EmbeddedStore()
        store.faults.lose_answers = 1
        assert store.create("a", {}, LATER).unwrap_err().kind is ErrorKind.UNKNOWN
        store.faults.lose_requests = 1
        assert store.create("b", {}, LATER).unwrap_err().kind is ErrorKind.UNKNOWN
        assert store.get("a", LATER).is_ok()
        assert store.get("b", LATER).is_err()

    def test_delayed_write_applies_only_if_its_condition_holds(self):
        store = EmbeddedStore()
        store.faults.delay_writes = 2
        store.create("a", {"n": 1}, LATER)
        store.create("b", {"n": 1}, LATER)
        store.create("b", {"n": 2}, LATER)
        store.apply_delayed_writes()
        values = [item.value for item in store.list("", LATER).unwrap().items]
        assert values == [{"n": 1}, {"n": 2}]

    def test_write_beyond_its_deadline_is_unknown(self):
        store = EmbeddedStore(now=lambda: 100.0, sleep=lambda seconds: None)
        store.faults.slow_seconds = 5
        outcome = store.create("k", {}, Deadline(102))
        assert outcome.unwrap_err().kind is ErrorKind.UNKNOWN
        assert store.get("k", Deadline(102)).unwrap_err().kind is ErrorKind.UNAVAILABLE
        assert store.get("k", Deadline(106)).is_ok()

    def test_watch_from_before_the_history_is_gone(self):
        store = EmbeddedStore(max_history_events=2)
        for key in "abc":
            store.create(key, {}, LATER)
        assert store.watch("", 0, LATER).unwrap_err().kind is ErrorKind.GONE
        assert len(store.watch("", 1, LATER).unwrap().events) == 2
