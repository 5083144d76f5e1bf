import pytest

from masticfork.core.backend_servers import Address, BackendServer
from masticfork.core.forwarding import PromptPart
from masticfork.systems.server_choice import (
    LowestExpectedDelay,
    RoundRobin,
    ServerLoad,
    Work,
    expected_first_token_seconds,
)


def load(number, zone="a", slots=6):
    address = Address("127.0.0.1", 1000 + number)
    return ServerLoad(
        BackendServer(f"i-{number}", "s", address, zone, "v1", slots, False)
    )


def prompt(name, tokens=10_000):
    return (PromptPart(name, tokens), PromptPart(f"own-{name}", 1000))


def work(name, size=0):
    return Work("s", f"m{size}", size, prompt(name), 11_000)


PLAIN = Work("s")


class TestServersWithoutModels:
    def test_calls_spread_evenly_over_equal_servers(self):
        loads = [load(n) for n in range(3)]
        for _ in range(9):
            LowestExpectedDelay().choose(PLAIN, loads, "a", 0.0).running += 1
        assert [row.running for row in loads] == [3, 3, 3]

    def test_a_slow_server_gets_fewer_calls(self):
        loads = [load(n) for n in range(3)]
        for row, seconds in zip(loads, (0.02, 0.02, 0.2), strict=True):
            row.record_time(seconds)
        for _ in range(12):
            LowestExpectedDelay().choose(PLAIN, loads, "a", 0.0).running += 1
        assert loads[2].running == 0

    def test_a_failing_server_is_avoided_and_tried_again_later(self):
        loads = [load(n) for n in range(2)]
        for _ in range(4):
            loads[0].record(True, 0.0)
        assert LowestExpectedDelay().choose(PLAIN, loads, "a", 0.1) is loads[1]
        loads[1].running = 2
        assert LowestExpectedDelay().choose(PLAIN, loads, "a", 20.0) is loads[0]

    def test_unreachable_server_is_used_only_if_it_is_the_only_one(self):
        loads = [load(n) for n in range(2)]
        loads[0].avoid_until = 1.0
        loads[1].running = 50
        assert LowestExpectedDelay().choose(PLAIN, loads, "a", 0.5) is loads[1]
        assert LowestExpectedDelay().choose(PLAIN, loads[:1], "a", 0.5) is loads[0]

    def test_no_servers_give_no_choice(self):
        assert LowestExpectedDelay().choose(PLAIN, [], "a", 0.0) is None
        assert LowestExpectedDelay().choose(work("x"), [], "a", 0.0) is None
        assert RoundRobin().choose(PLAIN, [], "a", 0.0) is None


class TestEngines:
    def test_choice_for_a_prompt_is_independent_of_server_order(self):
        chosen = {
            LowestExpectedDelay()
            .choose(work("x"), [load(n) for n in order], "a", 0.0)
            .server.id
            for order in (range(10), reversed(range(10)))
        }
        assert len(chosen) == 1

    def test_prompts_spread_over_the_servers(self):
        loads = [load(n) for n in range(6)]
        chosen = [
            LowestExpectedDelay().choose(work(f"p{n}"), loads, "a", 0.0).server.id
            for n in range(300)
        ]
        counts = [chosen.count(row.server.id) for row in loads]
        assert min(counts) > 20

    def test_server_with_the_cached_prompt_is_chosen_again(self):
        loads = [load(n) for n in range(6)]
        first = LowestExpectedDelay().choose(work("x"), loads, "a", 0.0)
        first.remember("m0", prompt("x"), 0.0)
        first.running += 2
        first.weighted_running += 0.6
        assert LowestExpectedDelay().choose(work("x"), loads, "a", 1.0) is first

    def test_cached_parts_count_only_for_their_model(self):
        row = load(1)
        row.remember("m0", prompt("x"), 0.0)
        assert expected_first_token_seconds(
            row, work("x", 0), "a", 1.0
        ) < expected_first_token_seconds(row, work("x", 2), "a", 1.0)

    def test_cached_part_counts_only_after_a_cached_prefix(self):
        row = load(1)
        row.remember("m0", prompt("x")[1:], 0.0)
        assert row.cached_prefix_tokens("m0", prompt("x"), 1.0) == 0

    def test_hot_prompt_spreads_to_other_servers(self):
        """Guard against a hot key: all requests share one prompt part."""
        loads = [load(n, slots=64) for n in range(6)]
        for _ in range(60):
            chosen = LowestExpectedDelay().choose(work("hot"), loads, "a", 0.0)
            chosen.remember("m0", prompt("hot"), 0.0)
            chosen.running += 1
            chosen.weighted_running += 0.3
            chosen.pending_work += 1000 * 0.3
        assert sum(row.running > 0 for row in loads) >= 3
        assert max(row.running for row in loads) <= 30

    def test_load_reported_by_other_hosts_counts(self):
        loads = [load(n) for n in range(2)]
        loads[0].weighted_running_elsewhere = 12.0
        loads[1].weighted_running = 0.6
        assert LowestExpectedDelay().choose(work("x"), loads, "a", 0.0) is loads[1]


class TestServerLoad:
    @pytest.mark.parametrize(("age", "lower", "upper"), [(0, 0.2, 0.3), (10, 0, 0.02)])
    def test_failure_share_decays(self, age, lower, upper):
        row = load(1)
        row.record(True, 0.0)
        assert lower <= row.failure_share(age) <= upper
