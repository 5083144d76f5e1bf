import random
from collections import Counter

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, ServerName, VersionId, ZoneName
from masticfork.core.manifest import BackendServer
from masticfork.core.tables import SelfRow, ServerRow, Tables
from masticfork.systems.health import HealthSettings
from masticfork.systems.placement import (
    ChoiceInputs,
    InFlight,
    LoadEstimator,
    PrefixLocality,
    TwoChoices,
    available,
)
from masticfork.systems.prefixes import NO_PROMPT, PrefixTable, prompt_of

ZONE = ZoneName("zilina")
SERVERS = tuple(
    BackendServer(ServerName(f"drafting-{n}"), "127.0.0.1", 9000 + n, ZONE)
    for n in range(3)
)


def tables(**rows: ServerRow) -> Tables:
    built = Tables(SelfRow(HostName("entry-1"), ZONE))
    for server in SERVERS:
        built.servers[server.name] = ServerRow(server)
    built.servers.update({ServerName(name): row for name, row in rows.items()})
    return built


class TestTwoChoices:
    def test_prefers_the_server_with_fewer_requests(self):
        in_flight = InFlight()
        for _ in range(5):
            in_flight.enter(SERVERS[0].name)
        chooser, rng = (
            TwoChoices(LoadEstimator(in_flight, lambda: 0.0)),
            random.Random(1),
        )
        chosen = [
            chooser.choose(ChoiceInputs(tables(), SERVERS[:2], NO_PROMPT, rng))
            for _ in range(20)
        ]
        assert set(chosen) == {SERVERS[1]}

    def test_recovering_server_gets_few_requests_at_first(self):
        ramp = HealthSettings().ramp_seconds
        row = ServerRow(SERVERS[0], ramp_until=Deadline(ramp))
        recovering_tables, rng, counts = (
            tables(**{"drafting-0": row}),
            random.Random(1),
            Counter(),
        )
        in_flight = InFlight()
        chooser = TwoChoices(LoadEstimator(in_flight, lambda: 0.0))
        for _ in range(12):
            chosen = chooser.choose(
                ChoiceInputs(recovering_tables, SERVERS, NO_PROMPT, rng)
            )
            in_flight.enter(chosen.name)
            counts[chosen.name] += 1
        assert counts[SERVERS[0].name] <= 1


class TestPrefixLocality:
    def test_prefers_the_server_with_the_prefix_until_it_is_overloaded(self):
        in_flight, table = InFlight(), PrefixTable()
        chooser = PrefixLocality(LoadEstimator(in_flight, lambda: 0.0), table)
        prompt, rng = prompt_of(VersionId("linen@1"), "x" * 4096), random.Random(1)
        first = chooser.choose(ChoiceInputs(tables(), SERVERS, prompt, rng))
        again = [
            chooser.choose(ChoiceInputs(tables(), SERVERS, prompt, rng))
            for _ in range(10)
        ]
        assert set(again) == {first}
        for _ in range(2 * first.slots):
            in_flight.enter(first.name)
        assert chooser.choose(ChoiceInputs(tables(), SERVERS, prompt, rng)) != first


class TestPrefixTable:
    def test_returns_the_longest_cached_prefix(self):
        table, name = PrefixTable(), SERVERS[0].name
        prompt = prompt_of(VersionId("linen@1"), "x" * 1500)
        assert [p.characters for p in prompt.prefixes] == [256, 512, 1024]
        table.stored(name, [prefix.hash for prefix in prompt.prefixes])
        assert table.held(name, prompt) == 1024
        table.removed(name, [prompt.prefixes[-1].hash])
        assert table.held(name, prompt) == 512
        other = prompt_of(VersionId("linen@2"), "x" * 1500)
        assert table.held(name, other) == 0


class TestAvailable:
    def test_excludes_tried_leaving_and_ejected_servers(self):
        leaving = ServerRow(SERVERS[0], leaving=True)
        ejected = ServerRow(SERVERS[1], ejected_until=Deadline(10.0))
        built = tables(**{"drafting-0": leaving, "drafting-1": ejected})
        assert available(built, SERVERS, frozenset(), 5.0) == [SERVERS[2]]
        tried = frozenset({SERVERS[2].name})
        assert available(built, SERVERS, tried, 10.0) == [SERVERS[1]]
