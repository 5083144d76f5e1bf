"""Sessions whose answers last longer than a pause, while a rollout begins."""

import time
from concurrent.futures import ThreadPoolExecutor

from masticfork.platform.settings_file import Bounds
from masticfork.relay.session_versions import EXPIRY_MARGIN_SECONDS
from standins.entry_environment import (
    ENGINES,
    configuration,
    route,
    running_entry_host,
    server_entry,
)
from standins.object_store import ObjectStore
from standins.scripted_server import ScriptedServer, events

SESSIONS = 40
IDLE_TIMEOUT_SECONDS, PAUSE_SECONDS = 1.0, 0.3
EVENTS = 20
# An answer lasts longer than a session that is idle is remembered.
ANSWER_SECONDS = IDLE_TIMEOUT_SECONDS + EXPIRY_MARGIN_SECONDS + 1.0
DURATION_SECONDS = 24


class TestLongAnswers:
    def test_sessions_keep_their_version_in_the_first_half(self):
        """Guards against a pause that is counted from the begin of an answer."""
        versions = {}

        def server(version):
            def answer(request):
                versions[request.attempt_id] = version
                pause = ANSWER_SECONDS / EVENTS if version == "v1" else 0.0
                yield from events(request, EVENTS, pause, confidence=90)

            return ScriptedServer(answer)

        store, bounds = ObjectStore(), Bounds(session=IDLE_TIMEOUT_SECONDS)
        streaming = route("streaming", timeout_ms=20_000, gap_aim_ms=1000)
        store.put("config", "main", configuration(1, streaming))
        servers = {version: server(version) for version in ("v1", "v2")}

        def register(version):
            entry = server_entry(
                servers[version], ENGINES, version=version, slots=2 * SESSIONS
            )
            store.put("servers", f"i-{version}", entry)

        with (
            running_entry_host(bounds=bounds, store=store, host="host-1") as first,
            running_entry_host(bounds=bounds, store=store, host="host-2") as second,
        ):
            hosts = (first, second)
            register("v1")
            for host in hosts:
                host.wait_until(lambda host=host: host.host.knows_server("i-v1"))
                host.wait_until(lambda host=host: host.host.live_peer_count == 1, 12.0)

            def play(number):
                """Send two requests of a session, to different hosts."""
                asked = []
                for turn in range(2):
                    headers = {
                        "Session": f"s-{number}",
                        "X-Masticfork-Deadline-Ms": "20000",
                        "X-Masticfork-Attempt-Id": f"{number}-{turn}",
                    }
                    host = hosts[(number + turn) % 2]
                    asked.append(host.send("/streaming/x", headers=headers).complete)
                    time.sleep(PAUSE_SECONDS)
                return all(asked)

            with ThreadPoolExecutor(SESSIONS) as pool:
                played = [pool.submit(play, number) for number in range(SESSIONS)]
                time.sleep(ANSWER_SECONDS - 0.7)
                register("v2")
                spec = {"service": ENGINES, "target": "v2"}
                spec["duration_s"] = DURATION_SECONDS
                store.put("rollouts", ENGINES, spec)
                assert all(result.result() for result in played)
        for item in servers.values():
            item.close()
        pairs = [(versions[f"{n}-0"], versions[f"{n}-1"]) for n in range(SESSIONS)]
        assert pairs == [("v1", "v1")] * SESSIONS
