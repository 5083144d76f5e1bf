import time
from concurrent.futures import ThreadPoolExecutor

from standins.entry_environment import ENGINES, running_entry_host, server_entry
from standins.scripted_server import events, response

DURATION_SECONDS = 15
VERSIONS = ("v1", "v2")


def good(request):
    yield from events(request, 2, confidence=90)


def failing(request):
    yield response(request, b"", status="500 Internal Server Error")


def slow(request):
    time.sleep(1.5)
    yield from events(request, 2, confidence=90)


def order(deployment, duration=DURATION_SECONDS):
    spec = {"service": ENGINES, "target": "v2", "duration_s": duration}
    deployment.store.put("rollouts", ENGINES, spec)


def state(deployment):
    status = deployment.store.status("rollouts", ENGINES)
    return None if status is None else status["state"]


def ask_until(deployment, condition, seconds):
    """Send requests of new sessions until a condition holds."""
    until = time.monotonic() + seconds
    count = 0
    with ThreadPoolExecutor(16) as pool:
        while not condition() and time.monotonic() < until:
            count += 1
            headers = {"Session": f"session-{count}"}
            pool.submit(deployment.send, "/streaming/x", "POST", b"x", headers)
            time.sleep(0.03)
    return condition()


class TestRollouts:
    def test_rollout_of_a_good_version_finishes_in_time(self):
        with running_entry_host() as deployment:
            old, new = (
                deployment.add_server(good, ENGINES, version=version)
                for version in VERSIONS
            )
            deployment.wait_for_servers(2)
            order(deployment)
            assert ask_until(
                deployment, lambda: state(deployment) == "done", DURATION_SECONDS
            )
            before = len(old.requests)
            assert deployment.send("/streaming/x").status == 200
            assert len(old.requests) == before
            assert len(new.requests) > 10

    def test_failing_version_is_rolled_back_and_gets_no_more_requests(self):
        with running_entry_host() as deployment:
            deployment.add_server(good, ENGINES, version="v1")
            new = deployment.add_server(failing, ENGINES, version="v2")
            deployment.wait_for_servers(2)
            order(deployment, duration=20)
            assert ask_until(deployment, lambda: state(deployment) == "rolled_back", 10)
            before = len(new.requests)
            assert before < 10
            for _ in range(10):
                assert deployment.send("/streaming/x").status == 200
            assert len(new.requests) == before

    def test_slow_version_is_rolled_back_before_its_answers_end(self):
        """A slow version must not look good until its first answers end."""
        with running_entry_host() as deployment:
            deployment.add_server(good, ENGINES, version="v1")
            new = deployment.add_server(slow, ENGINES, version="v2")
            deployment.wait_for_servers(2)
            order(deployment, duration=20)
            assert ask_until(deployment, lambda: state(deployment) == "rolled_back", 10)
            assert len(new.requests) < 40

    def test_unreachable_new_server_does_not_roll_back_its_version(self):
        with running_entry_host() as deployment:
            deployment.add_server(good, ENGINES, version="v1")
            deployment.add_server(good, ENGINES, version="v2").close()
            deployment.wait_for_servers(2)
            order(deployment, duration=20)
            assert not ask_until(
                deployment, lambda: state(deployment) == "rolled_back", 3
            )

    def test_stored_progress_holds_target_and_time_of_order(self):
        with running_entry_host() as deployment:
            deployment.add_server(good, ENGINES, version="v1")
            deployment.wait_for_servers(1)
            order(deployment, duration=20)
            deployment.wait_until(lambda: state(deployment) == "running")
            status = deployment.store.status("rollouts", ENGINES)
        assert status["target"] == "v2"
        assert abs(status["ordered_at"] - time.time()) < 5

    def test_lost_store_answers_do_not_stop_a_rollout(self):
        with running_entry_host() as deployment:
            deployment.add_server(good, ENGINES, version="v1")
            deployment.wait_for_servers(1)
            deployment.store.faults.set({"lose_answers": 2})
            order(deployment, duration=20)
            deployment.wait_until(lambda: state(deployment) == "running")

    def test_version_without_a_rollout_is_used_and_malformed_entry_is_ignored(self):
        with running_entry_host() as deployment:
            server = deployment.add_server(good, ENGINES, version="v9")
            deployment.wait_for_servers(1)
            assert deployment.send("/streaming/x").status == 200
            entry = server_entry(server, ENGINES, version="v9", state="unheard of")
            deployment.store.put("servers", "i-1", entry)
            deployment.wait_until(
                lambda: deployment.logged("entry ignored", code="server.malformed")
            )
