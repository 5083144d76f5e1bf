"""Measure peer traffic: idle cost a host, and the time to spread a configuration."""

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
FORM_SECONDS = 30.0
# Time for the links of the start to be pruned and its news to be told.
SETTLE_SECONDS = 15.0


@attrs.frozen(eq=False)
class Child:
    """One host's process."""

    process: subprocess.Popen[str]

    def tell(self, command: str) -> None:
        """Send a command."""
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()

    def hear(self) -> dict[str, Any]:
        """Wait for the answer to a command."""
        assert self.process.stdout is not None
        answer: dict[str, Any] = json.loads(self.process.stdout.readline())
        return answer

    def stop(self) -> None:
        """End the process."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            self.process.wait(10.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def ask_all(children: Sequence[Child], command: str) -> list[dict[str, Any]]:
    """Give all hosts a command and return their answers."""
    for child in children:
        child.tell(command)
    return [child.hear() for child in children]


@contextlib.contextmanager
def fleet(count: int) -> Iterator[list[Child]]:
    """Run hosts that know of each other through the first one."""
    addresses = [_free_address() for _ in range(count)]
    with contextlib.ExitStack() as stack:
        children = []
        for number, address in enumerate(addresses):
            zone = f"z{number % ZONES}"
            arguments = [f"h{number}", zone, address, addresses[0]]
            process = subprocess.Popen(
                [sys.executable, "-m", "bench.peer_host", *arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            child = Child(process)
            stack.callback(child.stop)
            children.append(child)
        yield children


def form(children: Sequence[Child]) -> float:
    """Wait until every host holds all others to be alive; return the time taken."""
    started = time.monotonic()
    while time.monotonic() < started + FORM_SECONDS:
        alive = [answer["alive"] for answer in ask_all(children, "hosts")]
        if min(alive) == len(children) - 1:
            return time.monotonic() - started
        time.sleep(0.2)
    raise click.ClickException(f"the fleet did not form: {alive}")


def measure_idle(children: Sequence[Child], seconds: float) -> dict[str, Any]:
    """Return the mean cost of a host and the greatest over hosts."""
    before = ask_all(children, "counts")
    time.sleep(seconds)
    after = ask_all(children, "counts")
    pairs = list(zip(before, after, strict=True))

    def rates(name: str) -> list[float]:
        return [(b[name] - a[name]) / (b["at"] - a["at"]) for a, b in pairs]

    cpu = [100 * rate for rate in rates("cpu_seconds")]
    both = [
        sent + received
        for sent, received in zip(
            rates("sent_bytes"), rates("received_bytes"), strict=True
        )
    ]
    return {
        "links_mean": statistics.mean(row["links"] for row in after),
        "sent_messages_per_second": round(statistics.mean(rates("sent_messages")), 2),
        "sent_bytes_per_second": round(statistics.mean(rates("sent_bytes"))),
        "both_ways_bytes_per_second_max": round(max(both)),
        "cpu_percent_mean": round(statistics.mean(cpu), 3),
        "cpu_percent_max": round(max(cpu), 3),
        "resident_mb_max": round(max(row["resident_mb"] for row in after), 1),
    }


def measure_spread(children: Sequence[Child], changes: int) -> dict[str, Any]:
    """Return the times from offering a configuration to its being at all hosts."""
    times = []
    for number in range(1, changes + 1):
        source = children[number % len(children)]
        others = [child for child in children if child is not source]
        for child in others:
            child.tell(f"await {number}")
        source.tell(f"offer {number}")
        started = source.hear()["started"]
        arrivals = [child.hear()["at"] for child in others]
        if None in arrivals:
            raise click.ClickException(f"configuration {number} is not everywhere")
        times.append(1000 * (max(arrivals) - started))
        time.sleep(0.1)
    return {
        "changes": changes,
        "everywhere_milliseconds_median": round(statistics.median(times), 1),
        "everywhere_milliseconds_max": round(max(times), 1),
    }


def _free_address() -> str:
    return f"127.0.0.1:{free_port()}"


@click.command()
@click.option("--hosts", default="2,4,8,16,24", help="Sizes of fleets, by commas.")
@click.option("--seconds", default=10.0, help="Idle time measured for each size.")
@click.option("--changes", default=20, help="Configurations spread for each size.")
def main(hosts: str, seconds: float, changes: int) -> None:
    """Print one JSON line for each size of fleet."""
    for count in (int(size) for size in hosts.split(",")):
        with fleet(count) as children:
            formed = form(children)
            time.sleep(SETTLE_SECONDS)
            idle = measure_idle(children, seconds)
            spread = measure_spread(children, changes)
        row = {"hosts": count, "formed_seconds": round(formed, 2), **idle, **spread}
        click.echo(json.dumps(row))


if __name__ == "__main__":
    main()
