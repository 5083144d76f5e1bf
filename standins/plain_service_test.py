import http.client

import pytest

from standins.common import serving
from standins.plain_service import PlainService
from standins.testing import HttpClient, client_for


@pytest.fixture
def client():
    with serving(PlainService(), threads=4) as server:
        yield client_for(server)


def reserve(client: HttpClient, key: str = "k"):
    headers = {"Idempotency-Key": key}
    return client("POST", "/reservations", {"pallet": 7}, headers)


class TestCalls:
    def test_stock_is_stable(self, client: HttpClient):
        status, body = client("GET", "/stock/bolts%20m8")
        assert (status, body["item"]) == (200, "bolts m8")
        assert client("GET", "/stock/bolts%20m8") == (status, body)

    def test_a_reservation_runs_each_time(self, client: HttpClient):
        assert reserve(client) == (201, {"reservation": 1, "key": "k"})
        assert reserve(client) == (201, {"reservation": 2, "key": "k"})
        status, body = client("GET", "/reservations/by-key/k")
        assert (status, body["runs"]) == (200, 2)
        assert client("GET", "/reservations/by-key/other")[0] == 404
        assert client("GET", "/_counts")[1]["runs"] == {"k": 2}

    def test_an_order_is_confirmed_and_looked_up(self, client: HttpClient):
        headers = {"Idempotency-Key": "o"}
        assert client("POST", "/orders/confirm", {}, headers)[0] == 201
        assert client("GET", "/orders/o")[1]["runs"] == 1

    def test_an_idempotency_key_is_required(self, client: HttpClient):
        assert client("POST", "/reservations", {})[0] == 400


class TestFaults:
    def test_refused_calls_do_not_run(self, client: HttpClient):
        client("POST", "/_faults", {"refuse": 1})
        assert reserve(client)[0] == 503
        assert client("GET", "/_counts")[1]["runs"] == {}
        assert reserve(client)[0] == 201

    def test_close_before_read_runs_nothing(self, client: HttpClient):
        client("POST", "/_faults", {"close_before_read": 1})
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            reserve(client)
        assert client("GET", "/_counts")[1]["runs"] == {}

    def test_run_then_close_runs_the_action(self, client: HttpClient):
        client("POST", "/_faults", {"run_then_close": 1})
        with pytest.raises(http.client.RemoteDisconnected):
            reserve(client)
        assert client("GET", "/_counts")[1]["runs"] == {"k": 1}

    def test_cut_answer_runs_the_action_and_truncates_the_response(
        self, client: HttpClient
    ):
        client("POST", "/_faults", {"cut_answer": 1})
        with pytest.raises(http.client.IncompleteRead):
            reserve(client)
        assert client("GET", "/_counts")[1]["runs"] == {"k": 1}

    def test_lookups_can_be_down(self, client: HttpClient):
        reserve(client)
        client("POST", "/_faults", {"lookup_down": True})
        assert client("GET", "/reservations/by-key/k")[0] == 503
