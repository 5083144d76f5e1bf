import json

from masticfork.admin.log_story import read_lines, story_text, tell_story


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


class TestStories:
    def test_a_502_names_the_call_that_failed(self):
        end = {
            "message": "end",
            "request": "r-1",
            "status": 502,
            "why": "broken: closed by the server",
            "seconds": 0.3,
        }
        story = tell_story("r-1", log(DISPATCH, FAILED, end))
        assert story.cause == (
            "ended with 502 after 0.3 s, broken: closed by the server; "
            "calls that failed: i-1 broken: closed by the server"
        )

    def test_a_504_shows_what_became_of_its_server(self):
        missing = {"message": "server missing", "server": "i-1"}
        other = {"message": "server missing", "server": "i-2"}
        end = {
            "message": "end",
            "request": "r-1",
            "status": 504,
            "why": "silent: deadline",
            "seconds": 2.0,
        }
        story = tell_story("r-1", log(DISPATCH, missing, other, end))
        assert [line["server"] for line in story.context] == ["i-1"]
        assert "silent: deadline" in story.cause

    def test_a_404_shows_the_configuration_that_refused_it(self):
        in_force = {"message": "configuration in force", "version": 7}
        refused = {"message": "refused", "request": "r-1", "status": 404, "version": 7}
        story = tell_story("r-1", log(in_force, refused))
        assert story.cause == "refused with 404 by host-1, configuration 7"
        assert len(story.context) == 1

    def test_a_host_that_stopped_leaves_no_end(self):
        assert tell_story("r-1", log(DISPATCH)).cause.startswith("no end: host-1")

    def test_an_unknown_request_is_told_as_such(self):
        assert "no host logged" in tell_story("r-2", log(DISPATCH)).cause


class TestReading:
    def test_lines_that_are_not_json_are_findings(self):
        story = tell_story("r-1", read_lines("a.log", ["noise", '{"at": ', "{}"]))
        assert [str(found.place) for found in story.findings] == ["a.log:2:1"]

    def test_text_in_front_of_a_line_is_passed_over(self):
        written = "host-1 | " + json.dumps({"at": "1", **DISPATCH})
        story = tell_story("r-1", read_lines("a.log", [written]))
        assert "dispatch server=i-1 left=2.0" in story_text(story)
