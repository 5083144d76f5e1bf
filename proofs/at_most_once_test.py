import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from proofs.calling import Caller, new_key, wait_for
from proofs.counting import run_count, server_names, set_faults
from tools import launch
from tools.launch_files import SERVICE
from tools.launch_options import Options

# A single service server: the stand-in's servers share no records, so a lookup has to
# reach the server that ran the call.
OPTIONS = Options(hosts=4, engines_per_pool=1, service_servers=1)
HOSTS = range(4)


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


@pytest.fixture
def caller(cluster):
    yield Caller(cluster)
    service_defaults = {"delay_seconds": 0, "refuse": 0, "close_before_read": 0}
    service_defaults |= {"run_then_close": 0, "cut_answer": 0, "lookup_down": False}
    set_faults(cluster, *server_names(cluster, SERVICE), **service_defaults)
    platform_defaults = {"down": False, "slow_seconds": 0, "lose_answers": 0}
    set_faults(cluster, "platform", **platform_defaults)


def set_service_faults(cluster, **faults):
    set_faults(cluster, *server_names(cluster, SERVICE), **faults)


class TestSameKey:
    def test_concurrent_calls_on_all_hosts_run_once(self, cluster, caller):
        key = new_key()
        set_service_faults(cluster, delay_seconds=0.5)
        with ThreadPoolExecutor(8) as pool:
            responses = list(pool.map(lambda n: caller.reserve(n % 4, key), range(8)))
        assert run_count(cluster, key) == 1
        assert {r.status for r in responses} == {201}
        assert len({r.body["reservation"] for r in responses}) == 1

    def test_sequential_calls_are_replayed(self, cluster, caller):
        key = new_key()
        responses = [caller.reserve(host, key) for host in HOSTS]
        assert run_count(cluster, key) == 1
        assert [r.status for r in responses] == [201] * 4
        assert len({r.body["reservation"] for r in responses}) == 1
        replayed = [r.headers.get("masticfork-replayed") for r in responses]
        assert replayed == [None, "true", "true", "true"]

    def test_call_during_a_long_run_gets_409_with_retry_after(self, cluster, caller):
        key = new_key()
        set_service_faults(cluster, delay_seconds=4)
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(caller.reserve, 0, key)
            time.sleep(0.5)
            second = caller.reserve(1, key)
            assert second.status == 409
            assert int(second.headers["retry-after"]) >= 1
            assert second.run_state == "unknown"
            assert first.result().status == 201
        assert caller.reserve(2, key).body == first.result().body
        assert run_count(cluster, key) == 1

    def test_another_body_is_rejected(self, cluster, caller):
        key = new_key()
        assert caller.reserve(0, key, {"pallet": 1}).status == 201
        rejected = caller.reserve(1, key, {"pallet": 2})
        assert (rejected.status, rejected.run_state) == (422, "not_run")
        assert run_count(cluster, key) == 1

    def test_keys_are_scoped_to_the_team(self, cluster, caller):
        key = new_key()
        assert caller.reserve(0, key).status == 201
        assert Caller(cluster, "warehouse").reserve(1, key).status == 201
        assert run_count(cluster, key) == 2


class TestServiceFaults:
    """The lookup is down, so that only the claim can tell the outcome."""

    @pytest.mark.parametrize("fault_name", ["run_then_close", "cut_answer"])
    def test_lost_response_is_unknown_until_the_lookup_resolves_it(
        self, cluster, caller, fault_name
    ):
        key = new_key()
        set_service_faults(cluster, lookup_down=True, **{fault_name: 1})
        responses = [caller.reserve(host, key) for host in HOSTS]
        assert {r.run_state for r in responses} == {"unknown"}
        assert run_count(cluster, key) == 1
        set_service_faults(cluster, lookup_down=False, **{fault_name: 0})
        resolved = caller.reserve(0, key)
        assert (resolved.status, resolved.body["runs"]) == (200, 1)
        assert caller.reserve(3, key).body == resolved.body
        assert run_count(cluster, key) == 1

    def test_connection_closed_before_read_gets_a_true_run_state_and_no_second_run(
        self, cluster, caller
    ):
        key = new_key()
        set_service_faults(cluster, lookup_down=True, close_before_read=1)
        response = caller.reserve(0, key)
        set_service_faults(cluster, close_before_read=0)
        run_total = run_count(cluster, key)
        assert response.run_state in {"unknown", "not_run"} or response.status == 201
        assert run_total == (response.status == 201)
        retried = caller.reserve(1, key)
        if response.run_state == "unknown":
            # It did not run, but no host can tell while the lookup is down.
            assert retried.run_state == "unknown"
            assert run_count(cluster, key) == 0
        else:
            assert retried.status == 201
            assert run_count(cluster, key) == 1


