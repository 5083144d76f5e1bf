import json
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result
from waitress.server import create_server

from masticfork.admin.app_test import ApiClient
from masticfork.admin.submissions_test import manifest
from masticfork.scripts.masticfork import main
from standins.ports import free_port


class FakeDaemon:
    """Serves the administration API with a fake backend on a real socket."""

    def __init__(self) -> None:
        self.client = ApiClient()
        self.lose_answers = 0
        self._server = create_server(
            self._answer,
            host="127.0.0.1",
            port=0,
            threads=2,
            # Descriptors of a long test run exceed what `select` takes.
            asyncore_use_poll=True,
        )
        self.url = f"http://127.0.0.1:{self._server.effective_port}"
        self._thread = threading.Thread(target=self._server.run, daemon=True)
        self._thread.start()

    def _answer(self, environ: Any, start: Any) -> Any:
        body = self.client.app(environ, start)
        if environ["REQUEST_METHOD"] != "GET" and self.lose_answers:
            self.lose_answers -= 1
            # A body shorter than its Content-Length closes the connection.
            return [b""]
        return body

    def stop(self) -> None:
        self._server.close()
        self._server.task_dispatcher.shutdown()


@pytest.fixture
def daemon() -> Iterator[FakeDaemon]:
    running = FakeDaemon()
    yield running
    running.stop()


@pytest.fixture
def manifest_file(tmp_path: Path) -> str:
    path = tmp_path / "m.jsonc"
    path.write_text("// ours\n" + manifest())
    return str(path)


def run(url: str, *arguments: str, key: str = "key-op", **more: Any) -> Result:
    environment = {"MASTICFORK_URL": url, "MASTICFORK_KEY": key}
    return CliRunner().invoke(main, arguments, env=environment, **more)


def unused_url() -> str:
    return f"http://127.0.0.1:{free_port()}"


class TestCheck:
    def test_a_clean_manifest(self, manifest_file: str):
        result = run("", "check", manifest_file)
        assert (result.exit_code, result.output) == (
            0,
            f"{manifest_file}: 0 findings\n",
        )

    def test_findings_have_file_line_and_column(self, tmp_path: Path):
        path = tmp_path / "m.jsonc"
        path.write_text("// ours\n" + manifest(1.5))
        result = run("", "check", str(path))
        assert result.exit_code == 2
        assert result.output.startswith(f"{path}:2:")
        assert "teams[0].quality_target: error:" in result.output

    def test_as_json_from_standard_input(self):
        result = run("", "check", "-", "--output", "json", input="{")
        assert result.exit_code == 2
        assert json.loads(result.output)["findings"][0]["code"] == "syntax"

    def test_a_file_that_is_not_utf_8(self, tmp_path: Path):
        path = tmp_path / "m.jsonc"
        path.write_bytes(b"\xff\xfe")
        assert run("", "check", str(path)).exit_code == 2


class TestSubmit:
    def test_submit_show_and_history(self, daemon: FakeDaemon, manifest_file: str):
        result = run(daemon.url, "submit", manifest_file, "--submission-id", "s1")
        assert (result.exit_code, result.output.splitlines()[-1]) == (
            0,
            "accepted as number 1",
        )
        result = run(daemon.url, "submit", manifest_file, "--submission-id", "s1")
        assert result.output == "accepted earlier as number 1\n"
        shown = run(daemon.url, "show")
        assert shown.output.startswith("// number 1, by op, 1970-01-01T00:01:40Z\n")
        dry_run = run(daemon.url, "submit", "-", "--dry-run", input=shown.output)
        assert dry_run.output == "would replace number 1\n"
        listed = run(daemon.url, "history")
        assert listed.output.splitlines()[1].split()[:3] == ["1", "op", "operator"]

    def test_findings_name_the_file(self, daemon: FakeDaemon, tmp_path: Path):
        path = tmp_path / "m.jsonc"
        path.write_text(manifest(2))
        result = run(daemon.url, "submit", str(path))
        assert result.exit_code == 2
        assert f"{path}:1:" in result.stderr
        assert "teams[0].quality_target" in result.stderr

    def test_a_stale_expected_number(self, daemon: FakeDaemon, manifest_file: str):
        run(daemon.url, "submit", manifest_file)
        changed = manifest(0.9)
        result = run(daemon.url, "submit", "-", "--expect", "0", input=changed)
        assert result.exit_code == 1
        assert "'op' put number 1 in force" in result.stderr

    def test_a_lost_response_is_retried_at_the_next_daemon(
        self, daemon: FakeDaemon, manifest_file: str
    ):
        daemon.lose_answers = 1
        result = run(f"{daemon.url},{daemon.url}", "submit", manifest_file)
        assert (result.exit_code, result.output) == (
            0,
            "accepted earlier as number 1\n",
        )

    def test_a_lost_response_without_another_daemon_is_unknown(
        self, daemon: FakeDaemon, manifest_file: str
    ):
        daemon.lose_answers = 1
        result = run(daemon.url, "submit", manifest_file, "--submission-id", "s1")
        assert result.exit_code == 4
        assert "repeat with --submission-id s1 to settle it" in result.stderr

    def test_wait_names_hosts_that_lag(self, daemon: FakeDaemon, manifest_file: str):
        first = run(daemon.url, "submit", manifest_file, "--wait")
        assert first.exit_code == 0
        assert "in force on 3 of 3 hosts" in first.stderr
        for quality in (0.6, 0.7):
            arguments = ("submit", "-", "--wait", "--wait-seconds", "0")
            last = run(daemon.url, *arguments, input=manifest(quality))
        assert last.exit_code == 4
        assert "these hosts lag: h1, h2" in last.stderr


