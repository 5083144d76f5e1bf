import pytest

from masticfork.core.backend_servers import Address, BackendServer
from masticfork.core.forwarding import PromptPart
from masticfork.systems.server_choice import (
    LowestExpectedDelay,
    RoundRobin,
    ServerLoad,
    Work,
    expected_first_token_seconds,
    loads_beside_suspects,
    loads_for_suspect,
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


class TestSilentServers:
    """Servers that do not answer a call within its silence limit."""

    @pytest.fixture()
    def silent(self):
        return load(1)

    def test_server_that_stood_still_for_a_second_is_used_again(self, silent):
        """Guards against sound servers that are avoided for long after a pause."""
        silent.record_heard(1.0)
        silent.record_silence(sent_at=1.1, now=1.6)
        assert silent.avoid_until > 1.6
        silent.record_heard(2.2)
        assert silent.avoid_until <= 2.2
        assert silent.failure_share(2.2) == 0.0

    def test_server_that_is_silent_again_and_again_is_avoided_longer(self, silent):
        pauses = []
        for at in (2.0, 6.0, 12.0, 20.0):
            silent.record_silence(sent_at=at - 0.5, now=at)
            pauses.append(silent.avoid_until - at)
        assert pauses == [1.0, 2.0, 4.0, 4.0]
        assert silent.failure_share(20.0) == 0.0

    def test_server_that_answers_other_calls_meanwhile_has_failed(self, silent):
        """Guards against servers that let some of their calls hang."""
        silent.record_heard(1.3)
        silent.record_silence(sent_at=1.1, now=1.6)
        assert silent.failure_share(1.6) > 0.0


class TestSuspectedCalls:
    """Calls that may crash their server."""

    def test_run_on_the_server_with_the_fewest_calls(self):
        """Guards against a deadly request that takes others with it."""
        idle, busy, elsewhere = load(1), load(2), load(3)
        busy.running, elsewhere.running_elsewhere = 1, 1
        assert loads_for_suspect([busy, idle, elsewhere], 1.0) == [idle]

    def test_share_no_server_with_another_one(self):
        with_suspect, busy = load(1), load(2)
        with_suspect.suspects, busy.running = 1, 5
        assert loads_for_suspect([with_suspect, busy], 1.0) == [busy]
        assert loads_for_suspect([with_suspect], 1.0) == [with_suspect]

    def test_plain_calls_are_kept_from_their_server(self):
        with_suspect, other = load(1), load(2)
        with_suspect.suspects = 1
        assert loads_beside_suspects(PLAIN, [with_suspect, other]) == [other]
        assert loads_beside_suspects(PLAIN, [with_suspect]) == [with_suspect]
        both = [with_suspect, other]
        assert loads_beside_suspects(work("a"), both) == both
