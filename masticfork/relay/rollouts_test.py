import time
from concurrent.futures import ThreadPoolExecutor

from standins.entry_world import ENGINES, server_entry, world
from standins.scripted_server import answer, events

SECONDS = 6
VERSIONS = ("v1", "v2")


def good(asked):
    yield from events(asked, 2, confidence=90)


def failing(asked):
    yield answer(asked, b"", status="500 Internal Server Error")


def slow(asked):
    time.sleep(1.5)
    yield from events(asked, 2, confidence=90)


def order(it, duration=SECONDS):
    spec = {"service": ENGINES, "target": "v2", "duration_s": duration}
    it.store.put("rollouts", ENGINES, spec)


def state(it):
    status = it.store.status("rollouts", ENGINES)
    return None if status is None else status["state"]


def ask_until(it, condition, seconds):
    """Send requests of new sessions until a condition holds."""
    until = time.monotonic() + seconds
    count = 0
    with ThreadPoolExecutor(16) as pool:
        while not condition() and time.monotonic() < until:
            count += 1
            headers = {"Session": f"session-{count}"}
            pool.submit(it.ask, "/streaming/x", "POST", b"x", headers)
            time.sleep(0.03)
    return condition()


class TestRollouts:
    def test_good_version_is_done_in_time(self):
        with world() as it:
            old, new = (
                it.add_server(good, ENGINES, version=version) for version in VERSIONS
            )
            it.wait_for_servers(2)
            order(it)
            assert ask_until(it, lambda: state(it) == "done", SECONDS)
            before = len(old.asked)
            assert it.ask("/streaming/x").status == 200
            assert len(old.asked) == before
            assert len(new.asked) > 10

    def test_failing_version_is_withdrawn_and_gets_nothing_more(self):
        with world() as it:
            it.add_server(good, ENGINES, version="v1")
            new = it.add_server(failing, ENGINES, version="v2")
            it.wait_for_servers(2)
            order(it, duration=20)
            assert ask_until(it, lambda: state(it) == "rolled_back", 10)
            before = len(new.asked)
            assert before < 10
            for _ in range(10):
                assert it.ask("/streaming/x").status == 200
            assert len(new.asked) == before

    def test_slow_version_is_found_before_its_answers_end(self):
        """Slow answers end late; a version must not look good until they do."""
        with world() as it:
            it.add_server(good, ENGINES, version="v1")
            new = it.add_server(slow, ENGINES, version="v2")
            it.wait_for_servers(2)
            order(it, duration=20)
            assert ask_until(it, lambda: state(it) == "rolled_back", 10)
            assert len(new.asked) < 40

    def test_crash_of_new_servers_says_nothing_of_their_version(self):
        with world() as it:
            it.add_server(good, ENGINES, version="v1")
            it.add_server(good, ENGINES, version="v2").close()
            it.wait_for_servers(2)
            order(it, duration=20)
            assert not ask_until(it, lambda: state(it) == "rolled_back", 3)

    def test_host_that_starts_anew_goes_on_at_the_step_of_the_store(self):
        with world() as it:
            it.add_server(good, ENGINES, version="v1")
            it.wait_for_servers(1)
            order(it, duration=20)
            it.wait_until(lambda: state(it) == "running")
            status = it.store.status("rollouts", ENGINES)
        assert status["target"] == "v2"
        assert abs(status["ordered_at"] - time.time()) < 5

    def test_lost_answers_of_the_store_do_not_stop_a_rollout(self):
        with world() as it:
            it.add_server(good, ENGINES, version="v1")
            it.wait_for_servers(1)
            it.store.faults.set({"lose_answers": 2})
            order(it, duration=20)
            it.wait_until(lambda: state(it) == "running")

    def test_version_without_an_order_is_used_as_any_other(self):
        with world() as it:
            server = it.add_server(good, ENGINES, version="v9")
            it.wait_for_servers(1)
            assert it.ask("/streaming/x").status == 200
            entry = server_entry(server, ENGINES, version="v9", state="unheard of")
            it.store.put("servers", "i-1", entry)
            it.wait_until(lambda: it.logged("entry ignored", code="server.malformed"))
