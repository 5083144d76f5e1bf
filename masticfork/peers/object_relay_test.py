"""Tests of the relay of shared objects."""

import json

from hypothesis import given
from hypothesis import strategies as st

from masticfork.core.ids import HostName
from masticfork.core.tables import SelfRow, Tables
from masticfork.peers.messages import Evidence
from masticfork.peers.object_relay import (
    OBJECTS_TOPIC,
    ROUND_SECONDS,
    ObjectRelay,
)
from masticfork.peers.records import Sender
from masticfork.store.client import StoredObject

SENDER = Sender(HostName("other"), 1)


class Network:
    """Relays that are all neighbours; messages may be lost."""

    def __init__(self, names):
        self.applied = {name: [] for name in names}
        self.relays = {name: ObjectRelay(self.applied[name].append) for name in names}
        self.queue = []
        for name, relay in self.relays.items():
            relay.set_transport(NetworkTransport(self, name))

    def deliver(self, is_delivered):
        while self.queue:
            source, target, body = self.queue.pop(0)
            if not is_delivered():
                continue
            relay = self.relays[target]
            handler = (
                relay.on_objects if body.topic == OBJECTS_TOPIC else relay.on_versions
            )
            handler(Sender(source, 1), body)

    def rounds(self, count):
        for number in range(count):
            for name, relay in self.relays.items():
                relay.run(Tables(SelfRow(name, "z")), number * ROUND_SECONDS)
                self.deliver(lambda: True)


class NetworkTransport:
    def __init__(self, network, name):
        self._network = network
        self._name = name

    @property
    def linked(self):
        return frozenset(self._network.relays) - {self._name}

    def broadcast(self, body):
        return sum(self.send(host, body) for host in sorted(self.linked))

    def send(self, host, body):
        self._network.queue.append((self._name, host, body))
        return True


def stored(version, key="shared/drains/server/a"):
    return StoredObject(key, version, {"at": version})


class TestObjectRelay:
    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 9)), max_size=12),
        st.lists(st.booleans(), max_size=40),
    )
    def test_hosts_converge_and_none_reverts(self, offers, outcomes):
        network = Network("abc")
        next_outcomes = iter(outcomes)
        for name, version in offers:
            network.relays[name].apply_newer([stored(version)])
            network.deliver(lambda: next(next_outcomes, True))
        network.rounds(4)
        newest = max((version for _, version in offers), default=None)
        for name, relay in network.relays.items():
            versions = [applied.version for applied in network.applied[name]]
            assert versions == sorted(set(versions))
            known = relay.get(stored(1).key)
            assert (known.version if known else None) == newest

    def test_malformed_messages_change_nothing_and_are_reported(self):
        relay = ObjectRelay(lambda _: None)
        bad = [b"", b"[1]", b"{}x", json.dumps([{"key": "claims/x"}]).encode()]
        bad.append(json.dumps([object_row("claims/x", 1)]).encode())
        for payload in bad:
            relay.on_objects(SENDER, Evidence(OBJECTS_TOPIC, payload))
        findings = relay.run(Tables(SelfRow("a", "z")), 0.0)
        assert [finding.code for finding in findings] == ["object_message_malformed"]
        assert relay.get("claims/x") is None


def object_row(key, version):
    return {"key": key, "version": version, "value": {}}
