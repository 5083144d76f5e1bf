import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from proofs.calling import Caller, new_key, wait_for
from proofs.counting import names, runs, set_faults
from tools import launch
from tools.launch_files import SERVICE
from tools.launch_options import Options

# The stand-in's servers share no records, so a lookup needs the one that ran a call.
OPTIONS = Options(hosts=4, engines_per_pool=1, service_servers=1)
HOSTS = range(4)


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


@pytest.fixture
def caller(cluster):
    yield Caller(cluster)
    off = {"delay_seconds": 0, "refuse": 0, "close_before_read": 0}
    off |= {"run_then_close": 0, "cut_answer": 0, "lookup_down": False}
    set_faults(cluster, *names(cluster, SERVICE), **off)
    platform_off = {"down": False, "slow_seconds": 0, "lose_answers": 0}
    set_faults(cluster, "platform", **platform_off)


def fault(cluster, **faults):
    set_faults(cluster, *names(cluster, SERVICE), **faults)


class TestSameKey:
    def test_at_once_on_all_hosts_runs_once(self, cluster, caller):
        key = new_key()
        fault(cluster, delay_seconds=0.5)
        with ThreadPoolExecutor(8) as pool:
            answers = list(pool.map(lambda n: caller.reserve(n % 4, key), range(8)))
        assert runs(cluster, key) == 1
        assert {a.status for a in answers} == {201}
        assert len({a.body["reservation"] for a in answers}) == 1

    def test_one_after_another_is_replayed(self, cluster, caller):
        key = new_key()
        answers = [caller.reserve(host, key) for host in HOSTS]
        assert runs(cluster, key) == 1
        assert [a.status for a in answers] == [201] * 4
        assert len({a.body["reservation"] for a in answers}) == 1
        replayed = [a.headers.get("masticfork-replayed") for a in answers]
        assert replayed == [None, "true", "true", "true"]

    def test_a_longer_run_answers_409_with_retry_after(self, cluster, caller):
        key = new_key()
        fault(cluster, delay_seconds=4)
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(caller.reserve, 0, key)
            time.sleep(0.5)
            second = caller.reserve(1, key)
            assert second.status == 409
            assert int(second.headers["retry-after"]) >= 1
            assert second.run_state == "unknown"
            assert first.result().status == 201
        assert caller.reserve(2, key).body == first.result().body
        assert runs(cluster, key) == 1

    def test_another_body_is_refused(self, cluster, caller):
        key = new_key()
        assert caller.reserve(0, key, {"pallet": 1}).status == 201
        other = caller.reserve(1, key, {"pallet": 2})
        assert (other.status, other.run_state) == (422, "not_run")
        assert runs(cluster, key) == 1

    def test_other_teams_have_keys_of_their_own(self, cluster, caller):
        key = new_key()
        assert caller.reserve(0, key).status == 201
        assert Caller(cluster, "warehouse").reserve(1, key).status == 201
        assert runs(cluster, key) == 2


class TestServiceFaults:
    """The lookup is down, so that the outcome can only be told by the claim."""

    @pytest.mark.parametrize("kind", ["run_then_close", "cut_answer"])
    def test_a_lost_answer_is_unknown_until_the_lookup_settles_it(
        self, cluster, caller, kind
    ):
        key = new_key()
        fault(cluster, lookup_down=True, **{kind: 1})
        answers = [caller.reserve(host, key) for host in HOSTS]
        assert {a.run_state for a in answers} == {"unknown"}
        assert runs(cluster, key) == 1
        fault(cluster, lookup_down=False, **{kind: 0})
        settled = caller.reserve(0, key)
        assert (settled.status, settled.body["runs"]) == (200, 1)
        assert caller.reserve(3, key).body == settled.body
        assert runs(cluster, key) == 1

    def test_a_connection_closed_unread_is_never_told_as_run_twice(
        self, cluster, caller
    ):
        key = new_key()
        fault(cluster, lookup_down=True, close_before_read=1)
        answer = caller.reserve(0, key)
        fault(cluster, close_before_read=0)
        ran = runs(cluster, key)
        assert answer.run_state in {"unknown", "not_run"} or answer.status == 201
        assert ran == (answer.status == 201)
        again = caller.reserve(1, key)
        if answer.run_state == "unknown":
            # It did not run, but nobody can know that yet.
            assert again.run_state == "unknown"
            assert runs(cluster, key) == 0
        else:
            assert again.status == 201
            assert runs(cluster, key) == 1


