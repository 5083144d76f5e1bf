"""Tests of the relay of configurations, without sockets or clocks."""

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from masticfork.core.configuration import Configuration
from masticfork.core.findings import Finding, Place
from masticfork.core.manifest import Manifest
from masticfork.core.tables import SelfRow, Tables
from masticfork.peers.configuration_relay import ConfigurationRelay
from masticfork.peers.manifest_copy import (
    MAX_TEXT_BYTES,
    pack_manifest,
    unpack_manifest,
)
from masticfork.peers.messages import ConfigurationCopy, ConfigurationNumber
from masticfork.systems.confirmation import Standing, standing

CONFIRM_SECONDS = 80.0
MANIFEST = Manifest((), (), ())


def check(number, submission_id, text):
    if text == "bad":
        return Err((Finding("bad", Place("manifest"), "bad"),))
    return Ok(Configuration(number, submission_id, MANIFEST))


@attrs.define
class Box:
    """A courier that keeps what it is given."""

    announced: int = 0
    questions: list = attrs.field(factory=list)

    def announce(self):
        self.announced += 1

    def ask(self, question):
        self.questions.append(question)


@pytest.fixture
def host():
    tables, box = Tables(SelfRow("a", "z1")), Box()
    return tables, box, ConfigurationRelay(tables, check, box, CONFIRM_SECONDS)


def copy(number, text="good"):
    return ConfigurationCopy(number, f"s{number}", pack_manifest(text))


class TestApplying:
    def test_news_is_applied_and_announced_once(self, host):
        tables, box, relay = host
        codes = [f.code for f in relay.offer(3, "s3", "good")]
        assert relay.offer(3, "s3", "good") == relay.offer(2, "s2", "good") == ()
        assert (codes, box.announced) == (["configuration_applied"], 1)
        assert tables.configuration.number == relay.number == 3

    def test_what_fails_the_check_is_refused_whole(self, host):
        tables, box, relay = host
        relay.offer(3, "s3", "good")
        codes = [f.code for f in relay.offer(4, "s4", "bad")]
        assert codes == ["bad", "configuration_refused"]
        assert (tables.configuration.number, box.announced) == (3, 1)
        relay.heard("b", 4, 0.0)
        assert box.questions[-1].request.newer_than == 3
        relay.replied(box.questions[-1], ConfigurationNumber(4), 0.0)
        relay.heard("b", 4, 1.0)
        assert len(box.questions) == 1


class TestAsking:
    def test_host_that_is_behind_asks_one_neighbour_at_a_time(self, host):
        _, box, relay = host
        relay.heard("b", 5, 0.0)
        relay.heard("c", 5, 0.1)
        assert [q.host for q in box.questions] == ["b"]
        relay.replied(box.questions[0], copy(5), 0.2)
        assert relay.number == 5

    def test_next_neighbour_is_asked_when_the_first_is_silent(self, host):
        tables, box, relay = host
        relay.heard("b", 5, 0.0)
        relay.heard("c", 5, 0.1)
        relay.run(tables, 2.0)
        relay.run(tables, 4.0)
        relay.forget("b")
        relay.run(tables, 4.0)
        assert [q.host for q in box.questions] == ["b", "c", "b", "c"]

    def test_answer_is_the_newer_configuration_or_the_number(self, host):
        _, box, relay = host
        relay.offer(5, "s5", "good")
        relay.heard("b", 6, 0.0)
        request = box.questions[0].request
        assert relay.answer(attrs.evolve(request, newer_than=4)) == copy(5)
        assert relay.answer(request) == ConfigurationNumber(5)


class TestCutOff:
    def test_lonely_host_stops_rollouts_first_and_all_new_work_later(self, host):
        tables, _, relay = host
        assert standing(tables, 0.0) is Standing.STALE
        relay.offer(5, "s5", "good")
        relay.confirmed(5, 0.0)
        times = (0.0, 19.9, 20.0, 79.9, 80.0)
        assert [standing(tables, now) for now in times] == [
            Standing.CONFIRMED,
            Standing.CONFIRMED,
            Standing.ESTABLISHED_ONLY,
            Standing.ESTABLISHED_ONLY,
            Standing.STALE,
        ]

    def test_peer_with_the_same_number_confirms_it(self, host):
        tables, box, relay = host
        relay.offer(5, "s5", "good")
        for now in range(0, 200, 5):
            relay.heard("b", 5, now)
            if box.questions:
                relay.replied(box.questions.pop(), ConfigurationNumber(5), now)
            assert standing(tables, now) is Standing.CONFIRMED

    def test_answer_counts_from_when_it_was_asked_for(self, host):
        tables, box, relay = host
        relay.offer(5, "s5", "good")
        relay.heard("b", 5, 0.0)
        relay.replied(box.questions[0], ConfigurationNumber(5), 100.0)
        assert standing(tables, 100.0) is Standing.STALE

    def test_older_number_confirms_nothing(self, host):
        tables, _, relay = host
        relay.offer(5, "s5", "good")
        relay.confirmed(4, 0.0)
        assert standing(tables, 0.0) is Standing.STALE

    def test_refused_newer_number_keeps_established_versions_going(self, host):
        tables, _, relay = host
        relay.offer(5, "s5", "good")
        relay.offer(6, "s6", "bad")
        relay.confirmed(6, 0.0)
        assert standing(tables, 0.0) is Standing.ESTABLISHED_ONLY


