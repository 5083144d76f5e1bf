import http.client

import pytest

from standins.common import serving
from standins.plain_service import PlainService
from standins.testing import Ask, asker


@pytest.fixture
def ask():
    with serving(PlainService(), threads=4) as server:
        yield asker(server)


def reserve(ask: Ask, key: str = "k"):
    headers = {"Idempotency-Key": key}
    return ask("POST", "/reservations", {"pallet": 7}, headers)


class TestCalls:
    def test_stock_is_stable(self, ask: Ask):
        status, body = ask("GET", "/stock/bolts%20m8")
        assert (status, body["item"]) == (200, "bolts m8")
        assert ask("GET", "/stock/bolts%20m8") == (status, body)

    def test_a_reservation_runs_each_time(self, ask: Ask):
        assert reserve(ask) == (201, {"reservation": 1, "key": "k"})
        assert reserve(ask) == (201, {"reservation": 2, "key": "k"})
        status, body = ask("GET", "/reservations/by-key/k")
        assert (status, body["runs"]) == (200, 2)
        assert ask("GET", "/reservations/by-key/other")[0] == 404
        assert ask("GET", "/_counts")[1]["runs"] == {"k": 2}

    def test_an_order_is_confirmed_and_looked_up(self, ask: Ask):
        headers = {"Idempotency-Key": "o"}
        assert ask("POST", "/orders/confirm", {}, headers)[0] == 201
        assert ask("GET", "/orders/o")[1]["runs"] == 1

    def test_a_key_is_needed(self, ask: Ask):
        assert ask("POST", "/reservations", {})[0] == 400


class TestFaults:
    def test_refused_calls_did_not_run(self, ask: Ask):
        ask("POST", "/_faults", {"refuse": 1})
        assert reserve(ask)[0] == 503
        assert ask("GET", "/_counts")[1]["runs"] == {}
        assert reserve(ask)[0] == 201

    def test_close_before_read_runs_nothing(self, ask: Ask):
        ask("POST", "/_faults", {"close_before_read": 1})
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            reserve(ask)
        assert ask("GET", "/_counts")[1]["runs"] == {}

    def test_run_then_close_ran(self, ask: Ask):
        ask("POST", "/_faults", {"run_then_close": 1})
        with pytest.raises(http.client.RemoteDisconnected):
            reserve(ask)
        assert ask("GET", "/_counts")[1]["runs"] == {"k": 1}

    def test_cut_answer_ran_and_is_incomplete(self, ask: Ask):
        ask("POST", "/_faults", {"cut_answer": 1})
        with pytest.raises(http.client.IncompleteRead):
            reserve(ask)
        assert ask("GET", "/_counts")[1]["runs"] == {"k": 1}

    def test_lookups_can_be_down(self, ask: Ask):
        reserve(ask)
        ask("POST", "/_faults", {"lookup_down": True})
        assert ask("GET", "/reservations/by-key/k")[0] == 503
