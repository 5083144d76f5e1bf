"""Whole requests that crash each server that begins to run them."""

import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest

from standins.crashing_pool import CrashingPool
from standins.entry_environment import (
    ENGINES,
    SERVICE,
    configuration,
    route,
    running_entry_host,
)
from standins.object_store import ObjectStore
from standins.scripted_server import events, response

HOSTS = 3
SERVERS = 4
DEADLY = b"deadly"
# Retries of a request that servers may get after it has crashed the third.
ALLOWED_RETRIES = 3
# Time until a request that has crashed three servers must be known to all hosts.
KNOWN_SECONDS = 3.0
SPECS = {
    "safe": configuration(1, route("safe")),
    "unsafe": configuration(1, route("unsafe", max_attempts=1)),
    "streaming": configuration(
        1, route("streaming", sizes=["small"], target_latency_ms=2000)
    ),
}


def answer(request):
    if request.target.startswith("/streaming/"):
        yield from events(request, 2, confidence=90)
    else:
        yield response(request, b"whole")


class TestDeadlyRequest:
    @pytest.mark.parametrize("kind", SPECS)
    def test_crashes_few_servers_and_others_are_served(self, kind):
        """Guards against a request that crashes server after server at all hosts."""
        store = ObjectStore()
        store.put("config", "main", SPECS[kind])
        with ExitStack() as stack:
            hosts = [
                stack.enter_context(running_entry_host(host=f"host-{n}", store=store))
                for n in range(HOSTS)
            ]
            hosts[0].wait_until(
                lambda: all(env.host.live_peer_count == HOSTS - 1 for env in hosts)
            )
            pool = CrashingPool(
                hosts[0],
                ENGINES if kind == "streaming" else SERVICE,
                answer,
                lambda request: request.body == DEADLY,
            )
            stack.callback(setattr, pool, "closed", True)
            pool.start(SERVERS)
            for env in hosts:
                env.wait_until(lambda env=env: env.host.knows_server(f"i-{SERVERS}"))
            served = self.send_both(hosts, kind, pool)
        third = pool.crashes[2] if len(pool.crashes) > 2 else float("inf")
        late = [at for at in pool.crashes if at > third + KNOWN_SECONDS]
        assert len(late) <= ALLOWED_RETRIES
        # One crash tells of the request, the next shows that it is the cause; two
        # hosts may send it at the same time.
        assert len(pool.crashes) <= 4
        assert sum(served) >= 0.9 * len(served)

    def send_both(self, hosts, kind, pool):
        """Send deadly and sound requests for 6 s; return which sound ones succeed."""
        sound = []
        with ThreadPoolExecutor(32) as executor:
            for count in range(60):
                env, other = hosts[count % HOSTS], hosts[(count + 1) % HOSTS]
                if count % 3 == 0:
                    executor.submit(env.send, f"/{kind}/x", body=DEADLY)
                body = b"sound-%d" % count
                sound.append(executor.submit(other.send, f"/{kind}/x", body=body))
                time.sleep(0.1)
        return [future.result().status == 200 for future in sound]