class TestOtherCommands:
    @pytest.mark.parametrize(
        ("arguments", "expected"),
        [
            (("status",), "in force"),
            (("rollout", "pause", "r"), "pause"),
            (("drain", "server", "a1"), "server a1 gets no new work"),
            (("drain", "host", "h1", "--end"), "host h1 takes work again"),
            (("evacuations",), "z1"),
            (("evacuations", "--begin", "z1"), "zone z1 get no new work"),
            (("evacuations", "--end", "z1"), "zone z1 take work again"),
            (("bills",), "r0"),
            (("explain", "r0"), "received"),
        ],
    )
    def test_tables_and_json(self, daemon: FakeDaemon, arguments: Any, expected: str):
        result = run(daemon.url, *arguments)
        assert result.exit_code == 0
        if arguments != ("status",):
            assert expected in result.output
        result = run(daemon.url, *arguments, "--output", "json")
        assert isinstance(json.loads(result.output), dict)

    def test_diff(self, daemon: FakeDaemon):
        for quality in (0.5, 0.6):
            run(daemon.url, "submit", "-", input=manifest(quality))
        result = run(daemon.url, "diff", "1")
        assert result.output == "~ teams[quotes].quality_target: 0.5 -> 0.6\n"

    @pytest.mark.parametrize(
        ("arguments", "key", "code"),
        [
            (("rollout", "pause", "done"), "key-op", 1),
            (("rollout", "pause", "r"), "key-view", 1),
            (("explain", "r9"), "key-op", 1),
            (("status",), "key-nobody", 1),
            (("explain", "broken"), "key-op", 4),
            (("rollout", "burn", "r"), "key-op", 2),
            (("bills", "--audit"), "key-op", 2),
        ],
    )
    def test_exit_codes(self, daemon: FakeDaemon, arguments: Any, key: str, code: int):
        assert run(daemon.url, *arguments, key=key).exit_code == code

    def test_unreachable(self, daemon: FakeDaemon, manifest_file: str):
        assert run(unused_url(), "submit", manifest_file).exit_code == 3
        assert run(f"{unused_url()},{daemon.url}", "status").exit_code == 0
        daemon.client.store.set_down(True)
        assert run(daemon.url, "submit", manifest_file).exit_code == 3

    @pytest.mark.parametrize(("request_id", "code"), [("r-1", 0), ("r-2", 1)])
    def test_explain_logs(self, tmp_path: Path, request_id: str, code: int):
        log = tmp_path / "host-1.log"
        log.write_text('{"at": "1", "message": "dispatch", "request": "r-1"}\n')
        result = run("", "explain-logs", request_id, str(log))
        assert result.exit_code == code
        assert "cause: no" in result.output

    def test_hash_key(self):
        result = run("", "hash-key", input="secret\n")
        assert json.loads(result.output).keys() == {"salt", "sha256"}
        assert "secret" not in result.output
