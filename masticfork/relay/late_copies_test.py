"""Hosts that must copy a configuration, while those that told it stand still."""

import threading
import time
from contextlib import ExitStack, contextmanager

import pytest

from masticfork.platform.settings_file import Bounds
from masticfork.relay.followers import WATCH_WAIT_SECONDS
from standins.entry_environment import (
    configuration,
    large_configuration,
    running_entry_host,
)
from standins.object_store import ObjectStore

# Time within which a configuration has to be in force on all hosts.
BOUND_SECONDS = Bounds().config_apply
ZONES = ("zone-a",) * 7 + ("zone-b",) * 2
POLL_SECONDS = 0.005


def version(env):
    table = env.host._tables.routes
    return 0 if table is None else table.version


def wait_until(condition, seconds):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= deadline:
            return False
        time.sleep(POLL_SECONDS)
    return True


@contextmanager
def running_hosts():
    """Run hosts of two availability zones, of which four read the store."""
    store = ObjectStore()
    store.put("config", "main", configuration(1))
    with ExitStack() as stack:
        hosts = [
            stack.enter_context(
                running_entry_host(host=f"host-{n}", zone=zone, store=store)
            )
            for n, zone in enumerate(ZONES)
        ]
        assert wait_until(
            lambda: (
                all(env.host.live_peer_count == len(ZONES) - 1 for env in hosts)
                and sum(env.host.reads_the_store for env in hosts) == 4
            ),
            15.0,
        )
        # The latest watches of the hosts that no longer read must have ended.
        time.sleep(WATCH_WAIT_SECONDS + 0.5)
        yield store, hosts


@contextmanager
def standing_still(hosts):
    """Stop the loops of hosts until the context exits."""
    released = threading.Event()
    for env in hosts:
        env.host.loop.post(released.wait)
    try:
        yield
    finally:
        released.set()


class TestHostsThatStandStill:
    @pytest.mark.parametrize("attempt", range(3))
    def test_configuration_is_copied_in_time_while_those_that_told_it_stand_still(
        self, attempt
    ):
        """Guards against routes that hosts don't know long after their confirmation."""
        with running_hosts() as (store, hosts):
            told = [
                env
                for env, zone in zip(hosts, ZONES, strict=True)
                if zone == "zone-a" and env.host.reads_the_store
            ]
            others = [env for env in hosts if env not in told]
            begun = time.monotonic()
            store.put("config", "main", large_configuration(3))
            assert wait_until(lambda: all(version(env) == 3 for env in told), 1.0)
            with standing_still(told):
                in_time = wait_until(
                    lambda: all(version(env) == 3 for env in others), 8.0
                )
                seconds = time.monotonic() - begun
            assert in_time
            assert seconds < BOUND_SECONDS
