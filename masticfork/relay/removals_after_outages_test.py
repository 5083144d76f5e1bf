"""Servers that leave soon after a silent outage of the store."""

import threading
import time
from contextlib import contextmanager

import pytest

from standins.entry_environment import SERVICE, running_entry_host
from standins.scripted_server import response

# The store counts as stable that long after its return; then a removal has to take
# effect within the drain time.
CONTACT_SECONDS, DRAIN_SECONDS = 3.0, 2.0
# Time after a change until the next watch of servers has begun.
WATCH_BEGINS_SECONDS = 0.65
# With eight callers, both servers get requests all the time.
REQUEST_INTERVAL_SECONDS, WORK_SECONDS = 0.01, 0.03


class Arrivals:
    """A server's script that notes when requests arrive."""

    def __init__(self):
        self.latest = 0.0

    def __call__(self, request):
        self.latest = time.monotonic()
        time.sleep(WORK_SECONDS)
        yield response(request, b"done")


@contextmanager
def asking(deployment):
    """Send requests until the context exits."""
    stopped = threading.Event()

    def ask():
        while not stopped.wait(REQUEST_INTERVAL_SECONDS):
            deployment.send("/safe/x")

    callers = [threading.Thread(target=ask) for _ in range(8)]
    for caller in callers:
        caller.start()
    try:
        yield
    finally:
        stopped.set()
        for caller in callers:
            caller.join()


def play(deployment, silence, how, leaving):
    """Let a server leave after a silent outage; return when its entry has changed."""
    entry = {**deployment.store.take_copy().objects["servers"]["i-1"].spec}
    deployment.store.put("servers", "i-1", {**entry, "sequence": 2})
    time.sleep(WATCH_BEGINS_SECONDS)
    deployment.store_link.begin_silence()
    time.sleep(silence)
    deployment.store_link.end_silence()
    time.sleep(CONTACT_SECONDS)
    assert time.monotonic() - leaving.latest < 1.0
    if how == "removed":
        deployment.store.remove("servers", "i-1")
    else:
        deployment.store.put("servers", "i-1", {**entry, "state": "draining"})
    return time.monotonic()


class TestRemovals:
    @pytest.mark.parametrize("how", ["removed", "draining"])
    @pytest.mark.parametrize("silence", [0.7, 3.3, 4.5])
    def test_server_that_leaves_gets_no_request_after_the_drain_time(
        self, silence, how
    ):
        """Guards against a grace that counts from calls which end late (review 10)."""
        with running_entry_host(with_store_link=True) as deployment:
            leaving, staying = Arrivals(), Arrivals()
            deployment.add_server(leaving, SERVICE)
            deployment.add_server(staying, SERVICE)
            deployment.wait_for_servers(2)
            with asking(deployment):
                removed_at = play(deployment, silence, how, leaving)
                time.sleep(DRAIN_SECONDS + 1.0)
            assert leaving.latest - removed_at < DRAIN_SECONDS
            assert staying.latest - removed_at > DRAIN_SECONDS