class TestPlatform:
    def test_outage_rejects_calls_at_once_and_nothing_runs(self, cluster, caller):
        key = new_key()
        set_faults(cluster, "platform", down=True)
        for host in HOSTS:
            started_at = time.monotonic()
            response = caller.reserve(host, key)
            assert (response.status, response.run_state) == (503, "not_run")
            assert int(response.headers["retry-after"]) >= 1
            assert time.monotonic() - started_at < 4
            assert caller.look_up(host).status == 200
        assert run_count(cluster, key) == 0
        set_faults(cluster, "platform", down=False)

        def reserved():
            return caller.reserve(0, key).status == 201

        wait_for(reserved, 10, "a reservation after the outage")
        assert run_count(cluster, key) == 1

    def test_lost_responses_to_claim_writes_run_once(self, cluster, caller):
        keys = [new_key() for _ in HOSTS]
        set_faults(cluster, "platform", lose_answers=4)
        responses = [caller.reserve(host, keys[host]) for host in HOSTS]
        for key, response in zip(keys, responses, strict=True):
            run_total = run_count(cluster, key)
            expected = 1 if response.status == 201 else 0
            assert run_total == expected, response
            assert response.status == 201 or response.run_state == "not_run"
        set_faults(cluster, "platform", lose_answers=0)
        for host, key in enumerate(keys):

            def reserved(host=host, key=key):
                return caller.reserve((host + 1) % 4, key).status == 201

            wait_for(reserved, 10, "a reservation after lost responses")
            assert run_count(cluster, key) == 1

    def test_outage_during_a_run_keeps_the_response(self, cluster, caller):
        key = new_key()
        set_service_faults(cluster, delay_seconds=1.5)
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(caller.reserve, 0, key)
            time.sleep(0.7)
            set_faults(cluster, "platform", down=True)
            response = first.result()
        assert response.status == 201
        assert caller.reserve(0, key).body == response.body
        set_faults(cluster, "platform", down=False)

        def replayed():
            retried = caller.reserve(1, key)
            return retried.status == 201 and retried.body == response.body

        wait_for(replayed, 10, "replay on another host")
        assert run_count(cluster, key) == 1


class TestHostFaults:
    def test_killed_host_causes_no_second_run(self, cluster, caller):
        key = new_key()
        set_service_faults(cluster, delay_seconds=2)
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(caller.reserve, 3, key, None, 3.0)
            time.sleep(0.7)
            cluster.kill("entry-4")
            assert first.exception() is not None
        states = []
        deadline = time.monotonic() + 6
        while time.monotonic() < deadline:
            retried = caller.reserve(len(states) % 3, key, None, 3.0)
            states.append(retried.run_state or retried.status)
            if retried.status in (200, 201):
                break
        assert states[-1] in (200, 201), states
        assert set(states[:-1]) <= {"unknown"}, states
        assert run_count(cluster, key) == 1
        cluster.restart("entry-4")
        assert caller.reserve(3, key).status in (200, 201)
        assert run_count(cluster, key) == 1

    def test_host_frozen_past_its_dispatch_deadline_sends_nothing(
        self, cluster, caller
    ):
        key = new_key()
        # Slow enough that the claim's write is in flight when the host is frozen.
        set_faults(cluster, "platform", slow_seconds=0.6)
        with ThreadPoolExecutor(1) as pool:
            frozen_call = pool.submit(caller.reserve, 0, key, None, 2.0)
            time.sleep(0.4)
            cluster.signal("entry-1", signal.SIGSTOP)
            try:
                time.sleep(1.0)
                set_faults(cluster, "platform", slow_seconds=0)
                # Past the call's deadline and the allowed clock difference.
                time.sleep(2.2)
                other_responses = [caller.reserve(host, key) for host in (1, 2)]
            finally:
                cluster.signal("entry-1", signal.SIGCONT)
            delayed_response = frozen_call.result()
        assert delayed_response.run_state == "not_run", delayed_response
        runs_before_retry = run_count(cluster, key)
        assert runs_before_retry == sum(r.status == 201 for r in other_responses[:1])

        def reserved():
            return caller.reserve(3, key).status == 201

        wait_for(reserved, 10, "a reservation after the freeze")
        assert run_count(cluster, key) == 1
