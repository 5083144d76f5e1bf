import pytest

from masticfork.core.deadlines import Deadline
from masticfork.store.client import ErrorKind
from masticfork.store.embedded import EmbeddedStore
from masticfork.store.settle import (
    Beaten,
    Written,
    create_settled,
    delete_settled,
    update_settled,
)

NOW = 1000.0
LATER = Deadline(NOW + 10)
MINE = {"writer": "a"}
OTHER = {"writer": "b"}


@pytest.fixture
def store():
    return EmbeddedStore(now=lambda: NOW)


class TestCreate:
    @pytest.mark.parametrize("fault", ["lose_answers", "lose_requests", "delay_writes"])
    def test_settles_a_lost_write(self, store, fault):
        setattr(store.faults, fault, 2)
        outcome = create_settled(store, "k", MINE, LATER).unwrap()
        store.land_delayed()
        assert outcome == Written(store.get("k", LATER).unwrap())

    def test_tells_who_came_first(self, store):
        store.faults.lose_requests = 1
        theirs = store.create("k", OTHER, LATER)
        assert theirs.is_err()
        theirs = store.create("k", OTHER, LATER).unwrap()
        assert create_settled(store, "k", MINE, LATER).unwrap() == Beaten(theirs)

    def test_stays_unknown_when_the_platform_stays_silent(self, store):
        store.faults.lose_answers = 100
        error = create_settled(store, "k", MINE, LATER).unwrap_err()
        assert error.kind is ErrorKind.UNKNOWN

    def test_outage_after_a_lost_answer_stays_unknown(self, store):
        silent = store.create

        def create_then_fail(key, value, deadline):
            outcome = silent(key, value, deadline)
            store.set_down(True)
            return outcome

        store.create = create_then_fail
        store.faults.lose_answers = 1
        error = create_settled(store, "k", MINE, LATER).unwrap_err()
        assert error.kind is ErrorKind.UNKNOWN

    def test_outage_is_surely_not_done(self, store):
        store.set_down(True)
        error = create_settled(store, "k", MINE, LATER).unwrap_err()
        assert error.kind is ErrorKind.UNAVAILABLE


class TestUpdate:
    @pytest.mark.parametrize("fault", ["lose_answers", "lose_requests", "delay_writes"])
    def test_settles_a_lost_write(self, store, fault):
        version = store.create("k", OTHER, LATER).unwrap().version
        setattr(store.faults, fault, 2)
        outcome = update_settled(store, "k", MINE, version, LATER).unwrap()
        store.land_delayed()
        assert outcome == Written(store.get("k", LATER).unwrap())

    def test_is_beaten_by_a_delete(self, store):
        version = store.create("k", OTHER, LATER).unwrap().version
        store.delete("k", version, LATER)
        assert update_settled(store, "k", MINE, version, LATER).unwrap() == Beaten(None)


class TestDelete:
    def test_settles_a_lost_answer(self, store):
        version = store.create("k", MINE, LATER).unwrap().version
        store.faults.lose_answers = 1
        assert delete_settled(store, "k", version, LATER).is_ok()
        assert store.get("k", LATER).unwrap_err().kind is ErrorKind.NOT_FOUND

    def test_keeps_a_newer_object(self, store):
        version = store.create("k", MINE, LATER).unwrap().version
        store.update("k", OTHER, version, LATER)
        error = delete_settled(store, "k", version, LATER).unwrap_err()
        assert error.kind is ErrorKind.CONFLICT
