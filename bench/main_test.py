"""Tests of the benchmark tool."""

import json
from pathlib import Path

import attrs
import pytest
from click.testing import CliRunner

from bench.calls import added_latency
from bench.fleet import UsageSnapshot, parse_samples, per_change, per_host
from bench.load import Histogram
from bench.main import SHORT_RUN, main
from bench.mesh import hop_counts, peer_links
from bench.registry import experiments, means
from bench.results import (
    Conditions,
    Point,
    Record,
    compare,
    flatten,
    make_record,
    read_records,
    to_json_line,
)
from bench.slopes import POOL, with_changed_quality, with_servers
from masticfork.core.ids import HostName


def scaling_record(hosts: int, cpu: float) -> Record:
    point = Point({"hosts": hosts}, {"idle.cpu_percent": cpu})
    return make_record("slopes", point, Conditions(7, "abc", 1.5))


def write_records(path: Path, *records: Record) -> Path:
    path.write_text("".join(to_json_line(one) + "\n" for one in records))
    return path


class TestResults:
    def test_records_round_trip_through_a_file(self, tmp_path: Path) -> None:
        records = (scaling_record(2, 1.0), scaling_record(4, 2.0))
        assert read_records(write_records(tmp_path / "a", *records)) == records

    def test_a_record_holds_the_run_conditions(self) -> None:
        line = json.loads(to_json_line(scaling_record(2, 1.0)))
        assert (line["seed"], line["commit"], line["load_average"]) == (7, "abc", 1.5)

    def test_a_malformed_line_is_named_in_the_error(self, tmp_path: Path) -> None:
        path = write_records(tmp_path / "a", scaling_record(2, 1.0))
        path.write_text(path.read_text() + "{}\n")
        with pytest.raises(ValueError, match="a:2: not a record"):
            read_records(path)

    def test_flatten_keeps_nested_numbers_only(self) -> None:
        found = flatten({"a": 1, "b": {"c": 2.5, "d": {"e": 3}}, "f": "text", "g": []})
        assert found == {"a": 1, "b.c": 2.5, "b.d.e": 3}


class TestComparison:
    def test_pairs_equal_parameters_and_uses_the_last_run(self) -> None:
        old = [scaling_record(2, 9.0), scaling_record(2, 1.0), scaling_record(4, 5.0)]
        (change,) = compare(old, [scaling_record(2, 3.0), scaling_record(8, 1.0)])
        assert (change.old, change.new, change.ratio) == (1.0, 3.0, 3.0)

    def test_ratio_to_zero_is_none(self) -> None:
        (change,) = compare([scaling_record(2, 0.0)], [scaling_record(2, 3.0)])
        assert change.ratio is None

    def test_command_prints_old_and_new_values(self, tmp_path: Path) -> None:
        old = write_records(tmp_path / "old", scaling_record(2, 2.0))
        new = write_records(tmp_path / "new", scaling_record(2, 3.0))
        done = CliRunner().invoke(main, ["compare", str(old), str(new)])
        line = "slopes hosts=2 | idle.cpu_percent: 2 -> 3 (x 1.500)\n"
        assert (done.exit_code, done.output) == (0, line)


class TestReport:
    def test_writes_a_page_and_plots(self, tmp_path: Path) -> None:
        lookup = attrs.evolve(scaling_record(1, 1.0), experiment="lookup")
        file = write_records(
            tmp_path / "a", scaling_record(4, 2.0), scaling_record(2, 1.0), lookup
        )
        folder = tmp_path / "out"
        done = CliRunner().invoke(main, ["report", str(file), "-o", str(folder)])
        assert done.exit_code == 0, done.output
        written = {path.name for path in folder.iterdir()}
        assert written == {"slopes.png", "slopes.svg", "report.md"}
        page = (folder / "report.md").read_text()
        assert "| slopes | abc | 1.5 | 2 |" in page
        assert "![slopes](slopes.png)" in page


