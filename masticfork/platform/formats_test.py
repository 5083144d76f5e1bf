import pytest
from result import Err, Ok

from masticfork.core.backend_servers import (
    Address,
    HostRequests,
    RolloutProgress,
    RolloutState,
)
from masticfork.core.routes import RouteKind
from masticfork.platform.fields import MAX_MESSAGE_CHARACTERS
from masticfork.platform.objects import PlatformObject
from masticfork.platform.route_format import decode_route_table
from masticfork.platform.server_format import (
    decode_host,
    decode_rollout,
    decode_server,
    encode_host,
    encode_progress,
)
from standins.entry_environment import KEY, configuration, route


def stored_object(spec, status=None):
    return PlatformObject("i-1", 9, 4, spec, status)


SERVER = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "sequence": 4,
}


class TestRouteTable:
    def test_match_prefers_the_longest_prefix_of_the_same_host(self):
        rows = [
            route("safe", name="short", path_prefix="/a/"),
            route("safe", name="long", path_prefix="/a/b/"),
            route("safe", name="other", host="B.example", path_prefix="/a/"),
        ]
        table = decode_route_table(configuration(3, *rows)).ok_value
        assert table.match("a.example", "/a/b/c").name == "long"
        assert table.match("a.example", "/a/x").name == "short"
        assert table.match("b.example", "/a/b/c").name == "other"
        assert table.match("a.example", "/ab") is None

    def test_decodes_kinds_times_and_teams(self):
        table = decode_route_table(configuration(3)).ok_value
        kinds = {each.kind for each in table.routes}
        assert kinds == set(RouteKind)
        stream = table.match("a.example", "/streaming/x")
        assert (stream.timeout, stream.max_gap, stream.retryable) == (4.0, 0.3, True)
        assert not table.match("a.example", "/unsafe/x").retryable
        assert table.team_of(KEY).priority == 2
        assert table.keys_required

    def test_decodes_the_services_of_a_traffic_split(self):
        split = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
        split_route = route("safe", traffic_split=split)
        table = decode_route_table(configuration(3, split_route)).ok_value
        assert [(s.service, s.weight) for s in table.routes[0].services] == [
            ("x", 90),
            ("y", 10),
        ]

    def test_decodes_home_regions_and_cold_servers(self):
        spec = configuration(3, route("safe", allowed_regions=["south"]))
        spec["tenants"][0]["allowed_regions"] = ["north", "south"]
        spec["services"][0].update(cold_per_s=8.8, cold_start_s=3.0)
        table = decode_route_table(spec).ok_value
        assert table.routes[0].regions == {"south"}
        assert table.teams[0].regions == {"north", "south"}
        cold, warm = table.services["desk"], table.services["engines"]
        assert (cold.cold_rate, cold.cold_seconds) == (8.8, 3.0)
        assert (warm.cold_rate, warm.cold_seconds) == (0.0, 0.0)

    @pytest.mark.parametrize(
        "change",
        [
            {"version": "7"},
            {"version": True},
            {"routes": 3},
            {"routes": [route("sometimes")]},
            {"routes": [{"name": "r"}]},
            {"tenants": [{"api_keys": []}]},
            {"limits": {"idle_timeout_ms": "x"}},
            {"routes": [route("safe", allowed_regions="south")]},
            {"routes": [route("safe", allowed_regions=[3])]},
            {"services": [{"name": "s", "cold_per_s": "8"}]},
        ],
    )
    def test_malformed_configuration_is_a_finding(self, change):
        assert isinstance(decode_route_table({**configuration(3), **change}), Err)


