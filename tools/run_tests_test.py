from pathlib import Path

from tools.run_tests import known_red, read_junit

REPORT = """<testsuite>
<testcase classname="a.B" name="ok"/>
<testcase classname="a.B" name="bad"><failure/></testcase>
</testsuite>"""


class TestKnownRed:
    def test_returns_the_name_before_the_separator(self):
        text = "# comment\n\na.B.bad | make test, seed 3 | hangs | issue 4\n"
        assert known_red(text) == {"a.B.bad"}


class TestReadJunit:
    def test_sorts_cases_by_outcome(self, tmp_path: Path):
        report = tmp_path / "report.xml"
        report.write_text(REPORT)
        outcome = read_junit([report])
        assert outcome.passed == {"a.B.ok"}
        assert outcome.failed == {"a.B.bad"}
