"""Measure peer traffic: idle cost per host and configuration propagation time."""

import contextlib
import json
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from typing import Any

import attrs
import click

from standins.ports import free_port

ZONES = 3
FORM_TIMEOUT_SECONDS = 30.0
# Until surplus startup links are pruned and the initial state is propagated.
SETTLE_SECONDS = 15.0


@attrs.frozen(eq=False)
class HostProcess:
    """The process of one host, controlled over its standard input and output."""

    process: subprocess.Popen[str]

    def send(self, command: str) -> None:
        """Send a command, without waiting for the reply."""
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()

    def receive(self) -> dict[str, Any]:
        """Wait for the reply to a command."""
        assert self.process.stdout is not None
        reply: dict[str, Any] = json.loads(self.process.stdout.readline())
        return reply

    def stop(self) -> None:
        """Close the input, which ends the process; kill it after 10 s."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            self.process.wait(10.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def send_to_all(hosts: Sequence[HostProcess], command: str) -> list[dict[str, Any]]:
    """Send a command to all hosts and return their replies."""
    for host in hosts:
        host.send(command)
    return [host.receive() for host in hosts]


@contextlib.contextmanager
def run_hosts(count: int) -> Iterator[list[HostProcess]]:
    """Run hosts that discover each other through the first one, their seed."""
    addresses = [_free_address() for _ in range(count)]
    with contextlib.ExitStack() as stack:
        hosts = []
        for number, address in enumerate(addresses):
            zone = f"z{number % ZONES}"
            arguments = [f"h{number}", zone, address, addresses[0]]
            process = subprocess.Popen(
                [sys.executable, "-m", "bench.peer_host", *arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            host = HostProcess(process)
            stack.callback(host.stop)
            hosts.append(host)
        yield hosts


def wait_until_formed(hosts: Sequence[HostProcess]) -> float:
    """Wait until every host sees all others alive; return the seconds taken."""
    started = time.monotonic()
    while time.monotonic() < started + FORM_TIMEOUT_SECONDS:
        alive = [reply["alive"] for reply in send_to_all(hosts, "hosts")]
        if min(alive) == len(hosts) - 1:
            return time.monotonic() - started
        time.sleep(0.2)
    raise click.ClickException(f"not all hosts saw all others alive in time: {alive}")


def measure_idle(hosts: Sequence[HostProcess], seconds: float) -> dict[str, Any]:
    """Return the mean and the maximum cost per host without changes."""
    before = send_to_all(hosts, "counts")
    time.sleep(seconds)
    after = send_to_all(hosts, "counts")
    pairs = list(zip(before, after, strict=True))

    def rates_of(name: str) -> list[float]:
        return [(b[name] - a[name]) / (b["at"] - a["at"]) for a, b in pairs]

    cpu = [100 * rate for rate in rates_of("cpu_seconds")]
    both_ways = [
        sent + received
        for sent, received in zip(
            rates_of("sent_bytes"), rates_of("received_bytes"), strict=True
        )
    ]
    return {
        "links_mean": statistics.mean(row["links"] for row in after),
        "sent_messages_per_second": round(
            statistics.mean(rates_of("sent_messages")), 2
        ),
        "sent_bytes_per_second": round(statistics.mean(rates_of("sent_bytes"))),
        "both_ways_bytes_per_second_max": round(max(both_ways)),
        "cpu_percent_mean": round(statistics.mean(cpu), 3),
        "cpu_percent_max": round(max(cpu), 3),
        "resident_mb_max": round(max(row["resident_mb"] for row in after), 1),
    }


def measure_propagation(hosts: Sequence[HostProcess], changes: int) -> dict[str, Any]:
    """Return the milliseconds from offering a configuration until all hosts have it."""
    milliseconds = []
    for number in range(1, changes + 1):
        source = hosts[number % len(hosts)]
        others = [host for host in hosts if host is not source]
        for host in others:
            host.send(f"await {number}")
        source.send(f"offer {number}")
        started = source.receive()["started"]
        arrival_times = [host.receive()["at"] for host in others]
        if None in arrival_times:
            raise click.ClickException(
                f"configuration {number} did not reach all hosts in time"
            )
        milliseconds.append(1000 * (max(arrival_times) - started))
        time.sleep(0.1)
    return {
        "changes": changes,
        "everywhere_milliseconds_median": round(statistics.median(milliseconds), 1),
        "everywhere_milliseconds_max": round(max(milliseconds), 1),
    }


def _free_address() -> str:
    return f"127.0.0.1:{free_port()}"


@click.command()
@click.option(
    "--hosts", default="2,4,8,16,24", help="Numbers of hosts, separated by commas."
)
@click.option("--seconds", default=10.0, help="Measured idle time per number of hosts.")
@click.option(
    "--changes", default=20, help="Configurations propagated per number of hosts."
)
def main(hosts: str, seconds: float, changes: int) -> None:
    """Print one JSON line for each number of hosts."""
    for count in (int(size) for size in hosts.split(",")):
        with run_hosts(count) as processes:
            formed = wait_until_formed(processes)
            time.sleep(SETTLE_SECONDS)
            idle = measure_idle(processes, seconds)
            propagation = measure_propagation(processes, changes)
        row = {
            "hosts": count,
            "formed_seconds": round(formed, 2),
            **idle,
            **propagation,
        }
        click.echo(json.dumps(row))


if __name__ == "__main__":
    main()
