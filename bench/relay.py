"""Compare streamed answers relayed by a host with direct calls to the engines."""

import http.client
import json
import tempfile
import threading
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import click

from bench import processes
from bench.load import StreamLoad, StreamLoader, StreamResults
from masticfork.settings.keys import hash_key
from standins.ports import free_port

SALT = "7fe8dda024a89811f57d59ea708ebdf0"
SECRET_HEX = "9bf65f4bed3de8aa8a7d4627a0456aba5615d85d7b11fc3cb228d473ae73ce53"
TEAM_KEY = "bench"
ADMIN_KEY = "admin"
TOKEN_SECONDS = 0.057
ENGINES = 6
SLOTS = 200
DAEMON_THREADS = 1300
CONFIGURATION_KEY = "/objects/configuration/current"


def key_hash(key: str) -> dict[str, str]:
    """Return the salted hash of a key in the form of settings and manifests."""
    return {"salt": SALT, "sha256": hash_key(key, SALT)}


def manifest(engine_ports: list[int]) -> dict[str, Any]:
    """Return a manifest of one team and one model with all engines in one pool."""
    servers = [
        {
            "name": f"engine-{port}",
            "host": "127.0.0.1",
            "port": port,
            "zone": "zilina",
            "slots": SLOTS,
        }
        for port in engine_ports
    ]
    version = {
        "id": "1",
        "pool": "all",
        "cost_per_1k_tokens": 1.0,
        "expected_quality": 0.9,
    }
    team = {
        "name": "bench",
        "key_hashes": [key_hash(TEAM_KEY)],
        "allowed": ["linen"],
        "quality_target": 0.5,
    }
    return {
        "teams": [team],
        "models": [{"name": "linen", "versions": [version], "current": "1"}],
        "pools": [{"name": "all", "servers": servers}],
    }


def write_settings(folder: Path, platform_port: int) -> tuple[Path, int]:
    """Write the settings file of a daemon; return its path and the entry port."""
    port = free_port()
    settings = {
        "host": "entry-1",
        "zone": "zilina",
        "entry": {"port": port, "threads": DAEMON_THREADS},
        "admin": {"port": free_port()},
        "peer": {
            "port": free_port(),
            "keys": [{"id": "p", "secret_hex": SECRET_HEX}],
        },
        "platform": {"url": f"http://127.0.0.1:{platform_port}"},
        "session_keys": [{"id": "s", "secret_hex": SECRET_HEX}],
        "admin_keys": [{"name": "o", "role": "operator", **key_hash(ADMIN_KEY)}],
        "shutdown": {"not_ready_seconds": 0.1, "finish_seconds": 1},
    }
    settings_path = folder / "settings.json"
    settings_path.write_text(json.dumps(settings))
    return settings_path, port


def store_configuration(platform_port: int, manifest: dict[str, Any]) -> None:
    """Store the first configuration at the platform stand-in, without a host."""
    connection = http.client.HTTPConnection("127.0.0.1", platform_port, timeout=5)
    stored_configuration = {"submission_id": "bench", "manifest": json.dumps(manifest)}
    headers = {"If-None-Match": "*"}
    connection.request(
        "PUT", CONFIGURATION_KEY, json.dumps(stored_configuration), headers
    )
    if connection.getresponse().status not in (200, 201):
        raise RuntimeError("the platform stand-in refused to store the configuration")


def summary(way: str, load: StreamLoad, results: StreamResults) -> dict[str, Any]:
    """Return the counts and latency percentiles of one run."""
    return {
        "way": way,
        "requests_per_second": load.requests_per_second,
        "answers": results.answers,
        "errors": len(results.errors),
        "tokens": results.tokens,
        "first_token_ms": _percentiles(results.first_token),
        "token_gap_ms": _percentiles(results.token_gap),
    }


def _percentiles(latencies: Any) -> dict[str, float]:
    return {f"p{p}": latencies.milliseconds(p) for p in (50, 95, 99)}


class PeakMemorySampler:
    """Samples the resident memory of a process every 0.5 s until stopped."""

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self._stopped = threading.Event()
        self._peak = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> int:
        """Stop sampling and return the peak resident memory in bytes."""
        self._stopped.set()
        self._thread.join()
        return self._peak

    def _run(self) -> None:
        while not self._stopped.wait(0.5):
            self._peak = max(self._peak, processes.resident_bytes(self._pid))


def measure_relay(rate: float, seconds: float, tokens: int) -> list[dict[str, Any]]:
    """Run the same load directly and through a daemon.

    `rate` is in requests per second; `tokens` is the length of each answer.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        options = ["--versions", "linen@1", "--slots", str(SLOTS)]
        options += ["--token-seconds", str(TOKEN_SECONDS), "--threads", "300"]
        options += ["--tokens", str(tokens)]
        engine_ports = [
            stack.enter_context(processes.standin("engine", *options))
            for _ in range(ENGINES)
        ]
        platform_port = stack.enter_context(processes.standin("platform"))
        store_configuration(platform_port, manifest(engine_ports))
        settings_path, entry_port = write_settings(folder, platform_port)
        pid = stack.enter_context(processes.daemon(settings_path))
        processes.wait_until_ok("/readyz", entry_port)
        direct = StreamLoad(tuple(engine_ports), "linen@1", rate, seconds, tokens)
        rows = [summary("direct", direct, StreamLoader(direct).run())]
        through_host = StreamLoad(
            (entry_port,), "linen", rate, seconds, tokens, TEAM_KEY
        )
        cpu_before, peak = processes.cpu_seconds(pid), PeakMemorySampler(pid)
        started = time.monotonic()
        results = StreamLoader(through_host).run()
        row = summary("relay", through_host, results)
        cpu = processes.cpu_seconds(pid) - cpu_before
        row["cpu_cores"] = round(cpu / (time.monotonic() - started), 3)
        row["cpu_microseconds_per_token"] = round(cpu / results.tokens * 1e6, 1)
        row["peak_resident_mb"] = round(peak.stop() / 1e6, 1)
        row["first_errors"] = results.errors[:3]
        rows.append(row)
    return rows


@click.command()
@click.option("--rate", default=36.0, help="Requests per second.")
@click.option("--seconds", default=25.0, help="How long requests are sent.")
@click.option("--tokens", default=227, help="Tokens per answer.")
def main(rate: float, seconds: float, tokens: int) -> None:
    """Print one JSON line for the direct run and one for the relayed run."""
    for row in measure_relay(rate, seconds, tokens):
        click.echo(json.dumps(row))


if __name__ == "__main__":
    main()
