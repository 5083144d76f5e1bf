"""Tests of the configuration relay, without sockets or clocks."""

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from masticfork.core.configuration import Configuration
from masticfork.core.findings import Finding, SourceLocation
from masticfork.core.manifest import Manifest
from masticfork.core.tables import SelfRow, Tables
from masticfork.peers.configuration_relay import ConfigurationRelay
from masticfork.peers.manifest_copy import (
    MAX_TEXT_BYTES,
    pack_manifest,
    unpack_manifest,
)
from masticfork.peers.messages import ConfigurationCopy, ConfigurationNumber
from masticfork.systems.confirmation import ConfirmationState, confirmation_state

CONFIRM_SECONDS = 80.0
MANIFEST = Manifest((), (), ())


def check(number, submission_id, text):
    if text == "bad":
        return Err((Finding("bad", SourceLocation("manifest"), "bad"),))
    return Ok(Configuration(number, submission_id, MANIFEST))


@attrs.define
class RecordingTransport:
    """Records the announcements and requests of a relay."""

    announced: int = 0
    requests: list = attrs.field(factory=list)

    def announce(self):
        self.announced += 1

    def send_request(self, sent_request):
        self.requests.append(sent_request)


@pytest.fixture
def host():
    tables, transport = Tables(SelfRow("a", "z1")), RecordingTransport()
    return (
        tables,
        transport,
        ConfigurationRelay(tables, check, transport, CONFIRM_SECONDS),
    )


def copy(number, text="good"):
    return ConfigurationCopy(number, f"s{number}", pack_manifest(text))


class TestApplying:
    def test_newer_configuration_is_applied_and_announced_once(self, host):
        tables, transport, relay = host
        codes = [f.code for f in relay.apply_from_platform(3, "s3", "good")]
        assert (
            relay.apply_from_platform(3, "s3", "good")
            == relay.apply_from_platform(2, "s2", "good")
            == ()
        )
        assert (codes, transport.announced) == (["configuration_applied"], 1)
        assert tables.configuration.number == relay.number == 3

    def test_manifest_that_fails_the_check_is_rejected(self, host):
        tables, transport, relay = host
        relay.apply_from_platform(3, "s3", "good")
        codes = [f.code for f in relay.apply_from_platform(4, "s4", "bad")]
        assert codes == ["bad", "configuration_refused"]
        assert (tables.configuration.number, transport.announced) == (3, 1)
        relay.on_heartbeat("b", 4, 0.0)
        assert transport.requests[-1].request.newer_than == 3
        relay.on_reply(transport.requests[-1], ConfigurationNumber(4), 0.0)
        relay.on_heartbeat("b", 4, 1.0)
        assert len(transport.requests) == 1


class TestRequests:
    def test_outdated_host_sends_one_request_at_a_time(self, host):
        _, transport, relay = host
        relay.on_heartbeat("b", 5, 0.0)
        relay.on_heartbeat("c", 5, 0.1)
        assert [q.host for q in transport.requests] == ["b"]
        relay.on_reply(transport.requests[0], copy(5), 0.2)
        assert relay.number == 5

    def test_timed_out_request_goes_to_the_next_neighbour(self, host):
        tables, transport, relay = host
        relay.on_heartbeat("b", 5, 0.0)
        relay.on_heartbeat("c", 5, 0.1)
        relay.run(tables, 2.0)
        relay.run(tables, 4.0)
        relay.remove_neighbour("b")
        relay.run(tables, 4.0)
        assert [q.host for q in transport.requests] == ["b", "c", "b", "c"]

    def test_reply_is_the_newer_configuration_or_the_number(self, host):
        _, transport, relay = host
        relay.apply_from_platform(5, "s5", "good")
        relay.on_heartbeat("b", 6, 0.0)
        request = transport.requests[0].request
        assert relay.answer(attrs.evolve(request, newer_than=4)) == copy(5)
        assert relay.answer(request) == ConfigurationNumber(5)


