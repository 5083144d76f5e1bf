import json

from masticfork.admin.request_timeline import build_timeline, read_lines, timeline_text


def log(*rows):
    lines = [
        json.dumps({"at": f"12:00:0{n}", "host": "host-1", **row})
        for n, row in enumerate(rows)
    ]
    return read_lines("host-1.log", lines)


DISPATCH = {"message": "dispatch", "request": "r-1", "server": "i-1", "left": 2.0}
FAILED = {
    "message": "call failed",
    "request": "r-1",
    "server": "i-1",
    "outcome": "broken",
    "why": "closed by the server",
}


class TestTimelines:
    def test_a_502_names_the_call_that_failed(self):
        end = {
            "message": "end",
            "request": "r-1",
            "status": 502,
            "why": "broken: closed by the server",
            "seconds": 0.3,
        }
        timeline = build_timeline("r-1", log(DISPATCH, FAILED, end))
        assert timeline.cause == (
            "ended with 502 after 0.3 s, broken: closed by the server; "
            "calls that failed: i-1 broken: closed by the server"
        )

    def test_a_504_shows_lines_about_its_server(self):
        missing = {"message": "server missing", "server": "i-1"}
        other = {"message": "server missing", "server": "i-2"}
        end = {
            "message": "end",
            "request": "r-1",
            "status": 504,
            "why": "silent: deadline",
            "seconds": 2.0,
        }
        timeline = build_timeline("r-1", log(DISPATCH, missing, other, end))
        assert [line["server"] for line in timeline.context] == ["i-1"]
        assert "silent: deadline" in timeline.cause

    def test_a_404_shows_the_configuration_that_refused_it(self):
        in_force = {"message": "configuration in force", "version": 7}
        refused = {"message": "refused", "request": "r-1", "status": 404, "version": 7}
        timeline = build_timeline("r-1", log(in_force, refused))
        assert timeline.cause == "refused with 404 by host-1, configuration 7"
        assert len(timeline.context) == 1

    def test_a_request_without_an_end_line_names_its_host(self):
        assert build_timeline("r-1", log(DISPATCH)).cause.startswith("no end: host-1")

    def test_a_request_without_lines_is_reported(self):
        assert "no host logged" in build_timeline("r-2", log(DISPATCH)).cause


class TestReadLines:
    def test_lines_that_are_not_json_are_findings(self):
        timeline = build_timeline(
            "r-1", read_lines("a.log", ["noise", '{"at": ', "{}"])
        )
        assert [str(found.place) for found in timeline.findings] == ["a.log:2:1"]

    def test_a_prefix_of_a_line_is_skipped(self):
        raw_line = "host-1 | " + json.dumps({"at": "1", **DISPATCH})
        timeline = build_timeline("r-1", read_lines("a.log", [raw_line]))
        assert "dispatch server=i-1 left=2.0" in timeline_text(timeline)