class TestManifestCopy:
    PLACE = Place("configuration")

    def test_text_survives(self):
        assert unpack_manifest(pack_manifest("{}"), self.PLACE) == Ok("{}")

    @pytest.mark.parametrize(
        "packed",
        [
            b"",
            b"junk",
            pack_manifest("{}")[:-2],
            pack_manifest("a" * MAX_TEXT_BYTES * 3),
        ],
    )
    def test_broken_or_long_copy_is_a_finding(self, packed):
        findings = unpack_manifest(packed, self.PLACE).unwrap_err()
        assert [f.code for f in findings] == ["manifest_copy"]


class Network:
    """Hosts in a ring with chords; messages wait until they are delivered."""

    def __init__(self, rng, count):
        self.rng, self.now, self.bag = rng, 0.0, []
        self.names = [f"h{n}" for n in range(count)]
        self.relays = {}
        self.tables = {name: Tables(SelfRow(name, "z1")) for name in self.names}
        for name, tables in self.tables.items():
            courier = Courier(self, name)
            self.relays[name] = ConfigurationRelay(
                tables, check, courier, CONFIRM_SECONDS
            )

    def neighbours(self, name):
        place, count = self.names.index(name), len(self.names)
        return {self.names[(place + step) % count] for step in (-2, -1, 1, 2)} - {name}

    def post(self, act):
        self.bag.append(act)

    def heartbeat(self, name):
        number = self.relays[name].number
        for other in self.neighbours(name):
            self.post(lambda o=other: self.relays[o].heard(name, number, self.now))

    def deliver(self, loss, repeat):
        act = self.bag.pop(self.rng.randrange(len(self.bag)))
        if self.rng.random() >= loss:
            act()
        if self.rng.random() < repeat:
            self.bag.append(act)


@attrs.define
class Courier:
    network: Network
    name: str

    def announce(self):
        self.network.heartbeat(self.name)

    def ask(self, question):
        net = self.network

        def arrive():
            reply = net.relays[question.host].answer(question.request)
            net.post(
                lambda: net.relays[self.name].replied(question, reply, net.now),
            )

        net.post(arrive)


submissions = st.lists(
    st.tuples(st.integers(1, 9), st.integers(0, 7)), min_size=1, max_size=12
)


class TestAnyOrder:
    @settings(deadline=None, max_examples=60)
    @given(
        submissions,
        st.sets(st.integers(1, 9), max_size=3),
        st.integers(0, 2**32),
        st.floats(0.0, 0.7),
        st.floats(0.0, 0.5),
    )
    def test_no_host_reverts_and_all_converge(self, offers, bad, seed, loss, repeat):
        rng = random.Random(seed)
        net = Network(rng, 8)
        highest = dict.fromkeys(net.names, 0)

        def settle(steps, loss, repeat):
            for _ in range(steps):
                net.now += 0.1
                if rng.random() < 0.3:
                    name = rng.choice(net.names)
                    net.heartbeat(name)
                    net.relays[name].run(net.tables[name], net.now)
                if net.bag:
                    net.deliver(loss, repeat)
                for name, tables in net.tables.items():
                    number = tables.configuration.number if tables.configuration else 0
                    assert number >= highest[name]
                    assert number not in bad
                    highest[name] = number

        for number, place in offers:
            text = "bad" if number in bad else "good"
            net.relays[net.names[place]].offer(number, f"s{number}", text)
            settle(20, loss, repeat)
        newest = max((number for number, _ in offers if number not in bad), default=0)
        for _ in range(12):
            for name in net.names:
                net.heartbeat(name)
                net.relays[name].run(net.tables[name], net.now)
            net.now += 2.0
            while net.bag:
                net.deliver(0.0, 0.0)
        assert {relay.number for relay in net.relays.values()} == {newest}