class TestPlatform:
    def test_an_outage_refuses_at_once_and_nothing_runs(self, cluster, caller):
        key = new_key()
        set_faults(cluster, "platform", down=True)
        for host in HOSTS:
            begun = time.monotonic()
            answer = caller.reserve(host, key)
            assert (answer.status, answer.run_state) == (503, "not_run")
            assert int(answer.headers["retry-after"]) >= 1
            assert time.monotonic() - begun < 4
            assert caller.look_up(host).status == 200
        assert runs(cluster, key) == 0
        set_faults(cluster, "platform", down=False)

        def reserved():
            return caller.reserve(0, key).status == 201

        wait_for(reserved, 10, "reserving after the outage")
        assert runs(cluster, key) == 1

    def test_lost_answers_to_claims_run_once(self, cluster, caller):
        keys = [new_key() for _ in HOSTS]
        set_faults(cluster, "platform", lose_answers=4)
        answers = [caller.reserve(host, keys[host]) for host in HOSTS]
        for key, answer in zip(keys, answers, strict=True):
            ran = runs(cluster, key)
            expected = 1 if answer.status == 201 else 0
            assert ran == expected, answer
            assert answer.status == 201 or answer.run_state == "not_run"
        set_faults(cluster, "platform", lose_answers=0)
        for host, key in enumerate(keys):

            def reserved(host=host, key=key):
                return caller.reserve((host + 1) % 4, key).status == 201

            wait_for(reserved, 10, "reserving after lost answers")
            assert runs(cluster, key) == 1

    def test_outage_while_it_runs_keeps_the_answer(self, cluster, caller):
        key = new_key()
        fault(cluster, delay_seconds=1.5)
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(caller.reserve, 0, key)
            time.sleep(0.7)
            set_faults(cluster, "platform", down=True)
            answer = first.result()
        assert answer.status == 201
        assert caller.reserve(0, key).body == answer.body
        set_faults(cluster, "platform", down=False)

        def replayed():
            again = caller.reserve(1, key)
            return again.status == 201 and again.body == answer.body

        wait_for(replayed, 10, "replay on another host")
        assert runs(cluster, key) == 1


class TestHostFaults:
    def test_a_killed_host_never_leads_to_a_second_run(self, cluster, caller):
        key = new_key()
        fault(cluster, delay_seconds=2)
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(caller.reserve, 3, key, None, 3.0)
            time.sleep(0.7)
            cluster.kill("entry-4")
            assert first.exception() is not None
        states = []
        until = time.monotonic() + 6
        while time.monotonic() < until:
            again = caller.reserve(len(states) % 3, key, None, 3.0)
            states.append(again.run_state or again.status)
            if again.status in (200, 201):
                break
        assert states[-1] in (200, 201), states
        assert set(states[:-1]) <= {"unknown"}, states
        assert runs(cluster, key) == 1
        cluster.restart("entry-4")
        assert caller.reserve(3, key).status in (200, 201)
        assert runs(cluster, key) == 1

    def test_a_host_frozen_past_its_dispatch_deadline_sends_nothing(
        self, cluster, caller
    ):
        key = new_key()
        # The claim's write is under way when the host stops.
        set_faults(cluster, "platform", slow_seconds=0.6)
        with ThreadPoolExecutor(1) as pool:
            frozen = pool.submit(caller.reserve, 0, key, None, 2.0)
            time.sleep(0.4)
            cluster.signal("entry-1", signal.SIGSTOP)
            try:
                time.sleep(1.0)
                set_faults(cluster, "platform", slow_seconds=0)
                # Past the call's deadline and the difference of clocks.
                time.sleep(2.2)
                others = [caller.reserve(host, key) for host in (1, 2)]
            finally:
                cluster.signal("entry-1", signal.SIGCONT)
            late = frozen.result()
        assert late.run_state == "not_run", late
        before = runs(cluster, key)
        assert before == sum(a.status == 201 for a in others[:1])

        def reserved():
            return caller.reserve(3, key).status == 201

        wait_for(reserved, 10, "reserving after the freeze")
        assert runs(cluster, key) == 1
