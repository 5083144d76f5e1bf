"""Tests of the bench tool."""

import json
from pathlib import Path

import attrs
import pytest
from click.testing import CliRunner

from bench.calls import added
from bench.fleet import Usage, per_act, per_host, samples
from bench.load import Histogram
from bench.main import SHORT, main
from bench.mesh import hops, mesh
from bench.registry import experiments, means
from bench.results import (
    Conditions,
    Point,
    Record,
    compare,
    flat,
    read,
    record,
    to_line,
)
from bench.slopes import POOL, changed, with_servers
from masticfork.core.ids import HostName


def slope(hosts: int, cpu: float) -> Record:
    point = Point({"hosts": hosts}, {"idle.cpu_percent": cpu})
    return record("slopes", point, Conditions(7, "abc", 1.5))


def write(path: Path, *records: Record) -> Path:
    path.write_text("".join(to_line(one) + "\n" for one in records))
    return path


class TestResults:
    def test_are_read_as_they_were_written(self, tmp_path: Path) -> None:
        records = (slope(2, 1.0), slope(4, 2.0))
        assert read(write(tmp_path / "a", *records)) == records

    def test_keep_the_conditions(self) -> None:
        line = json.loads(to_line(slope(2, 1.0)))
        assert (line["seed"], line["commit"], line["load_average"]) == (7, "abc", 1.5)

    def test_name_the_line_that_is_no_record(self, tmp_path: Path) -> None:
        path = write(tmp_path / "a", slope(2, 1.0))
        path.write_text(path.read_text() + "{}\n")
        with pytest.raises(ValueError, match="a:2: not a record"):
            read(path)

    def test_flatten_nested_numbers_only(self) -> None:
        found = flat({"a": 1, "b": {"c": 2.5, "d": {"e": 3}}, "f": "text", "g": []})
        assert found == {"a": 1, "b.c": 2.5, "b.d.e": 3}


class TestComparison:
    def test_pairs_equal_settings_and_takes_the_last(self) -> None:
        old = [slope(2, 9.0), slope(2, 1.0), slope(4, 5.0)]
        (change,) = compare(old, [slope(2, 3.0), slope(8, 1.0)])
        assert (change.old, change.new, change.ratio) == (1.0, 3.0, 3.0)

    def test_has_no_ratio_to_nothing(self) -> None:
        (change,) = compare([slope(2, 0.0)], [slope(2, 3.0)])
        assert change.ratio is None

    def test_is_printed(self, tmp_path: Path) -> None:
        old = write(tmp_path / "old", slope(2, 2.0))
        new = write(tmp_path / "new", slope(2, 3.0))
        done = CliRunner().invoke(main, ["compare", str(old), str(new)])
        line = "slopes hosts=2 | idle.cpu_percent: 2 -> 3 (x 1.500)\n"
        assert (done.exit_code, done.output) == (0, line)


class TestReport:
    def test_has_a_page_and_plots(self, tmp_path: Path) -> None:
        lookup = attrs.evolve(slope(1, 1.0), experiment="lookup")
        file = write(tmp_path / "a", slope(4, 2.0), slope(2, 1.0), lookup)
        folder = tmp_path / "out"
        done = CliRunner().invoke(main, ["report", str(file), "-o", str(folder)])
        assert done.exit_code == 0, done.output
        written = {path.name for path in folder.iterdir()}
        assert written == {"slopes.png", "slopes.svg", "report.md"}
        page = (folder / "report.md").read_text()
        assert "| slopes | abc | 1.5 | 2 |" in page
        assert "![slopes](slopes.png)" in page


class TestRegistry:
    def test_has_what_the_short_run_needs(self) -> None:
        assert set(SHORT) <= set(experiments())

    def test_names_agree(self) -> None:
        assert all(name == one.name for name, one in experiments().items())

    def test_refuses_an_unknown_name(self) -> None:
        assert CliRunner().invoke(main, ["run", "none"]).exit_code == 2

    def test_takes_the_means_of_numbers_and_properties(self) -> None:
        @attrs.frozen
        class Outcome:
            state: str
            count: int

            @property
            def double(self) -> int:
                return 2 * self.count

        found = means([Outcome("x", 1), Outcome("y", 2)])
        assert found == {"count": 1.5, "double": 3.0}


class TestFleet:
    BEFORE = Usage(10.0, 1.0, (5, 5), {("sent", "a"): 100.0}, {"put": 4.0})
    AFTER = Usage(
        20.0,
        3.0,
        (10_000_000, 30_000_000),
        {("sent", "a"): 300.0, ("sent", "b"): 40.0, ("received", "a"): 60.0},
        {"put": 10.0, "get": 20.0},
    )

    def test_shares_rates_over_hosts(self) -> None:
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

    def test_shares_costs_over_acts(self) -> None:
        assert per_act(self.BEFORE, self.AFTER, 2) == {
            "host_cpu_ms": 500.0,
            "host_bytes_sent": 60.0,
            "all_platform.put": 3.0,
            "all_platform.get": 10.0,
        }

    def test_reads_samples_by_labels_in_order_of_names(self) -> None:
        text = '# TYPE x gauge\nx{way="sent",kind="a"} 5.0\ny 2.0\n'
        assert samples(text) == {("x", "a", "sent"): 5.0, ("y",): 2.0}


class TestAddedLatency:
    def test_is_the_difference_of_percentiles(self) -> None:
        direct, through = Histogram(), Histogram()
        direct.add(0.001)
        through.add(0.003)
        figures = added(direct, through)
        assert figures["added_ms_p50"] == pytest.approx(2.0, abs=0.01)


class TestMesh:
    def test_a_small_fleet_is_a_full_mesh(self) -> None:
        links = mesh(4)
        assert [len(near) for near in links.values()] == [3, 3, 3, 3]

    def test_hops_reach_every_host_of_a_large_fleet(self) -> None:
        links = mesh(60)
        assert len(hops(links, min(links))) == 59

    def test_hops_are_the_shortest(self) -> None:
        a, b, c = map(HostName, "abc")
        assert hops({a: {b}, b: {a, c}, c: {b}}, a) == [1, 2]


class TestManifests:
    MANIFEST = {
        "models": [{"name": "m", "versions": [{"id": "1"}, {"id": "2"}]}],
        "pools": [{"name": POOL, "servers": [{"name": "a"}]}, {"name": "other"}],
    }

    def test_each_change_differs(self) -> None:
        first, second = changed(self.MANIFEST, 0), changed(self.MANIFEST, 1)
        assert first != second
        assert first["models"][0]["versions"][1] == {"id": "2"}

    def test_servers_are_added_to_one_pool(self) -> None:
        pools = with_servers(self.MANIFEST, 3)["pools"]
        assert [len(pool.get("servers", ())) for pool in pools] == [4, 0]
