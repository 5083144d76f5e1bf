"""Run all tests; fail on failures that KNOWN-RED.txt does not list."""

import subprocess
import sys
import tempfile
from pathlib import Path
from xml.etree import ElementTree

import attrs

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
FEATURES = ROOT / "features"
NO_TESTS_COLLECTED = 5
# Test files that run one after the other, beside no other test: they measure what
# crowds of connections do to a process.
ALONE = ("proofs/crowds_test.py", "proofs/endless_servers_test.py")
# Processes among which pytest divides the test files: tests mostly wait.
TEST_PROCESSES = 6


@attrs.frozen
class Outcome:
    """Names of the tests that passed and of those that failed."""

    passed: frozenset[str]
    failed: frozenset[str]


def known_red(text: str) -> frozenset[str]:
    """Return the test names: the part of each line before the first ` | `."""
    lines = (line.strip() for line in text.splitlines())
    entries = (line for line in lines if line and not line.startswith("#"))
    return frozenset(entry.split(" | ")[0].strip() for entry in entries)


def read_junit(reports: list[Path]) -> Outcome:
    """Return the outcomes of all test cases in JUnit reports."""
    passed: set[str] = set()
    failed: set[str] = set()
    for report in reports:
        for case in ElementTree.parse(report).iter("testcase"):
            name = f"{case.get('classname')}.{case.get('name')}"
            case_failed = any(
                case.find(tag) is not None for tag in ("failure", "error")
            )
            (failed if case_failed else passed).add(name)
    return Outcome(frozenset(passed), frozenset(failed))


def run_pytest(folder: Path) -> tuple[int, list[Path]]:
    """Run pytest on all files that bear others; return its exit code and report."""
    options = [f"--numprocesses={TEST_PROCESSES}", "--dist=loadfile"]
    options += [f"--ignore={name}" for name in ALONE]
    return _pytest(folder / "pytest.xml", options)


def run_pytest_alone(folder: Path) -> tuple[int, list[Path]]:
    """Run pytest on the files in `ALONE`; return its exit code and report."""
    return _pytest(folder / "alone.xml", list(ALONE))


def _pytest(report: Path, options: list[str]) -> tuple[int, list[Path]]:
    command = [sys.executable, "-m", "pytest", f"--junitxml={report}", *options]
    return subprocess.run(command, cwd=ROOT, check=False).returncode, [report]


def run_behave(folder: Path) -> tuple[int, list[Path]]:
    """Run behave; return its exit code and its reports."""
    if not list(FEATURES.glob("*.feature")):
        return 0, []
    command = [sys.executable, "-m", "behave", "--format", "progress", "--junit"]
    command += [f"--junit-directory={folder}", str(FEATURES)]
    code = subprocess.run(command, cwd=ROOT, check=False).returncode
    return code, sorted(folder.glob("TESTS-*.xml"))


def main() -> int:
    """Run all tests; return 0 if all passed but the known failures, else 1."""
    known_failures = (
        known_red(KNOWN_RED_FILE.read_text())
        if KNOWN_RED_FILE.exists()
        else frozenset()
    )
    with tempfile.TemporaryDirectory() as folder:
        codes, reports = [], []
        for runner in (run_pytest, run_pytest_alone, run_behave):
            code, new_reports = runner(Path(folder))
            codes.append(code)
            reports += new_reports
        outcome = read_junit(reports)
    unexpected = outcome.failed - known_failures
    for name in sorted(outcome.failed & known_failures):
        print(f"known red: {name}")
    for name in sorted(unexpected):
        print(f"failed: {name}")
    # A runner that fails without reporting a failed test must not count as a pass.
    runner_failed = any(code not in (0, 1) for code in codes)
    runner_failed = runner_failed or (any(codes) and not outcome.failed)
    if runner_failed:
        print(f"a test runner failed: exit codes {codes}")
    print(f"tests: {len(outcome.passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or runner_failed or not outcome.passed else 0


if __name__ == "__main__":
    sys.exit(main())