class TestConfirmation:
    def test_isolated_host_stops_rollouts_first_and_all_new_work_later(self, host):
        tables, _, relay = host
        assert confirmation_state(tables, 0.0) is ConfirmationState.STALE
        relay.apply_from_platform(5, "s5", "good")
        relay.confirmed(5, 0.0)
        times = (0.0, 19.9, 20.0, 79.9, 80.0)
        assert [confirmation_state(tables, now) for now in times] == [
            ConfirmationState.CONFIRMED,
            ConfirmationState.CONFIRMED,
            ConfirmationState.ESTABLISHED_ONLY,
            ConfirmationState.ESTABLISHED_ONLY,
            ConfirmationState.STALE,
        ]

    def test_peer_with_the_same_number_confirms_it(self, host):
        tables, transport, relay = host
        relay.apply_from_platform(5, "s5", "good")
        for now in range(0, 200, 5):
            relay.on_heartbeat("b", 5, now)
            if transport.requests:
                relay.on_reply(transport.requests.pop(), ConfigurationNumber(5), now)
            assert confirmation_state(tables, now) is ConfirmationState.CONFIRMED

    def test_reply_confirms_as_of_the_time_of_the_request(self, host):
        tables, transport, relay = host
        relay.apply_from_platform(5, "s5", "good")
        relay.on_heartbeat("b", 5, 0.0)
        relay.on_reply(transport.requests[0], ConfigurationNumber(5), 100.0)
        assert confirmation_state(tables, 100.0) is ConfirmationState.STALE

    def test_older_number_confirms_nothing(self, host):
        tables, _, relay = host
        relay.apply_from_platform(5, "s5", "good")
        relay.confirmed(4, 0.0)
        assert confirmation_state(tables, 0.0) is ConfirmationState.STALE

    def test_rejected_newer_number_allows_established_versions_only(self, host):
        tables, _, relay = host
        relay.apply_from_platform(5, "s5", "good")
        relay.apply_from_platform(6, "s6", "bad")
        relay.confirmed(6, 0.0)
        assert confirmation_state(tables, 0.0) is ConfirmationState.ESTABLISHED_ONLY


class TestManifestCopy:
    PLACE = SourceLocation("configuration")

    def test_text_round_trips(self):
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
    def test_corrupt_or_oversize_copy_gives_a_finding(self, packed):
        findings = unpack_manifest(packed, self.PLACE).unwrap_err()
        assert [f.code for f in findings] == ["manifest_copy"]


class Network:
    """Relays of hosts, each linked to the next two on both sides of a ring.

    Messages are delivered in random order, and some are lost or repeated.
    """

    def __init__(self, rng, count):
        self.rng, self.now, self.in_transit = rng, 0.0, []
        self.names = [f"h{n}" for n in range(count)]
        self.relays = {}
        self.tables = {name: Tables(SelfRow(name, "z1")) for name in self.names}
        for name, tables in self.tables.items():
            transport = NetworkTransport(self, name)
            self.relays[name] = ConfigurationRelay(
                tables, check, transport, CONFIRM_SECONDS
            )

    def neighbours(self, name):
        place, count = self.names.index(name), len(self.names)
        return {self.names[(place + step) % count] for step in (-2, -1, 1, 2)} - {name}

    def send(self, delivery):
        self.in_transit.append(delivery)

    def heartbeat(self, name):
        number = self.relays[name].number
        for other in self.neighbours(name):
            self.send(
                lambda o=other: self.relays[o].on_heartbeat(name, number, self.now)
            )

    def deliver(self, loss, repeat):
        delivery = self.in_transit.pop(self.rng.randrange(len(self.in_transit)))
        if self.rng.random() >= loss:
            delivery()
        if self.rng.random() < repeat:
            self.in_transit.append(delivery)


@attrs.define
class NetworkTransport:
    network: Network
    name: str

    def announce(self):
        self.network.heartbeat(self.name)

    def send_request(self, sent_request):
        network = self.network

        def arrive():
            reply = network.relays[sent_request.host].answer(sent_request.request)
            network.send(
                lambda: network.relays[self.name].on_reply(
                    sent_request, reply, network.now
                ),
            )

        network.send(arrive)


submissions = st.lists(
    st.tuples(st.integers(1, 9), st.integers(0, 7)), min_size=1, max_size=12
)


class TestDeliveryOrder:
    @settings(deadline=None, max_examples=60)
    @given(
        submissions,
        st.sets(st.integers(1, 9), max_size=3),
        st.integers(0, 2**32),
        st.floats(0.0, 0.7),
        st.floats(0.0, 0.5),
    )
    def test_hosts_never_revert_and_all_converge(self, offers, bad, seed, loss, repeat):
        rng = random.Random(seed)
        network = Network(rng, 8)
        highest = dict.fromkeys(network.names, 0)

        def run_steps(steps, loss, repeat):
            for _ in range(steps):
                network.now += 0.1
                if rng.random() < 0.3:
                    name = rng.choice(network.names)
                    network.heartbeat(name)
                    network.relays[name].run(network.tables[name], network.now)
                if network.in_transit:
                    network.deliver(loss, repeat)
                for name, tables in network.tables.items():
                    number = tables.configuration.number if tables.configuration else 0
                    assert number >= highest[name]
                    assert number not in bad
                    highest[name] = number

        for number, place in offers:
            text = "bad" if number in bad else "good"
            network.relays[network.names[place]].apply_from_platform(
                number, f"s{number}", text
            )
            run_steps(20, loss, repeat)
        newest = max((number for number, _ in offers if number not in bad), default=0)
        for _ in range(12):
            for name in network.names:
                network.heartbeat(name)
                network.relays[name].run(network.tables[name], network.now)
            network.now += 2.0
            while network.in_transit:
                network.deliver(0.0, 0.0)
        assert {relay.number for relay in network.relays.values()} == {newest}
