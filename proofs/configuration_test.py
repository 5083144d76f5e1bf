import copy
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from proofs.admin_calling import (
    active_configuration_number,
    active_configuration_numbers,
    submit,
    wait_until_propagated,
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
PROPAGATION_LIMIT_SECONDS = 4.0
OLD, NEW = "linen-small@1", "linen-small@2"


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


@pytest.fixture
def set_platform_faults(cluster):
    def set_platform(**faults):
        set_faults(cluster, "platform", **faults)

    yield set_platform
    set_platform(down=False, slow_seconds=0, lose_answers=0)


def changed_manifest(cluster, **model):
    """Return the manifest with a new quality target and changed fields of a model.

    The quality target of the first team makes each manifest differ from the last.
    """
    manifest = copy.deepcopy(cluster.manifest)
    manifest["teams"][0]["quality_target"] = round(0.5 + time.time() % 0.2, 6)
    manifest["models"][0] |= model
    return manifest


def accepted_number(response):
    status, body = response
    assert status == 200, body
    return body["number"]


def restart_all(cluster):
    for host in cluster.hosts:
        cluster.signal(host, signal.SIGTERM)
    for host in cluster.hosts:
        cluster.restart(host, wait=False)
    for host in cluster.hosts:
        cluster.wait_ready(host)


class TestPropagation:
    def test_healthy_platform(self, cluster, set_platform_faults):
        for host in range(4):
            number = accepted_number(submit(cluster, changed_manifest(cluster), host))
            wait_until_propagated(cluster, number, PROPAGATION_LIMIT_SECONDS)

    def test_slow_platform(self, cluster, set_platform_faults):
        set_platform_faults(slow_seconds=0.5)
        number = accepted_number(submit(cluster, changed_manifest(cluster), 3))
        wait_until_propagated(cluster, number, PROPAGATION_LIMIT_SECONDS)

    def test_no_host_reverts_during_many_submissions(
        self, cluster, set_platform_faults
    ):
        observed = [active_configuration_numbers(cluster)]
        number = 0
        for index in range(6):
            number = accepted_number(
                submit(cluster, changed_manifest(cluster), index % 4)
            )
            observed.append(active_configuration_numbers(cluster))
        wait_until_propagated(cluster, number, PROPAGATION_LIMIT_SECONDS)
        observed.append(active_configuration_numbers(cluster))
        for host in zip(*observed, strict=True):
            assert list(host) == sorted(host)


class TestSubmission:
    def test_lost_response_is_resolved_by_reading_back(
        self, cluster, set_platform_faults
    ):
        # More than one, because other writes of the hosts lose their responses too.
        set_platform_faults(lose_answers=20)
        submission_id, manifest = new_key(), changed_manifest(cluster)
        status, body = submit(cluster, manifest, 0, submission_id)
        set_platform_faults(lose_answers=0)
        assert status == 200, body
        retried_status, retried_body = submit(cluster, manifest, 1, submission_id)
        assert (retried_status, retried_body["number"]) == (200, body["number"])
        assert retried_body["repeated"]
        wait_until_propagated(cluster, body["number"], PROPAGATION_LIMIT_SECONDS)

    def test_outage_rejects_the_submission_and_changes_nothing(
        self, cluster, set_platform_faults
    ):
        earlier = active_configuration_numbers(cluster)
        set_platform_faults(down=True)
        status, body = submit(cluster, changed_manifest(cluster))
        set_platform_faults(down=False)
        assert (status, body["run_state"]) == (503, "not_run")
        time.sleep(1)
        assert active_configuration_numbers(cluster) == earlier

    def test_rejected_concurrent_submission_names_the_accepted_one(
        self, cluster, set_platform_faults
    ):
        expected_number = active_configuration_number(cluster, 0)
        set_platform_faults(slow_seconds=0.1)
        manifests = [changed_manifest(cluster), changed_manifest(cluster)]
        manifests[1]["teams"][0]["quality_target"] = 0.31
        with ThreadPoolExecutor(2) as pool:
            responses = list(
                pool.map(
                    lambda n: submit(cluster, manifests[n], n, None, expected_number),
                    (0, 1),
                )
            )
        assert sorted(status for status, _ in responses) == [200, 409]
        accepted = next(body for status, body in responses if status == 200)
        rejected = next(body for status, body in responses if status == 409)
        assert rejected["current"]["submission_id"] == accepted["submission_id"]
        assert rejected["current"]["submitted_by"] == "operations"
        assert rejected["run_state"] == "not_run"
        assert any("quality_target" in change["path"] for change in rejected["changes"])
        number = accepted["number"]
        wait_until_propagated(cluster, number, PROPAGATION_LIMIT_SECONDS)


class TestOutage:
    def test_host_started_in_an_outage_gets_the_configuration_from_peers(
        self, cluster, set_platform_faults
    ):
        number = accepted_number(submit(cluster, changed_manifest(cluster)))
        wait_until_propagated(cluster, number, PROPAGATION_LIMIT_SECONDS)
        set_platform_faults(down=True)
        cluster.restart("entry-3")
        assert active_configuration_number(cluster, 2) == number
        assert Caller(cluster).look_up(2).status == 200


class TestVersions:
    def test_withdrawn_version_gets_no_new_requests(self, cluster, set_platform_faults):
        caller = Caller(cluster, "catalogue")
        first_responses = [caller.chat(host, f"before {host}") for host in range(4)]
        assert {r.body["model"] for r in first_responses} == {NEW}
        tokens = [r.headers["masticfork-session"] for r in first_responses]
        withdrawn = changed_manifest(cluster, current=OLD)
        withdrawn["withdrawn"] = [NEW]
        number = accepted_number(submit(cluster, withdrawn))
        wait_until_propagated(cluster, number, PROPAGATION_LIMIT_SECONDS)
        earlier = {g["id"] for g in generations(cluster)}
        # Any host moves sessions of that version, and says so in a response header.
        for host, token in enumerate(tokens):
            response = caller.chat((host + 1) % 4, "after", Masticfork_Session=token)
            assert response.body["model"] == OLD
            assert response.headers["masticfork-moved-from"] == NEW
        responses = [caller.chat(index % 4, f"after {index}") for index in range(8)]
        assert {r.status for r in responses} == {200}
        new_generations = [g for g in generations(cluster) if g["id"] not in earlier]
        assert {g["version"] for g in new_generations} == {OLD}
        accepted_number(submit(cluster, changed_manifest(cluster)))

    def test_session_keeps_its_version_across_hosts_and_restarts(
        self, cluster, set_platform_faults
    ):
        caller = Caller(cluster, "catalogue")
        old_number = accepted_number(
            submit(cluster, changed_manifest(cluster, current=OLD))
        )
        wait_until_propagated(cluster, old_number, PROPAGATION_LIMIT_SECONDS)
        first = caller.chat(0, "first", model=MODEL)
        assert first.body["model"] == OLD
        token = first.headers["masticfork-session"]
        new_number = accepted_number(
            submit(cluster, changed_manifest(cluster, current=NEW))
        )
        wait_until_propagated(cluster, new_number, PROPAGATION_LIMIT_SECONDS)

        def session_versions():
            nonlocal token
            observed = []
            for host in range(4):
                response = caller.chat(host, "next", Masticfork_Session=token)
                token = response.headers["masticfork-session"]
                observed.append(response.body["model"])
            return observed

        assert session_versions() == [OLD] * 4
        assert caller.chat(1, "a new session").body["model"] == NEW
        restart_all(cluster)
        assert session_versions() == [OLD] * 4
        wait_for(
            lambda: min(active_configuration_numbers(cluster)) >= new_number,
            5,
            "the configuration after the restart",
        )