class TestServers:
    def test_decodes_a_server(self):
        server = decode_server(stored_object({**SERVER, "born": 17})).ok_value
        assert (server.id, server.address) == ("i-1", Address("10.0.0.9", 8080))
        assert (server.draining, server.started_at_ms) == (False, 17)
        assert server.cold_remaining == 0.0

    def test_decodes_how_long_a_server_stays_cold(self):
        server = decode_server(stored_object({**SERVER, "cold_remaining_ms": 2500}))
        assert server.ok_value.cold_remaining == 2.5

    @pytest.mark.parametrize(
        "change",
        [
            {"slots": 10**30},
            {"cold_remaining_ms": float("inf")},
            {"cold_remaining_ms": float("nan")},
            {"born": -(10**30)},
            {"version": "\ud800"},
            {"zone": "z\n"},
            {"service": "s" * 5000},
            {"address": "10.0.0.9:0"},
            {"address": "10.0.0.9:65536"},
            {"address": "10.0.0.9:" + "9" * 5000},
            {"address": "server.example:80"},
            {"address": "224.0.0.1:80"},
            {"address": "255.255.255.255:80"},
            {"state": "asleep"},
            {"address": "10.0.0.9"},
            {"slots": "6"},
            {"service": None},
            {"born": 1.5},
            {"cold_remaining_ms": "long"},
        ],
    )
    def test_malformed_server_of_another_writer_is_a_finding(self, change):
        decoded = decode_server(stored_object({**SERVER, **change}))
        assert str(decoded.err_value.place) == "servers/i-1"
        assert len(decoded.err_value.message) <= MAX_MESSAGE_CHARACTERS

    @pytest.mark.parametrize("spec", [None, 3, "x", []])
    def test_spec_of_another_type_is_a_finding(self, spec):
        assert isinstance(decode_server(stored_object(spec)), Err)
        assert isinstance(decode_rollout(stored_object(spec)), Err)
        assert isinstance(decode_host(stored_object(spec)), Err)


class TestRollouts:
    SPEC = {"service": "s", "target": "v2", "duration_s": 12}

    def test_progress_round_trips_through_its_status(self):
        requests = HostRequests("host-1", 4_000_000_000, 120, 17)
        times = ((0, 0.5), (2, 1.25))
        progress = RolloutProgress(
            RolloutState.RUNNING, 1, 1234.5, 3.25, (requests,), 0.012, times
        )
        rollout = decode_rollout(stored_object(self.SPEC)).ok_value
        status = encode_progress(rollout, progress)
        assert (
            decode_rollout(stored_object(self.SPEC, status)).ok_value.progress
            == progress
        )

    @pytest.mark.parametrize(
        "status",
        [None, {}, {"state": "done", "target": "v1"}, {"state": "?", "target": "v2"}],
    )
    def test_malformed_status_or_other_target_is_no_progress(self, status):
        rollout = decode_rollout(stored_object(self.SPEC, status)).ok_value
        assert rollout.progress == RolloutProgress()

    @pytest.mark.parametrize(
        "broken", [None, 7, "x", {}, {"host": "h"}, {"host": "h", "start": True}]
    )
    def test_malformed_requests_of_hosts_are_left_out(self, broken):
        entry = {"host": "host-1", "start": 1, "sent": -5, "to_new": 2}
        status = {"state": "running", "target": "v2", "requests": [broken, entry]}
        rollout = decode_rollout(stored_object(self.SPEC, status)).ok_value
        assert rollout.progress.requests == (HostRequests("host-1", 1, 0, 2),)
        status["requests"] = broken
        rollout = decode_rollout(stored_object(self.SPEC, status)).ok_value
        assert rollout.progress == RolloutProgress(RolloutState.RUNNING)

    @pytest.mark.parametrize(
        "broken", [None, 7, ["0"], {"x": 1.0}, {"0": "x"}, {"0": -1}, {"0": True}]
    )
    def test_malformed_usual_times_are_left_out(self, broken):
        status = {"state": "running", "target": "v2", "usual_times": broken}
        rollout = decode_rollout(stored_object(self.SPEC, status)).ok_value
        assert rollout.progress == RolloutProgress(RolloutState.RUNNING)

    @pytest.mark.parametrize("duration", [0, -1, 10**30, float("inf"), float("nan")])
    def test_rollout_without_a_usable_duration_is_a_finding(self, duration):
        spec = {**self.SPEC, "duration_s": duration}
        assert isinstance(decode_rollout(stored_object(spec)), Err)

    @pytest.mark.parametrize(
        "change", [{"order": 1 << 70}, {"order": True}, {"step": 1 << 70}]
    )
    def test_status_with_a_number_too_large_does_not_hide_the_rollout(self, change):
        status = {"state": "running", "target": "v2", "step": 1, "order": 4, **change}
        assert decode_rollout(stored_object(self.SPEC, status)).ok_value.created < 9


class TestHosts:
    def test_address_round_trips_through_its_spec(self):
        address = Address("10.1.0.40", 7340)
        assert decode_host(stored_object(encode_host(address))) == Ok(address)
