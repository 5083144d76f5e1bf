import threading
from concurrent.futures import ThreadPoolExecutor

from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.response_memory import RESPONSE_MEMORY_SHARE, ResponseMemory
from standins.entry_environment import SERVICE, running_entry_host
from standins.scripted_server import response

MEMORY_BYTES = 80_000_000
LIMIT_BYTES = int(MEMORY_BYTES * RESPONSE_MEMORY_SHARE)


class Response:
    def __init__(self, memory):
        self._memory = memory
        self.relieved = False

    def on_too_much_held(self):
        self.relieved = True
        self._memory.update(self, 0)


def responses(*sizes):
    """Return responses that take these sizes, in this order."""
    memory = ResponseMemory(RelayMetrics(), lambda *_, **__: None, MEMORY_BYTES)
    all_of_them = [Response(memory) for _ in sizes]
    for item, size in zip(all_of_them, sizes, strict=True):
        memory.update(item, size)
    return memory, all_of_them


class TestSum:
    def test_largest_are_relieved_first(self):
        """Guards against small responses that pay for endless ones."""
        large, small = LIMIT_BYTES // 2, LIMIT_BYTES // 100
        memory, got = responses(small, large, large, small, small)
        assert sum(response.relieved for response in got[1:3]) == 1
        assert not any(response.relieved for response in (got[0], *got[3:]))
        assert memory.held_bytes <= LIMIT_BYTES

    def test_single_response_is_bounded_by_its_own_limit_only(self):
        _, (only,) = responses(2 * LIMIT_BYTES)
        assert not only.relieved

    def test_ended_responses_no_longer_count(self):
        memory, got = responses(LIMIT_BYTES // 2, LIMIT_BYTES // 2)
        for item in got:
            memory.update(item, 0)
        assert memory.held_bytes == 0


class TestBodies:
    def test_body_of_a_sound_server_is_passed_on_and_not_failed(self):
        """Guards against servers that count as failed for what a host cannot hold."""
        body, released = b"x" * 200_000, threading.Event()

        def script(request):
            whole = response(request, body)
            yield whole[: len(whole) // 2]
            released.wait(10.0)
            yield whole[len(whole) // 2 :]

        with running_entry_host(memory_mb=4) as env, ThreadPoolExecutor(8) as pool:
            server = env.add_server(script, SERVICE, slots=64)
            env.wait_for_servers(1)
            answers = [pool.submit(env.send, "/safe/x") for _ in range(8)]
            env.wait_until(lambda: env.logged("response relieved"))
            released.set()
            assert [answer.result().status for answer in answers] == [200] * 8
            assert all(answer.result().body == body for answer in answers)
            assert not env.logged("call failed")
            assert len(server.requests) == 8
