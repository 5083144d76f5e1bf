import copy
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from proofs.admin_calling import (
    number_in_force,
    numbers_in_force,
    seconds_until_everywhere,
    submit,
)
from proofs.calling import MODEL, Caller, new_key, wait_for
from proofs.counting import generations, set_faults
from tools import launch
from tools.launch_options import Options

OPTIONS = Options(
    hosts=4,
    engines_per_pool=1,
    service_servers=1,
    tokens=8,
    token_seconds=0.005,
    first_token_seconds=0,
)
LIMIT_SECONDS = 4.0
OLD, NEW = "linen-small@1", "linen-small@2"


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


@pytest.fixture
def platform(cluster):
    def fault(**faults):
        set_faults(cluster, "platform", **faults)

    yield fault
    fault(down=False, slow_seconds=0, lose_answers=0)


def changed(cluster, **model):
    """Return the manifest with another number in one team, so that it differs."""
    manifest = copy.deepcopy(cluster.manifest)
    manifest["teams"][0]["quality_target"] = round(0.5 + time.time() % 0.2, 6)
    manifest["models"][0] |= model
    return manifest


def accepted(answer):
    status, body = answer
    assert status == 200, body
    return body["number"]


def restart_all(cluster):
    for host in cluster.hosts:
        cluster.signal(host, signal.SIGTERM)
    for host in cluster.hosts:
        cluster.restart(host, wait=False)
    for host in cluster.hosts:
        cluster.wait_ready(host)


class TestInForceEverywhere:
    def test_healthy_platform(self, cluster, platform):
        for host in range(4):
            number = accepted(submit(cluster, changed(cluster), host))
            seconds_until_everywhere(cluster, number, LIMIT_SECONDS)

    def test_slow_platform(self, cluster, platform):
        platform(slow_seconds=0.5)
        number = accepted(submit(cluster, changed(cluster), 3))
        seconds_until_everywhere(cluster, number, LIMIT_SECONDS)

    def test_none_reverts_while_many_are_submitted(self, cluster, platform):
        seen = [numbers_in_force(cluster)]
        number = 0
        for turn in range(6):
            number = accepted(submit(cluster, changed(cluster), turn % 4))
            seen.append(numbers_in_force(cluster))
        seconds_until_everywhere(cluster, number, LIMIT_SECONDS)
        seen.append(numbers_in_force(cluster))
        for host in zip(*seen, strict=True):
            assert list(host) == sorted(host)


class TestSubmission:
    def test_a_lost_answer_is_settled_by_reading_back(self, cluster, platform):
        # Other writes of the hosts lose their answers too.
        platform(lose_answers=20)
        identity, manifest = new_key(), changed(cluster)
        status, body = submit(cluster, manifest, 0, identity)
        platform(lose_answers=0)
        assert status == 200, body
        again, repeated = submit(cluster, manifest, 1, identity)
        assert (again, repeated["number"]) == (200, body["number"])
        assert repeated["repeated"]
        seconds_until_everywhere(cluster, body["number"], LIMIT_SECONDS)

    def test_an_outage_refuses_and_nothing_changes(self, cluster, platform):
        before = numbers_in_force(cluster)
        platform(down=True)
        status, body = submit(cluster, changed(cluster))
        platform(down=False)
        assert (status, body["run_state"]) == (503, "not_run")
        time.sleep(1)
        assert numbers_in_force(cluster) == before

    def test_of_two_racing_operators_one_loses_and_learns_to_whom(
        self, cluster, platform
    ):
        expected = number_in_force(cluster, 0)
        platform(slow_seconds=0.1)
        manifests = [changed(cluster), changed(cluster)]
        manifests[1]["teams"][0]["quality_target"] = 0.31
        with ThreadPoolExecutor(2) as pool:
            answers = list(
                pool.map(
                    lambda n: submit(cluster, manifests[n], n, None, expected), (0, 1)
                )
            )
        assert sorted(status for status, _ in answers) == [200, 409]
        winner = next(body for status, body in answers if status == 200)
        loser = next(body for status, body in answers if status == 409)
        assert loser["current"]["submission_id"] == winner["submission_id"]
        assert loser["current"]["submitted_by"] == "operations"
        assert loser["run_state"] == "not_run"
        assert any("quality_target" in change["path"] for change in loser["changes"])
        number = winner["number"]
        seconds_until_everywhere(cluster, number, LIMIT_SECONDS)


class TestOutage:
    def test_a_host_started_in_an_outage_takes_it_from_peers(self, cluster, platform):
        number = accepted(submit(cluster, changed(cluster)))
        seconds_until_everywhere(cluster, number, LIMIT_SECONDS)
        platform(down=True)
        cluster.restart("entry-3")
        assert number_in_force(cluster, 2) == number
        assert Caller(cluster).look_up(2).status == 200


class TestVersions:
    def test_a_withdrawn_version_gets_no_new_work(self, cluster, platform):
        caller = Caller(cluster, "catalogue")
        opened = [caller.chat(host, f"before {host}") for host in range(4)]
        assert {a.body["model"] for a in opened} == {NEW}
        tokens = [a.headers["masticfork-session"] for a in opened]
        withdrawn = changed(cluster, current=OLD)
        withdrawn["withdrawn"] = [NEW]
        number = accepted(submit(cluster, withdrawn))
        seconds_until_everywhere(cluster, number, LIMIT_SECONDS)
        before = {g["id"] for g in generations(cluster)}
        # Sessions that kept the version are moved, and told so, on any host.
        for host, token in enumerate(tokens):
            answer = caller.chat((host + 1) % 4, "after", Masticfork_Session=token)
            assert answer.body["model"] == OLD
            assert answer.headers["masticfork-moved-from"] == NEW
        answers = [caller.chat(turn % 4, f"after {turn}") for turn in range(8)]
        assert {a.status for a in answers} == {200}
        made = [g for g in generations(cluster) if g["id"] not in before]
        assert {g["version"] for g in made} == {OLD}
        accepted(submit(cluster, changed(cluster)))

    def test_a_session_keeps_its_version_over_hosts_and_restarts(
        self, cluster, platform
    ):
        caller = Caller(cluster, "catalogue")
        old = accepted(submit(cluster, changed(cluster, current=OLD)))
        seconds_until_everywhere(cluster, old, LIMIT_SECONDS)
        first = caller.chat(0, "first", model=MODEL)
        assert first.body["model"] == OLD
        token = first.headers["masticfork-session"]
        new = accepted(submit(cluster, changed(cluster, current=NEW)))
        seconds_until_everywhere(cluster, new, LIMIT_SECONDS)

        def versions():
            nonlocal token
            seen = []
            for host in range(4):
                answer = caller.chat(host, "next", Masticfork_Session=token)
                token = answer.headers["masticfork-session"]
                seen.append(answer.body["model"])
            return seen

        assert versions() == [OLD] * 4
        assert caller.chat(1, "a new session").body["model"] == NEW
        restart_all(cluster)
        assert versions() == [OLD] * 4
        wait_for(lambda: min(numbers_in_force(cluster)) >= new, 5, "no older one")
