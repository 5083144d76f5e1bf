import time

import attrs

from standins.common import serving
from standins.engine import Engine, Settings
from standins.testing import client_for
from standins.weight_store import WeightStore


class TestFetch:
    def test_fetches_over_the_rate_are_rejected(self):
        with serving(WeightStore(1, transfer_seconds=0), threads=4) as server:
            client = client_for(server)
            status, body = client("POST", "/fetch", {"version": "a@1"})
            assert (status, body["version"]) == (200, "a@1")
            assert client("POST", "/fetch", {"version": "a@1"})[0] == 429
            counts = client("GET", "/_counts")[1]
            assert counts == {"fetches": {"a@1": 1}, "refused": 1}

    def test_an_engine_fetches_weights_on_a_load_order(self):
        with serving(WeightStore(transfer_seconds=0), threads=4) as store:
            settings = Settings(load_seconds=0, weight_store=store.url)
            settings = attrs.evolve(settings, load_lag_seconds=0.0)
            with serving(Engine(settings), threads=4) as server:
                client = client_for(server)
                order = {"kind": "load", "version": "b@1", "fencing": 1}
                client("POST", "/v1/orders", order)
                for _ in range(1000):
                    if "b@1" in client("GET", "/v1/load")[1]["versions"]:
                        break
                    time.sleep(0.005)
            assert client_for(store)("GET", "/_counts")[1]["fetches"] == {"b@1": 1}
