"""Run every test, judge failures against KNOWN-RED.txt and print the count."""

import subprocess
import sys
import tempfile
from pathlib import Path
from xml.etree import ElementTree

import attrs

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FEATURES = ROOT / "features"
NO_TESTS_COLLECTED = 5


@attrs.frozen
class Outcome:
    """Names of the tests that passed and of those that failed."""

    passed: frozenset[str]
    failed: frozenset[str]


def known_red(text: str) -> frozenset[str]:
    """Return the test names listed, one a line before the first ` | `."""
    lines = (line.strip() for line in text.splitlines())
    entries = (line for line in lines if line and not line.startswith("#"))
    return frozenset(entry.split(" | ")[0].strip() for entry in entries)


def read_junit(reports: list[Path]) -> Outcome:
    """Collect the outcomes of all test cases in JUnit reports."""
    passed: set[str] = set()
    failed: set[str] = set()
    for report in reports:
        for case in ElementTree.parse(report).iter("testcase"):
            name = f"{case.get('classname')}.{case.get('name')}"
            broken = any(case.find(tag) is not None for tag in ("failure", "error"))
            (failed if broken else passed).add(name)
    return Outcome(frozenset(passed), frozenset(failed))


def run_pytest(folder: Path) -> tuple[int, list[Path]]:
    """Run the unit tests; return the exit code and the report."""
    report = folder / "pytest.xml"
    command = [sys.executable, "-m", "pytest", f"--junitxml={report}"]
    code = subprocess.run(command, cwd=ROOT, check=False).returncode
    return code, [report]


def run_behave(folder: Path) -> tuple[int, list[Path]]:
    """Run the behave features; return the exit code and the reports."""
    if not list(FEATURES.glob("*.feature")):
        return 0, []
    command = [sys.executable, "-m", "behave", "--format", "progress", "--junit"]
    command += [f"--junit-directory={folder}", str(FEATURES)]
    code = subprocess.run(command, cwd=ROOT, check=False).returncode
    return code, sorted(folder.glob("TESTS-*.xml"))


def main() -> int:
    """Run all tests and return the exit code."""
    listed = known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else frozenset()
    with tempfile.TemporaryDirectory() as folder:
        codes, reports = [], []
        for runner in (run_pytest, run_behave):
            code, found = runner(Path(folder))
            codes.append(code)
            reports += found
        outcome = read_junit(reports)
    unexpected = outcome.failed - listed
    for name in sorted(outcome.failed & listed):
        print(f"known red: {name}")
    for name in sorted(unexpected):
        print(f"failed: {name}")
    # A runner that broke without naming a failed test must not count as a pass.
    broken = any(code not in (0, 1) for code in codes)
    broken = broken or (any(codes) and not outcome.failed)
    if broken:
        print(f"a test runner broke: exit codes {codes}")
    print(f"tests: {len(outcome.passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or broken or not outcome.passed else 0


if __name__ == "__main__":
    sys.exit(main())
