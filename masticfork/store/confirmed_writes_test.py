import pytest

from masticfork.core.deadlines import Deadline
from masticfork.store.client import ErrorKind
from masticfork.store.confirmed_writes import (
    LostToConcurrentWrite,
    Written,
    create_confirmed,
    delete_confirmed,
    update_confirmed,
)
from masticfork.store.embedded import EmbeddedStore

NOW = 1000.0
LATER = Deadline(NOW + 10)
OWN = {"writer": "a"}
OTHER = {"writer": "b"}


@pytest.fixture
def store():
    return EmbeddedStore(now=lambda: NOW)


class TestCreate:
    @pytest.mark.parametrize("fault", ["lose_answers", "lose_requests", "delay_writes"])
    def test_write_succeeds_after_a_fault(self, store, fault):
        setattr(store.faults, fault, 2)
        outcome = create_confirmed(store, "k", OWN, LATER).unwrap()
        store.apply_delayed_writes()
        assert outcome == Written(store.get("k", LATER).unwrap())

    def test_reports_the_write_that_came_first(self, store):
        store.faults.lose_requests = 1
        other = store.create("k", OTHER, LATER)
        assert other.is_err()
        other = store.create("k", OTHER, LATER).unwrap()
        assert create_confirmed(
            store, "k", OWN, LATER
        ).unwrap() == LostToConcurrentWrite(other)

    def test_is_unknown_if_every_response_is_lost(self, store):
        store.faults.lose_answers = 100
        error = create_confirmed(store, "k", OWN, LATER).unwrap_err()
        assert error.kind is ErrorKind.UNKNOWN

    def test_is_unknown_in_an_outage_after_a_lost_response(self, store):
        create = store.create

        def create_then_fail(key, value, deadline):
            outcome = create(key, value, deadline)
            store.set_down(True)
            return outcome

        store.create = create_then_fail
        store.faults.lose_answers = 1
        error = create_confirmed(store, "k", OWN, LATER).unwrap_err()
        assert error.kind is ErrorKind.UNKNOWN

    def test_is_unavailable_in_an_outage(self, store):
        store.set_down(True)
        error = create_confirmed(store, "k", OWN, LATER).unwrap_err()
        assert error.kind is ErrorKind.UNAVAILABLE


class TestUpdate:
    @pytest.mark.parametrize("fault", ["lose_answers", "lose_requests", "delay_writes"])
    def test_write_succeeds_after_a_fault(self, store, fault):
        version = store.create("k", OTHER, LATER).unwrap().version
        setattr(store.faults, fault, 2)
        outcome = update_confirmed(store, "k", OWN, version, LATER).unwrap()
        store.apply_delayed_writes()
        assert outcome == Written(store.get("k", LATER).unwrap())

    def test_reports_a_deletion_that_came_first(self, store):
        version = store.create("k", OTHER, LATER).unwrap().version
        store.delete("k", version, LATER)
        assert update_confirmed(
            store, "k", OWN, version, LATER
        ).unwrap() == LostToConcurrentWrite(None)


class TestDelete:
    def test_succeeds_after_a_lost_response(self, store):
        version = store.create("k", OWN, LATER).unwrap().version
        store.faults.lose_answers = 1
        assert delete_confirmed(store, "k", version, LATER).is_ok()
        assert store.get("k", LATER).unwrap_err().kind is ErrorKind.NOT_FOUND

    def test_does_not_delete_a_newer_version(self, store):
        version = store.create("k", OWN, LATER).unwrap().version
        store.update("k", OTHER, version, LATER)
        error = delete_confirmed(store, "k", version, LATER).unwrap_err()
        assert error.kind is ErrorKind.CONFLICT