class TestRegistry:
    def test_contains_the_experiments_of_the_short_run(self) -> None:
        assert set(SHORT_RUN) <= set(experiments())

    def test_keys_are_the_experiment_names(self) -> None:
        assert all(name == one.name for name, one in experiments().items())

    def test_command_rejects_an_unknown_name(self) -> None:
        assert CliRunner().invoke(main, ["run", "none"]).exit_code == 2

    def test_means_include_fields_and_properties(self) -> None:
        @attrs.frozen
        class Outcome:
            state: str
            count: int

            @property
            def double(self) -> int:
                return 2 * self.count

        found = means([Outcome("x", 1), Outcome("y", 2)])
        assert found == {"count": 1.5, "double": 3.0}


class TestUsage:
    BEFORE = UsageSnapshot(10.0, 1.0, (5, 5), {("sent", "a"): 100.0}, {"put": 4.0})
    AFTER = UsageSnapshot(
        20.0,
        3.0,
        (10_000_000, 30_000_000),
        {("sent", "a"): 300.0, ("sent", "b"): 40.0, ("received", "a"): 60.0},
        {"put": 10.0, "get": 20.0},
    )

    def test_per_host_divides_rates_by_hosts_and_seconds(self) -> None:
        assert per_host(self.BEFORE, self.AFTER) == {
            "cpu_percent": 10.0,
            "resident_mb": 20.0,
            "peer_bytes_sent": 12.0,
            "peer_bytes_received": 3.0,
            "sent_bytes.a": 10.0,
            "sent_bytes.b": 2.0,
            "platform.put": 0.3,
            "platform.get": 1.0,
        }

    def test_per_change_divides_costs_by_changes(self) -> None:
        assert per_change(self.BEFORE, self.AFTER, 2) == {
            "host_cpu_ms": 500.0,
            "host_bytes_sent": 60.0,
            "all_platform.put": 3.0,
            "all_platform.get": 10.0,
        }

    def test_sample_keys_follow_the_order_of_label_names(self) -> None:
        text = '# TYPE x gauge\nx{way="sent",kind="a"} 5.0\ny 2.0\n'
        assert parse_samples(text) == {("x", "a", "sent"): 5.0, ("y",): 2.0}


class TestAddedLatency:
    def test_is_the_difference_of_percentiles(self) -> None:
        direct, through = Histogram(), Histogram()
        direct.add(0.001)
        through.add(0.003)
        figures = added_latency(direct, through)
        assert figures["added_ms_p50"] == pytest.approx(2.0, abs=0.01)


class TestPeerMesh:
    def test_a_small_fleet_is_a_full_mesh(self) -> None:
        links = peer_links(4)
        assert [len(neighbours) for neighbours in links.values()] == [3, 3, 3, 3]

    def test_every_host_of_a_large_fleet_is_reachable(self) -> None:
        links = peer_links(60)
        assert len(hop_counts(links, min(links))) == 59

    def test_hop_counts_are_shortest_paths(self) -> None:
        a, b, c = map(HostName, "abc")
        assert hop_counts({a: {b}, b: {a, c}, c: {b}}, a) == [1, 2]


class TestManifests:
    MANIFEST = {
        "models": [{"name": "m", "versions": [{"id": "1"}, {"id": "2"}]}],
        "pools": [{"name": POOL, "servers": [{"name": "a"}]}, {"name": "other"}],
    }

    def test_each_changed_manifest_differs(self) -> None:
        first, second = (
            with_changed_quality(self.MANIFEST, 0),
            with_changed_quality(self.MANIFEST, 1),
        )
        assert first != second
        assert first["models"][0]["versions"][1] == {"id": "2"}

    def test_servers_are_added_to_one_pool(self) -> None:
        pools = with_servers(self.MANIFEST, 3)["pools"]
        assert [len(pool.get("servers", ())) for pool in pools] == [4, 0]
